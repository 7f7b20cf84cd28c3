"""A server breaks off answers at places drawn evenly over their bytes; clients compare bodies."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import mesh as m  # noqa: E402

CLIENTS = 50  # on each machine
FAULT_S = 5.5
TIMES = 7
PAUSE_S = 3.0
ANSWERS_BROKEN = 0.02


async def case(mesh, trouble):
    services = ["ledger"]
    await mesh.start(m.make_config(1, [m.route("pull", "/pull/", "safe", "ledger"),
                                       m.route("file", "/file/", "unsafe", "ledger")], services))
    servers = list(mesh.servers.values())
    for server in servers:
        server.slot = asyncio.Semaphore(10)
        server.slots = 10
    faulty = servers[0]
    chance = random.Random(1)
    counts = {"answers": 0, "broken off": 0}

    def break_off(length):
        counts["answers"] += 1
        if chance.random() >= ANSWERS_BROKEN:
            return length
        counts["broken off"] += 1
        return chance.randrange(1, length)

    end = time.monotonic() + 1.0 + TIMES * (FAULT_S + PAUSE_S)
    outcomes = []

    async def client(node, number):
        connection = m.Connection(mesh, node)
        while time.monotonic() < end:
            path = ("/pull/%d" if number % 2 else "/file/%d") % number
            method = "GET" if number % 2 else "POST"
            outcomes.append((path, await connection.request(method, path)))
            await asyncio.sleep(0.01)
        connection.close()

    clients = [asyncio.create_task(client(node, number))
               for node in mesh.nodes.values() for number in range(CLIENTS)]
    await asyncio.sleep(1.0)
    for _ in range(TIMES):
        if trouble:
            mesh.record.say("server %s begins to break off answers" % faulty.id)
            faulty.break_off = break_off
        await asyncio.sleep(FAULT_S)
        faulty.break_off = None
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*clients)

    bodies = {}
    for server in servers:
        bodies.update(server.bodies)
    successes = [(path, o) for path, o in outcomes if 200 <= o.status < 300]
    wrong = [(path, o) for path, o in successes
             if m.field(o.fields, "response-stamp") != "stamp-" + o.name
             or o.body != bodies.get(o.name)]
    mesh.record.say("%d requests, %d successes; the faulty server gave %d answers and broke off %d"
                    % (len(outcomes), len(successes), counts["answers"], counts["broken off"]))
    if len(successes) < 1000:
        raise m.CannotRun("too few requests were served")
    for path, o in wrong:
        mesh.record.say("%s %s: success with a body of %d bytes, the server's has %d"
                        % (path, o.name, len(o.body), len(bodies.get(o.name, b""))))
    return "MIXED: %d successes without the server's whole body" % len(wrong) if wrong else None


sys.exit(m.run_case(case, ["ledger"], FOLDER))
