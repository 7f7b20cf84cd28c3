"""Real processes over loopback: nodes are stopped in series and overlapping while all backend servers
are busy and callers keep using their connections until the process is gone.

Looks for requests that end without an answer although their nodes had time for one (review case 12),
for refusals of requests that run, and for second runs."""

import argparse
import asyncio
import os
import random
import signal
import sys
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import mesh as m  # noqa: E402

GRACE_S = 6.0  # from SIGTERM to SIGKILL, as in m.BOUNDS
# A request that is sent later may find its server still at work when the process has to end.
LATE_S = 3.0
LAST_PART_S = GRACE_S * 5 / 6
LOSS_SLACK_S = 0.2
DEADLINE_MS = 20000
TIMEOUT_S = 12.5
TARGET_LATENCY = "4000ms"
SLOTS = 6
WORK_S = (1.2, 1.6)
NOT_RUN = (408, 421, 429, 503)
OWN_FAILURES = (0, 502, 504)
# Fewer requests at stopping nodes than this show nothing.
MIN_JUDGED = 100


class BusyServer(m.Server):
    """Its runs take different times; `ends` holds the end of each, in the order of `runs`."""

    chance = None

    def __init__(self, mesh, node):
        super().__init__(mesh, node, slots=SLOTS)
        self.ends = []

    @property
    def work_s(self):
        seconds = self.chance.uniform(*WORK_S)
        self.ends.append(time.monotonic() + seconds)
        return seconds

    @work_s.setter
    def work_s(self, seconds):
        pass


