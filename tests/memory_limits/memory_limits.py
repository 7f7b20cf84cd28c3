"""Real processes over loopback, with large requests beside servers that send answers without end.

Guards against bounds on memory that hold alone and are exceeded together: a node above the memory of
its machine is killed, and all requests under way on it end without an answer."""

import argparse
import asyncio
import os
import random
import sys

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import mesh as m  # noqa: E402

CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"
CLIENTS = 6  # of each kind at each node


class EndlessServer(m.Server):
    async def _answer(self, request, writer):
        if not request[1].startswith("/endless/"):
            return await super()._answer(request, writer)
        name = m.field(request[2], "request-id")
        writer.write(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" % name).encode())
        while not writer.is_closing():
            writer.write(CHUNK)
            await writer.drain()
        return False


def peak_bytes(node):
    with open("/proc/%d/status" % node.process.pid, encoding="ascii") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
    return 0


async def client(connection, chance, kind, outcomes, end):
    while connection.mesh.record.now() < end:
        if kind == "endless":
            outcome = await connection.request("GET", "/endless/x", deadline_ms=3000)
        elif kind == "large":
            size = int(2 ** chance.uniform(17, 25.8))  # 128 KiB to 56 MiB
            outcome = await connection.request("POST", "/file/x", b"x" * size, 3000)
        else:
            outcome = await connection.request("POST", "/file/x", b"x" * 300, 3000)
        outcomes.append((kind, outcome.status or outcome.why))
        await asyncio.sleep(0.05)
    connection.close()


async def play(options):
    render = m.render
    limits = {"memoryMb": options.memory_mb}
    if options.link_mbps:
        limits["linkMbps"] = options.link_mbps
    m.render = lambda template, fields: render(template, {**fields, "limits": limits})
    mesh = m.Mesh(m.Record(options.record), ["ledger"])
    for name, node in mesh.nodes.items():
        mesh.servers[name] = EndlessServer(mesh, node, work_s=0.1)
    outcomes = []
    try:
        await mesh.start(m.make_config(
            1, [m.route("file", "/file/", "unsafe", "ledger", "5s"),
                m.route("endless", "/endless/", "unsafe", "ledger", "5s")], ["ledger"]))
        chance = random.Random(options.seed)
        end = mesh.record.now() + options.seconds
        await asyncio.gather(*(
            client(m.Connection(mesh, node), chance, kind, outcomes, end)
            for node in mesh.nodes.values() for kind in ("small", "large", "endless")
            for _ in range(CLIENTS)))
        ended = [node.name for node in mesh.nodes.values() if node.process.returncode is not None]
        peaks = [peak_bytes(node) for node in mesh.nodes.values()]
    finally:
        await mesh.stop()
    counts = {}
    for outcome in outcomes:
        counts[outcome] = counts.get(outcome, 0) + 1
    print("peaks %s MB; %s" % (", ".join("%.0f" % (peak / 1e6) for peak in peaks),
                               "; ".join("%s %s: %d" % (kind, status, count)
                                         for (kind, status), count in sorted(counts.items(), key=str))))
    small = sum(count for (kind, _), count in counts.items() if kind == "small")
    if small < 100 or not any(kind == "large" and status == 200 for kind, status in counts):
        raise m.CannotRun("too few requests were served")
    # Large requests do not displace small ones.
    fits = not ended and max(peaks) <= options.memory_mb * 1_000_000
    return fits and counts.get(("small", 200), 0) >= 0.9 * small


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default=m.PROGRAM, help="the node's program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--memory-mb", type=int, default=260, help="of the machine")
    parser.add_argument("--link-mbps", type=float, help="rate of each node's link")
    parser.add_argument("--record", default=os.devnull)
    options = parser.parse_args()
    m.PROGRAM = os.path.abspath(options.program)
    print("memory_limits seed %d" % options.seed, flush=True)
    try:
        return 0 if asyncio.run(play(options)) else 1
    except m.CannotRun as error:
        print("could not run: %s" % error)
        return 2


if __name__ == "__main__":
    sys.exit(main())
