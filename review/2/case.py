"""A node is killed and starts again; a heartbeat that its server sent before it left comes late."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import mesh as m  # noqa: E402

DRAIN_S = 2.5
STABLE_S = 3.0
LATE_S = 2.5  # how late the heartbeat comes
SERVES_S = 9.0  # from the acknowledgement to the exit of the server
RESTART_S = 0.5


async def case(mesh, trouble):
    await mesh.start(m.make_config(1, [m.route("file", "/file/", "unsafe", "ledger")], ["ledger"]))
    for each in mesh.servers.values():
        each.work_s = 0.12
    node = mesh.nodes["zone-a-ledger"]
    server = mesh.servers["zone-a-ledger"]
    outcomes = []
    ended = False

    async def client(at, number):
        connection = m.Connection(mesh, at)
        while not ended:
            if at.process.returncode is None:
                outcomes.append(await connection.request("POST", "/file/%d" % number, b"x" * 300))
            await asyncio.sleep(0.05)
        connection.close()

    clients = [asyncio.create_task(client(at, number))
               for at in mesh.nodes.values() for number in range(4)]
    await asyncio.sleep(3.0)

    # The server's last heartbeat before it leaves. In trouble the network holds it back.
    server.stop_beats()
    last_beat = server.beat_body()
    beat_sent = time.monotonic()
    if not trouble:
        await server.send_beat(last_beat)
    await asyncio.sleep(0.2)
    status = await server.send_delete()
    acknowledged = time.monotonic()
    if status != 200:
        raise m.CannotRun("the departure was not acknowledged")
    mesh.record.say("server %s: DELETE acknowledged" % server.id)

    await asyncio.sleep(0.3)
    mesh.record.say("the node beside it is killed")
    node.kill()
    await node.process.wait()
    await asyncio.sleep(RESTART_S)
    await node.start()
    started = time.monotonic()
    await node.wait_until_ready(10)
    await asyncio.sleep(max(0.0, beat_sent + LATE_S - time.monotonic()))
    if trouble:
        status = await server.send_beat(last_beat)
        mesh.record.say("the heartbeat of %.1f s ago comes and gets %d"
                        % (time.monotonic() - beat_sent, status))
    await asyncio.sleep(acknowledged + SERVES_S - time.monotonic())
    mesh.record.say("server %s exits" % server.id)
    server.exit()
    left = time.monotonic()
    await asyncio.sleep(1.0)
    ended = True
    await asyncio.gather(*clients)

    # Taken and sent on by machines in touch: none was started in the last `stableWindow`.
    bound = max(acknowledged + DRAIN_S, started + STABLE_S)
    sent = {o.name: o.sent for o in outcomes}
    late = [name for at, name in server.runs
            if at > bound and sent.get(name, 0.0) > started + STABLE_S]
    lost = [o for o in outcomes if o.name in late and o.status != 200]
    served = sum(1 for o in outcomes if o.status == 200)
    mesh.record.say("%d requests, %d successes; %d reached the server later than %.1f s after the "
                    "acknowledgement, the last %.1f s after it; %d of these got no success"
                    % (len(outcomes), served, len(late), DRAIN_S,
                       max([at for at, _ in server.runs]) - acknowledged, len(lost)))
    if served < 200 or left < bound + 1:
        raise m.CannotRun("too few requests were served")
    return "DRAIN: %d requests reached a server that had left" % len(late) if late else None


sys.exit(m.run_case(case, ["ledger"], FOLDER))