class Stops:
    """Stops nodes and starts them again. `spans` holds when a node got SIGTERM and when it had ended."""

    def __init__(self, mesh, chance):
        self.mesh = mesh
        self.chance = chance
        self.spans = {name: [] for name in mesh.nodes}
        self.killed = 0

    async def run(self, end):
        running = set()
        while self.mesh.record.now() < end:
            names = [name for name in self.mesh.nodes if not self.is_stopping(name)]
            # Most of the mesh stays, as when an operator rolls out a release.
            if len(names) > len(self.mesh.nodes) * 2 // 3:
                running.add(asyncio.create_task(self.stop(self.chance.choice(names))))
            await asyncio.sleep(self.chance.choice([0.02, 0.5, 1.5, 3.0]))
        await asyncio.gather(*running)

    def is_stopping(self, name):
        return any(ended is None for _, ended in self.spans[name])

    async def stop(self, name):
        node = self.mesh.nodes[name]
        span = [time.monotonic(), None]
        self.spans[name].append(span)
        if self.chance.random() < 0.3:
            node.kill(signal.SIGHUP)
        node.kill(signal.SIGTERM)
        self.mesh.record.line("platform: SIGTERM to %s" % name)
        try:
            code = await asyncio.wait_for(node.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.killed += 1
            node.kill()
            code = await node.process.wait()
        self.mesh.record.line("%s has ended with %s" % (name, code))
        await asyncio.sleep(self.chance.choice([0.1, 1.0]))
        await node.start()
        await node.wait_until_ready(15)
        span[1] = time.monotonic()


async def call(mesh, node, outcomes, end):
    connection = m.Connection(mesh, node)
    while mesh.record.now() < end:
        outcome = await connection.request("PUT", "/ledger/x", b"h" * 300, DEADLINE_MS)
        outcomes.append((node.name, outcome))
        pause = 0.0 if outcome.status == 200 else 0.2
        if outcome.status == 503:
            pause = min(float(m.field(outcome.fields, "retry-after", "1")), 5.0)
        await asyncio.sleep(pause)
    connection.close()


def judge(mesh, outcomes, spans):
    """Returns how many requests met a stop of their node, and a line for each broken rule."""
    runs = {}
    for server in mesh.servers.values():
        for (begun, name), ended in zip(server.runs, server.ends):
            runs.setdefault(name, []).append((begun, ended))
    judged = 0
    broken = []
    for node, outcome in outcomes:
        times = runs.get(outcome.name, [])
        if len(times) > 1:
            broken.append("TWICE: %s at %s" % (outcome.name, node))
        if outcome.status in NOT_RUN and times:
            broken.append("REFUSED: %s at %s got %d and ran" % (outcome.name, node, outcome.status))
        for term, _ in spans[node]:
            if outcome.ended < term or outcome.sent > term + GRACE_S:
                continue
            judged += 1
            if is_lost(outcome, times, term):
                broken.append("LOST: %s at %s, sent %.2f s after SIGTERM, %s after %.2f s, runs %s" % (
                    outcome.name, node, outcome.sent - term, outcome.status or outcome.why,
                    outcome.ended - term, ["%.2f to %.2f" % (a - term, b - term) for a, b in times]))
    return judged, broken


def is_lost(outcome, times, term):
    if outcome.status not in OWN_FAILURES or outcome.ended > term + GRACE_S + 1:
        return False
    if outcome.ended - outcome.sent >= TIMEOUT_S:
        return False  # The timeout of its route ends a request whatever its server does.
    at_work = [(begun, ended) for begun, ended in times if begun < outcome.ended < ended]
    if outcome.status != 0:
        # An answer of the node's own is a loss only if it breaks off the work of a server.
        return bool(at_work) and outcome.ended < term + LAST_PART_S
    if not times and outcome.ended - outcome.sent < LOSS_SLACK_S:
        return False  # It crossed the close and was not passed on.
    in_last_part = any(begun < term + GRACE_S and ended > term + LAST_PART_S
                       for begun, ended in times)
    return not (in_last_part and outcome.sent < term + LATE_S)


async def play(options, record):
    chance = random.Random(options.seed)
    mesh = m.Mesh(record, ["ledger"], options.machines,
                  ["zone-%d" % i for i in range(options.zones)])
    BusyServer.chance = chance
    for name, node in mesh.nodes.items():
        mesh.servers[name] = BusyServer(mesh, node)
    stops = Stops(mesh, chance)
    outcomes = []
    # Calls of the highest priority may wait until their deadlines, so that queues are long.
    row = ["ledger", m.HOST, "/ledger/", "unsafe", "%dms" % (1000 * TIMEOUT_S), TARGET_LATENCY, 0,
           None, 2, "ledger"]
    try:
        await mesh.start(m.make_config(1, [row], ["ledger"]))
        end = record.now() + options.seconds
        callers = [call(mesh, node, outcomes, end) for node in mesh.nodes.values()
                   for _ in range(options.callers)]
        await asyncio.gather(stops.run(end - GRACE_S - 2.0), *callers)
        if options.logs:
            for node in mesh.nodes.values():
                record.line("log of %s:\n%s" % (node.name, mesh.log_of(node)))
    finally:
        await mesh.stop()
    judged, broken = judge(mesh, outcomes, stops.spans)
    answered = sum(1 for _, outcome in outcomes if outcome.status == 200)
    record.say("%d stops, %d ended by SIGKILL; %d requests, %d answered, %d at stopping nodes; %d broken"
               % (sum(map(len, stops.spans.values())), stops.killed, len(outcomes), answered,
                  judged, len(broken)))
    for line in broken[:30]:
        record.say("  " + line)
    if judged < MIN_JUDGED:
        raise m.CannotRun("too few requests could be judged")
    return not broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default=m.PROGRAM, help="the node's program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--machines", type=int, default=2, help="in each zone")
    parser.add_argument("--callers", type=int, default=30, help="of each machine")
    parser.add_argument("--logs", action="store_true", help="the nodes' logs go into the record")
    parser.add_argument("--record", default=os.devnull)
    options = parser.parse_args()
    m.PROGRAM = os.path.abspath(options.program) if os.path.exists(options.program) else m.PROGRAM
    print("stops seed %d" % options.seed, flush=True)
    try:
        return 0 if asyncio.run(play(options, m.Record(options.record))) else 1
    except m.CannotRun as error:
        print("could not run: %s" % error)
        return 2


if __name__ == "__main__":
    sys.exit(main())
