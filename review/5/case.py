"""Two servers crash at once while both run the same ordinary request; the calls on its route are
counted after both are back."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import mesh as m  # noqa: E402

MACHINES = 7  # in each of two zones
CRASHED = 2  # 0.143 of the servers
DOWN_S = 5.0
STABLE_S = 3.0
STEADY_S = 20.0
WORK_S = 0.36
CLIENTS = 1  # for each route, on each machine
PACE_S = 0.1


async def case(mesh, trouble):
    first = [m.route("pull", "/pull/", "safe", "ledger")]
    await mesh.start(m.make_config(1, first, ["ledger"]))
    await mesh.store.put_config(m.make_config(
        2, first + [m.route("status", "/status/", "safe", "ledger")], ["ledger"]))
    await asyncio.sleep(4.0)
    for server in mesh.servers.values():
        server.work_s = WORK_S
    outcomes = []
    ended = False

    async def client(node, number, is_status):
        connection = m.Connection(mesh, node)
        count = 0
        await asyncio.sleep(PACE_S * number / CLIENTS)
        while not ended:
            begun = time.monotonic()
            count += 1
            path = "/status/" if is_status else "/pull/%s/%d/%d" % (node.name, number, count)
            outcome = await connection.request("GET", path)
            outcomes.append((is_status, outcome))
            wait = float(m.field(outcome.fields, "retry-after", "0"))
            await asyncio.sleep(max(wait, begun + PACE_S - time.monotonic(), 0.0))
        connection.close()

    clients = [asyncio.create_task(client(node, number, is_status))
               for node in mesh.nodes.values() for number in range(CLIENTS)
               for is_status in (False, True)]
    await asyncio.sleep(4.0)
    down = list(mesh.servers)[:CRASHED]
    if trouble:
        for name in down:
            mesh.servers[name].exit()
        mesh.record.say("%d of %d servers crash" % (len(down), len(mesh.servers)))
    await asyncio.sleep(DOWN_S)
    if trouble:
        for name in down:
            mesh.servers[name] = m.Server(mesh, mesh.nodes[name], work_s=WORK_S)
            await mesh.servers[name].start()
        mesh.record.say("they are back")
    await asyncio.sleep(STABLE_S)
    steady_from = time.monotonic()
    await asyncio.sleep(STEADY_S)
    ended = True
    await asyncio.gather(*clients)

    def count(is_status, after):
        chosen = [o for kind, o in outcomes if kind == is_status and (o.sent > steady_from) == after]
        return len(chosen), sum(1 for o in chosen if o.status == 200)

    for is_status, name in ((False, "first route /pull/"), (True, "later route /status/")):
        for after in (False, True):
            asked, served = count(is_status, after)
            mesh.record.say("%s, %s: %d requests, %d served"
                            % (name, "steady state" if after else "before", asked, served))
    first_asked, first_served = count(False, True)
    later_asked, later_served = count(True, True)
    if first_served < 100 or later_asked < 20:
        raise m.CannotRun("too few requests were served")
    share = (later_served / later_asked) / (first_served / first_asked)
    return ("CONFIG: in steady state the later route is served %.3f times as often as the first"
            % share) if share < 0.25 else None


sys.exit(m.run_case(case, ["ledger"], FOLDER, MACHINES))
