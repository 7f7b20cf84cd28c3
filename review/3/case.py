"""The store gives one machine no response for a while; a configuration changes meanwhile."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import mesh as m  # noqa: E402

CONFIG_APPLY_S = 2.5
MAX_STRETCH_S = 5.0
SILENT_S = 9.0
WATCHED_S = 24.0


async def case(mesh, trouble):
    services = ["ledger", "field"]
    kept = [m.route("pull", "/pull/", "safe", "ledger")]
    await mesh.start(m.make_config(1, kept + [m.route("file", "/file/", "unsafe", "ledger")],
                                   services))
    # The machine of zone-a that waits for changes of the configuration.
    waiting = mesh.store.waiting.get("keyed.op", set())
    readers = [node for node in mesh.nodes.values()
               if node.zone == "zone-a" and node.store_port in waiting]
    if len(readers) != 1:
        raise m.CannotRun("%d machines of zone-a read the configuration" % len(readers))
    reader = readers[0]
    other = next(node for node in mesh.nodes.values()
                 if node.zone == "zone-a" and node is not reader)
    outcomes = []
    ended = False

    async def client(at, number):
        connection = m.Connection(mesh, at)
        while not ended:
            outcome = await connection.request("POST", "/file/%d" % number, b"x" * 300)
            outcomes.append((at, outcome))
            await asyncio.sleep(0.1)
        connection.close()

    clients = [asyncio.create_task(client(at, number))
               for at in mesh.nodes.values() for number in range(2)]
    await asyncio.sleep(1.0)
    # A change that leaves the route as it is.
    await mesh.store.put_config(m.make_config(
        2, kept + [m.route("file", "/file/", "unsafe", "ledger"),
                   m.route("more", "/more/", "safe", "ledger")], services))
    await asyncio.sleep(2.0)
    silent_from = time.monotonic()
    if trouble:
        mesh.store.silent.add(reader.store_port)
        mesh.record.say("the store gives no response to %s" % reader.name)
    await asyncio.sleep(1.0)
    # The route goes to another service.
    await mesh.store.put_config(m.make_config(
        3, kept + [m.route("file", "/file/", "unsafe", "field"),
                   m.route("more", "/more/", "safe", "ledger")], services))
    acknowledged = time.monotonic()
    await asyncio.sleep(silent_from + SILENT_S - time.monotonic())
    mesh.store.silent.clear()
    mesh.record.say("the store serves all machines")
    await asyncio.sleep(acknowledged + WATCHED_S - time.monotonic())
    ended = True
    await asyncio.gather(*clients)

    ran_at = {name: server.node.service for server in mesh.servers.values()
              for _, name in server.runs}
    broken = None
    for node in mesh.nodes.values():
        after = [o for at, o in outcomes if at is node and o.sent > acknowledged + CONFIG_APPLY_S]
        # Even an unstable core stretches the bound by no more than `maxStretch`.
        stretched = [o for o in after if o.sent > acknowledged + CONFIG_APPLY_S + MAX_STRETCH_S]
        old = [o for o in after if ran_at.get(o.name) == "ledger"]
        last = max([o.sent - acknowledged for o in old], default=0.0)
        mesh.record.say(
            "%s: %d requests sent later than %.1f s after the acknowledgement, %d of them run by "
            "the old service, the last %.1f s after it (%d later than %.1f s)"
            % (node.name, len(after), CONFIG_APPLY_S, len(old), last,
               sum(1 for o in old if o in stretched), CONFIG_APPLY_S + MAX_STRETCH_S))
        if len(after) < 50:
            raise m.CannotRun("too few requests were sent")
        if node is other and old:
            broken = ("CONFIG: %s, which was in touch all the while, handled %d requests by an "
                      "older version" % (node.name, len(old)))
    return broken


sys.exit(m.run_case(case, ["ledger", "field"], FOLDER))
