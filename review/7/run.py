"""A server leaves, its node acknowledges that while the store is down, and the node is killed."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
import mesh as m  # noqa: E402

DRAIN_S = 2.5
STABLE_WINDOW_S = 3.0
STORE_DOWN_S = 4.0  # troubles of owr-mesh: platform_down, 4.5 s
BEAT_LATE_S = 2.6
RESTART_S = 0.5
UNHEARD_S = 8.0  # without an acknowledgement it exits anyway
SERVES_ON_S = 14.0  # "at times many seconds"


async def depart_until_acknowledged(server, end):
    """Returns the time of the acknowledgement, or None."""
    record = server.mesh.record
    while record.now() < end:
        try:
            await m.depart(server)
            return record.now()
        except (m.CannotRun, OSError, asyncio.TimeoutError) as error:
            record.line("server %s: no acknowledgement: %s" % (server.id, error))
        await asyncio.sleep(0.5)
    return None


async def play(record, trouble):
    mesh = m.Mesh(record, [("a", "zone-a", "north", "ledger"), ("b", "zone-a", "north", "ledger"),
                           ("c", "zone-b", "north", "ledger")])
    try:
        await mesh.start(m.configuration(
            1, [m.route("ledger", "/ledger/", "unsafe", "ledger", "1500ms")], ["ledger"]))
        await asyncio.sleep(4.0)
        loop = asyncio.get_running_loop()
        node = mesh.nodes["a"]
        server = mesh.servers["a"]
        results = {}
        begun = record.now()
        clients = [asyncio.create_task(m.send_requests(mesh, each, "/ledger/a", results, begun + 17.0))
                   for each in mesh.nodes.values() for _ in range(2)]
        await asyncio.sleep(1.0)
        if trouble:
            mesh.store.is_down = True
            record.line("store: down")
            loop.call_later(STORE_DOWN_S, setattr, mesh.store, "is_down", False)
            loop.call_later(STORE_DOWN_S, record.line, "store: up")
        await asyncio.sleep(0.5)
        # The last heartbeat before the departure arrives late.
        late_beat = server.beat_body("ready")
        server.beats.cancel()
        record.line("server %s: heartbeat %d is on its way" % (server.id, server.seq))
        await asyncio.sleep(0.2)
        first = record.now()
        departure = asyncio.create_task(depart_until_acknowledged(server, first + UNHEARD_S))
        if trouble:
            await asyncio.sleep(0.5 - (record.now() - first))
            node.signal(signal.SIGKILL)
            await node.process.wait()
            await asyncio.sleep(RESTART_S)
            await node.start()
        await asyncio.sleep(max(0.0, first - 0.2 + BEAT_LATE_S - record.now()))
        status = await server.send_beat(late_beat)
        record.line("server %s: heartbeat %d arrives, answered with %d" % (
            server.id, server.seq, status))
        left = await departure
        await asyncio.sleep(first + SERVES_ON_S - record.now())
        record.line("server %s: exits" % server.id)
        await server.close()
        await asyncio.gather(*clients)
        if left is None:
            return []
        # All machines are in touch again, and `drain` after the acknowledgement has passed.
        bound = max(left + DRAIN_S, begun + 1.0 + STORE_DOWN_S + STABLE_WINDOW_S + 0.5)
        served = sum(len(each.runs) for each in mesh.servers.values())
        if served < 100:
            raise m.CannotRun("only %d requests were run" % served)
        return m.runs_after(record, server, results, bound, left)
    finally:
        await mesh.stop()


if __name__ == "__main__":
    sys.exit(m.main(play, FOLDER))
