"""Real processes over loopback, a store in trouble and an operator who changes routes all the while.

Looks for broken promises of two kinds: a machine in touch that handles a request as only an older
configuration allows (CONFIG), and a success that is not the server's whole answer (MIXED)."""

import argparse
import asyncio
import os
import random
import sys

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import mesh as m  # noqa: E402

from faulty_store import FaultyStore, FaultySource  # noqa: E402
from routes import Judge, Operator  # noqa: E402

KINDS = ["silent", "slow", "lost", "forget", "silent_some", "refused_some", "restart"]
SERVICES = ["ledger", "field"]
ANSWERS_BROKEN = 0.02
ANSWERS_DOUBLED = 0.03
MAX_LINES = 20


class BadServer(m.Server):
    """Breaks some answers off, and sends others a second time after a while."""

    chance = None
    is_bad = False

    async def start(self):
        self.break_off = self.place_of_break
        await super().start()

    def place_of_break(self, length):
        is_broken = self.is_bad and self.chance.random() < ANSWERS_BROKEN
        return self.chance.randrange(1, length) if is_broken else length

    async def _answer(self, request, writer):
        if not self.is_bad or self.chance.random() >= ANSWERS_DOUBLED:
            return await super()._answer(request, writer)
        recorder = Recorder(writer)
        kept = await super()._answer(request, recorder)
        if kept:
            asyncio.get_running_loop().call_later(self.chance.uniform(0.0, 0.5),
                                                  recorder.write_again)
        return kept


class Recorder:
    """A writer that keeps what it wrote."""

    def __init__(self, writer):
        self.writer = writer
        self.bytes = b""

    def write(self, content):
        self.bytes += content
        self.writer.write(content)

    async def drain(self):
        await self.writer.drain()

    def write_again(self):
        if not self.writer.is_closing():
            self.writer.write(self.bytes)


def body_of(server, name, length):
    content = (server + " " + name + " ").encode()
    return (content * (length // len(content) + 1))[:length]


async def ask(mesh, node, operator, judge, runs, wrong, pace_s, end):
    """One client of a machine, on kept connections."""
    connection = m.Connection(mesh, node)
    while mesh.record.now() < end:
        prefix = operator.pick()
        if node.process.returncode is None:
            outcome = await connection.request("GET", prefix + "x")
            server = outcome.body.split(b" ")[0].decode("latin-1")
            if 200 <= outcome.status < 300:
                ran = runs.get(outcome.name, {})
                whole = server in ran and outcome.body == body_of(server, outcome.name, 400)
                stamp = m.field(outcome.fields, "response-stamp")
                if not whole or stamp != "stamp-" + outcome.name:
                    wrong.append("%s at %s: %r..., %d bytes" % (
                        outcome.name, node.name, outcome.body[:30], len(outcome.body)))
                judge.add(node.name, prefix, outcome, ran.get(server))
            else:
                judge.add(node.name, prefix, outcome, None)
        await asyncio.sleep(pace_s)
    connection.close()


async def play(options, record):
    mesh = m.Mesh(record, SERVICES, options.machines,
                  ["zone-%d" % i for i in range(options.zones)])
    chance = random.Random(options.seed)
    mesh.store = FaultyStore(record, chance)
    runs = {}  # request id -> server id -> service
    BadServer.chance = chance
    for name, node in mesh.nodes.items():
        server = BadServer(mesh, node)
        server.is_bad = options.bad_servers and chance.random() < 0.5
        server.runs = RunLog(runs, server.id, node.service)
        mesh.servers[name] = server
    operator = Operator(mesh, options.seed, SERVICES)
    faults = FaultySource(mesh, options.seed, options.kinds)
    judge = Judge(operator, faults)
    wrong = []
    try:
        await mesh.start(operator.first_config())
        operator.versions[0].acknowledged = 0.0
        end = record.now() + options.seconds
        tasks = [ask(mesh, node, operator, judge, runs, wrong, 0.06, end)
                 for node in mesh.nodes.values() for _ in range(2)]
        await asyncio.gather(operator.run(end - 5.0), faults.run(end), *tasks)
        if options.logs:
            for node in mesh.nodes.values():
                record.line("log of %s:\n%s" % (node.name, mesh.log_of(node)))
    finally:
        await mesh.stop()
    judged, broken = judge.violations()
    record.say("%d versions, %d requests judged, CONFIG broken by %d, MIXED by %d" % (
        len(operator.versions), judged, len(broken), len(wrong)))
    for line in broken[:MAX_LINES] + wrong[:MAX_LINES]:
        record.say("  " + line)
    if judged < 20 * len(mesh.nodes):
        raise m.CannotRun("too few requests could be judged")
    return not broken and not wrong


class RunLog:
    """Takes the runs of one server into the record of all."""

    def __init__(self, runs, server, service):
        self.runs = runs
        self.server = server
        self.service = service

    def append(self, run):
        self.runs.setdefault(run[1], {})[self.server] = self.service


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default=m.PROGRAM, help="the node's program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--machines", type=int, default=1, help="of each service in each zone")
    parser.add_argument("--kinds", default=",".join(KINDS), help="faults to choose from")
    parser.add_argument("--bad-servers", action="store_true")
    parser.add_argument("--logs", action="store_true", help="the nodes' logs go into the record")
    parser.add_argument("--record", default=os.devnull)
    options = parser.parse_args()
    options.kinds = options.kinds.split(",")
    m.PROGRAM = os.path.abspath(options.program) if os.path.exists(options.program) else m.PROGRAM
    # Faults and routes follow the seed; addresses are drawn anew in each run.
    record = m.Record(options.record)
    print("store_faults seed %d" % options.seed, flush=True)
    try:
        return 0 if asyncio.run(play(options, record)) else 1
    except m.CannotRun as error:
        print("could not run: %s" % error)
        return 2


if __name__ == "__main__":
    sys.exit(main())
