"""Thirty real nodes or more over loopback, with links that are cut or go silent, a store in trouble, and
readers that stop or restart, in series and overlapping; an operator of hundreds of routes; servers
that break answers off in every way.

Looks for broken rules CONFIG, MIXED, TWICE, REFUSED and UNASKED, and for versions that came into force
later than their bound. A fault of links between nodes does
not excuse a node from CONFIG; one of its process or of its path to the store does."""

import argparse
import asyncio
import os
import random
import re
import signal
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import mesh as m  # noqa: E402

import answers  # noqa: E402
from faulty_store import FaultyStore, FaultySource, STATUS_BUSY, STATUS_MANY  # noqa: E402
from link_relay import HOLD, Links  # noqa: E402
from many_routes import ManyRoutes  # noqa: E402
from routes import CONFIG_APPLY_S, STABLE_WINDOW_S, Judge  # noqa: E402
from versions_in_force import late_versions  # noqa: E402

SERVICES = ["ledger", "field", "claims"]
NODE_PORT = 7380
LINK_KINDS = ["zones_cut", "zones_cut_one_way", "machine_cut", "machine_cut_one_way",
              "reader_cut", "links_silent", "reader_links_silent"]
# Two faults in a row, each of which is found by its own time limit.
SERIES = ["store_stale_then_links"]
OWN_KINDS = ["store_stale_some", "store_silent_some", "store_refused_some", "reader_restart",
             "reader_stop", "some_stop"]
WHOLE_KINDS = ["silent", "slow", "lost", "forget"]
KINDS = LINK_KINDS * 3 + OWN_KINDS * 2 + WHOLE_KINDS + SERIES * 2
CUT_S = [0.6, 1.3, 2.6, 4.0, 7.0]
METRICS = ("configuration_version", "register_reader", "register_subscribers",
           "register_reads_overdue_total", "register_reads_abandoned_total",
           "register_updates_received_total", "register_updates_unusable_total",
           "register_configuration_requests_total")
MAX_LINES = 30


class MeshNode(m.Node):
    """A node whose connections to other nodes go through the relay."""

    def __init__(self, mesh, name, region, zone, service, ip):
        super().__init__(mesh, name, region, zone, service)
        self.ip = ip
        self.started_at = []
        for port in self.ports:
            self.ports[port] = m.free_port(ip)
        self.ports["node"] = NODE_PORT

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "settings.json.tmpl"), encoding="utf-8") as file:
            template = file.read()
        settings = os.path.join(self.mesh.folder, self.name + ".json")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(m.render(template, self.fields()))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["AMARANTHLATCH_SETTINGS"] = settings
        environment["LD_PRELOAD"] = self.mesh.options.link_faults
        environment["LINK_FAULTS_PORT"] = str(NODE_PORT)
        environment["LINK_FAULTS_SOURCE"] = self.ip
        with open(os.path.join(self.mesh.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                m.PROGRAM, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log, preexec_fn=m.end_with_parent)
        if self.mesh.options.cores:
            os.sched_setaffinity(self.process.pid, self.mesh.cores)
        self.starts += 1
        self.started_at.append(self.mesh.record.now())
        self.mesh.record.line("platform: starts %s (%s, %s)" % (self.name, self.zone, self.ip))

    async def metrics(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, m.ADMIN_PORT)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            text = (await asyncio.wait_for(reader.read(-1), 1.0)).decode("latin-1")
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return {}
        found = re.findall(r"^amaranthlatch_(\w+)(?:\{[^}]*\})? ([0-9.e+]+)\r?$", text, re.M)
        return {name: float(value) for name, value in found}


class StaleWriter:
    """Writes to a connection of the store until that goes silent."""

    def __init__(self, writer):
        self.writer = writer
        self.is_stale = False
        self.transport = writer.transport

    def write(self, content):
        if not self.is_stale:
            self.writer.write(content)

    def __getattr__(self, name):
        return getattr(self.writer, name)


class StaleStore(FaultyStore):
    """Open connections of a machine may go silent while new ones work."""

    def __init__(self, record, chance):
        super().__init__(record, chance)
        self.open = {}  # port -> writers

    async def _serve(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        stale = StaleWriter(writer)
        self.open.setdefault(port, set()).add(stale)
        try:
            await super()._serve(reader, stale)
        finally:
            self.open[port].discard(stale)

    def make_stale(self, port):
        for writer in self.open.get(port, ()):
            writer.is_stale = True


class BigMesh(m.Mesh):
    def __init__(self, record, options, chance):
        self.record = record
        self.options = options
        self.folder = tempfile.mkdtemp(prefix="mesh-faults-")
        self.store = StaleStore(record, chance)
        self.links = Links()
        self.nodes = {}
        self.servers = {}
        self.runs = {}
        self.cores = set(sorted(os.sched_getaffinity(0))[-options.cores:]) if options.cores else None
        network = "127.%d.%d" % (random.randint(16, 250), random.randint(0, 127))
        for zone in range(options.zones):
            for service in SERVICES:
                for number in range(options.machines):
                    name = "z%d-%s-%d" % (zone, service, number)
                    node = MeshNode(self, name, "region-%d" % (zone // 3), "zone-%d" % zone, service,
                                    "%s.%d" % (network, len(self.nodes) + 2))
                    self.nodes[name] = node
                    self.servers[name] = answers.AnsweringServer(
                        self, node, chance, self.runs,
                        options.bad_answers if chance.random() < 0.5 else 0.0)

    async def start(self, config):
        """All machines start at once."""
        if not os.access(m.PROGRAM, os.X_OK):
            raise m.CannotRun("%s is not built" % m.PROGRAM)
        await self.links.start([node.ip for node in self.nodes.values()], NODE_PORT)
        await self.store.put_config(config)
        for node in self.nodes.values():
            node.store_port = await self.store.open_port()
        await asyncio.gather(*(node.start() for node in self.nodes.values()))
        await asyncio.gather(*(server.start() for server in self.servers.values()))

    async def stop(self):
        await super().stop()
        await self.links.stop()


class MeshFaults(FaultySource):
    """Bursts of faults, each a short time after the one before, with pauses between the bursts."""

    def __init__(self, mesh, seed, kinds):
        super().__init__(mesh, seed, kinds)
        self.links = {name: [] for name in mesh.nodes}  # faults of links that concern the machine
        if not mesh.options.judge_start:
            now = mesh.record.now()
            for spans in self.single.values():
                spans.append([now, now])

    async def run(self, end):
        running = set()
        while self.mesh.record.now() < end - 18.0:
            await asyncio.sleep(self.chance.uniform(3.5, 6.0))
            for _ in range(self.chance.randint(2, 6)):
                running.add(asyncio.create_task(self.play(self.chance.choice(self.kinds))))
                await asyncio.sleep(self.chance.uniform(0.1, 2.4))
        await asyncio.gather(*running)

    def mark(self, line):
        """Adds to a line of a broken rule whether the machine had a fault of its own links then."""
        found = re.search(r"at (z\S+?),? (?:sent at|after) ([0-9.]+)", line)
        if not found:
            return line
        name, at = found.group(1), float(found.group(2))
        acknowledged = re.match(r"version \d+, acknowledged at ([0-9.]+)", line)
        if acknowledged:
            at = float(acknowledged.group(1)) + CONFIG_APPLY_S
        harmed = any(begin <= at and end > at - STABLE_WINDOW_S for begin, end in self.links[name])
        return line + (" (its own links were in a fault)" if harmed else "")

    def say(self, text):
        self.mesh.record.say("%7.2f   %s" % (self.mesh.record.now(), text))

    def zones(self):
        zones = {}
        for node in self.mesh.nodes.values():
            zones.setdefault(node.zone, []).append(node.ip)
        return zones

    async def cut(self, sources, targets, ways, what):
        """Cuts the links from each source to each target, and back if `ways` is 2."""
        seconds = self.chance.choice(CUT_S)
        pairs = [(a, b) for a in sources for b in targets if a != b]
        if ways == 2:
            pairs += [(b, a) for a, b in pairs]
        self.say("%s for %.1f s, %d ways" % (what, seconds, ways))
        # Those on the smaller side are the ones cut off.
        own = min(sources, targets, key=len)
        spans = [spans for name, spans in self.links.items() if self.mesh.nodes[name].ip in own]
        now = self.mesh.record.now()
        for each in spans:
            each.append([now, now + seconds])
        self.mesh.links.begin(pairs, HOLD)
        await asyncio.sleep(seconds)
        self.mesh.links.end(pairs, HOLD)

    async def cut_zones(self, ways):
        zones = self.zones()
        names = self.chance.sample(sorted(zones), len(zones))
        count = self.chance.randint(1, max(1, len(names) // 2))
        ips = [[ip for zone in part for ip in zones[zone]] for part in (names[:count], names[count:])]
        if ways == 1 and self.chance.random() < 0.5:
            ips.reverse()
        await self.cut(ips[0], ips[1], ways, "zones %s cut off" % names[:count])

    async def cut_machines(self, ways):
        names = self.chance.sample(sorted(self.mesh.nodes), self.chance.choice([1, 1, 2, 3]))
        if self.chance.random() < 0.4:
            names = await self.readers() or names
            names = names[:2]
        own = [self.mesh.nodes[name].ip for name in names]
        sides = [own, [node.ip for node in self.mesh.nodes.values()]]
        if ways == 1 and self.chance.random() < 0.5:
            sides.reverse()
        await self.cut(sides[0], sides[1], ways, "%s cut off" % names)

    async def play_zones_cut(self):
        await self.cut_zones(2)

    async def play_zones_cut_one_way(self):
        await self.cut_zones(1)

    async def play_machine_cut(self):
        await self.cut_machines(2)

    async def play_machine_cut_one_way(self):
        await self.cut_machines(1)

    async def play_reader_cut(self):
        names = (await self.readers())[:self.chance.randint(1, 2)]
        own = [self.mesh.nodes[name].ip for name in names]
        others = [node.ip for node in self.mesh.nodes.values()]
        ways = self.chance.choice([1, 2])
        await self.cut(own, others, ways, "readers %s cut off" % names)

    def silence_links(self, names):
        own = [self.mesh.nodes[name].ip for name in names]
        self.say("open links of %s go silent" % names)
        now = self.mesh.record.now()
        for name in names:
            self.links[name].append([now, now])
        pairs = [(a, node.ip) for a in own for node in self.mesh.nodes.values()]
        self.mesh.links.silence(pairs + [(b, a) for a, b in pairs])

    async def play_links_silent(self):
        self.silence_links(self.some_nodes())

    async def play_reader_links_silent(self):
        self.silence_links(await self.readers())

    async def readers(self):
        names = sorted(self.mesh.nodes)
        found = await asyncio.gather(*(self.mesh.nodes[name].metrics() for name in names))
        readers = [name for name, values in zip(names, found) if values.get("register_reader")]
        return self.chance.sample(readers, len(readers))

    async def play_store_stale_some(self):
        names = await self.readers() if self.chance.random() < 0.6 else self.some_nodes()
        self.say("open connections of %s to the store go silent" % names)
        for name in names:
            self.mesh.store.make_stale(self.mesh.nodes[name].store_port)
        await self.single_for(names, 0.0)

    async def play_store_stale_then_links(self):
        names = await self.readers()
        self.say("open connections of %s to the store go silent" % names)
        for name in names:
            self.mesh.store.make_stale(self.mesh.nodes[name].store_port)
        await self.single_for(names, 0.0)
        await asyncio.sleep(self.chance.uniform(1.2, 2.4))
        self.silence_links(names)

    async def play_store_silent_some(self):
        names = self.some_nodes()
        if self.chance.random() < 0.5:
            names = (await self.readers())[:self.chance.randint(1, 5)]
        self.say("store silent to %s" % names)
        ports = {self.mesh.nodes[name].store_port for name in names}
        self.mesh.store.silent |= ports
        await self.single_for(names, self.chance.choice(CUT_S))
        self.mesh.store.silent -= ports

    async def play_store_refused_some(self):
        names = self.some_nodes()
        if self.chance.random() < 0.5:
            names = (await self.readers())[:self.chance.randint(1, 5)]
        refusal = self.chance.choice([STATUS_BUSY, STATUS_MANY, "reset"])
        self.say("store answers %s to %s" % (refusal, names))
        for name in names:
            self.mesh.store.refusal_by_port[self.mesh.nodes[name].store_port] = refusal
        await self.single_for(names, self.chance.choice(CUT_S))
        for name in names:
            self.mesh.store.refusal_by_port.pop(self.mesh.nodes[name].store_port, None)

    async def play_reader_restart(self):
        for name in (await self.readers())[:self.chance.randint(1, 3)]:
            await self.restart(name)

    async def restart(self, name):
        node = self.mesh.nodes[name]
        if node.process.returncode is not None:
            return
        self.say("restart of %s" % name)
        span = [self.mesh.record.now(), float("inf")]
        self.single[name].append(span)
        node.kill()
        await node.process.wait()
        await asyncio.sleep(self.chance.choice([0.1, 0.5, 2.0]))
        await node.start()
        span[1] = self.mesh.record.now()

    async def stop_for(self, names):
        seconds = self.chance.uniform(1.0, 4.0)
        self.say("%s stopped for %.1f s" % (names, seconds))
        processes = [self.mesh.nodes[name].process for name in names]
        for name in names:
            self.mesh.nodes[name].kill(signal.SIGSTOP)
        await self.single_for(names, seconds)
        for process in processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def play_reader_stop(self):
        await self.stop_for((await self.readers())[:self.chance.randint(1, 3)])

    async def play_some_stop(self):
        await self.stop_for(self.some_nodes()[:4])


class Client:
    """Asks one machine, from the second in which it is first ready."""

    def __init__(self, mesh, node, operator, judges, chance):
        self.mesh = mesh
        self.node = node
        self.operator = operator
        self.config_judge, self.answer_judge = judges
        self.chance = chance

    async def run(self, pace_s, end):
        while self.mesh.record.now() < end and not await self.node.is_ready():
            await asyncio.sleep(0.1)
        caller = answers.Caller(self.mesh, self.node)
        while self.mesh.record.now() < end:
            await asyncio.sleep(pace_s * self.chance.uniform(0.5, 1.5))
            if self.node.process.returncode is None:
                await self.ask(caller)
        caller.close()

    async def ask(self, caller):
        key = self.operator.pick()
        kind = self.operator.kind(key)
        host, prefix = self.operator.split(key)
        path = prefix + "x%d" % self.chance.randrange(1000)
        method = self.chance.choice(["GET", "PUT"]) if kind == answers.SAFE else "PUT"
        body, is_chunked = answers.some_body(self.chance, method)
        try:
            outcome = await caller.call(method, host, path, body, is_chunked)
        except (ValueError, IndexError, asyncio.LimitOverrunError) as error:
            self.answer_judge.broken["MIXED"].append("%s%s at %s: no answer: %r" % (
                host, path, self.node.name, error))
            caller.close()
            return
        runs = self.mesh.runs.get(outcome.name, [])
        if outcome.status == 404:
            self.config_judge.add(self.node.name, key, outcome, None)
        for service in {run.service for run in runs}:
            self.config_judge.add(self.node.name, key, outcome, service)
        self.answer_judge.add(outcome, self.node.name, kind, (method, path, host, body))


async def watch(mesh, end):
    """Keeps changes of some metrics in the record."""
    last = {}
    while mesh.record.now() < end:
        names = sorted(mesh.nodes)
        found = await asyncio.gather(*(mesh.nodes[name].metrics() for name in names))
        for name, values in zip(names, found):
            now = {key: values[key] for key in METRICS if key in values}
            if now and now != last.get(name):
                last[name] = now
                mesh.record.line("metrics of %s: %s" % (
                    name, " ".join("%s=%d" % item for item in now.items())))
        await asyncio.sleep(0.5)


async def watch_delay(record, end):
    """Tells how late this process itself was: its store answers that much later."""
    longest = 0.0
    while record.now() < end:
        due = record.now() + 0.05
        await asyncio.sleep(0.05)
        delay = record.now() - due
        longest = max(longest, delay)
        if delay > 0.15:
            record.line("rig: delayed by %.2f s" % delay)
    record.say("the rig was delayed by %.2f s at most" % longest)


PROBE = """
import time
while True:
    begun = time.monotonic()
    time.sleep(0.02)
    if time.monotonic() - begun > 0.2:
        print("%.3f %.2f" % (begun, time.monotonic() - begun), flush=True)
"""


async def watch_cores(cores, record, faults):
    """Keeps in the record when a process on the nodes' cores was not run; for a second or more that
    is a stop of all nodes."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", PROBE, stdout=asyncio.subprocess.PIPE, preexec_fn=m.end_with_parent)
    os.sched_setaffinity(process.pid, cores)

    async def read():
        async for line in process.stdout:
            begun, delay = map(float, line.split())
            begun -= record.begun
            record.line("cores: a process waited for %.2f s" % delay, at=begun)
            if delay >= 1.0:
                faults.whole.append([begun, begun + delay])
    asyncio.get_running_loop().create_task(read())
    return process


async def burn(cores, count):
    """Processes that use up the nodes' cores."""
    async def one():
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", "while True: pass", preexec_fn=m.end_with_parent)
        if cores:
            os.sched_setaffinity(process.pid, cores)
        return process
    return [await one() for _ in range(count)]


async def play(options, record):
    chance = random.Random(options.seed)
    mesh = BigMesh(record, options, chance)
    operator = ManyRoutes(mesh, options.seed, SERVICES, options.routes, options.version_pause)
    judges = (None, answers.AnswerJudge(mesh.runs))
    burners = []
    try:
        await mesh.start(operator.first_config())
        operator.versions[0].acknowledged = 0.0
        faults = MeshFaults(mesh, options.seed, options.kinds)
        judges = (Judge(operator, faults), judges[1])
        burners = await burn(mesh.cores, options.burners)
        if mesh.cores:
            burners.append(await watch_cores(mesh.cores, record, faults))
        end = record.now() + options.seconds
        clients = [Client(mesh, node, operator, judges, chance) for node in mesh.nodes.values()
                   for _ in range(options.clients)]
        await asyncio.gather(operator.run(end - 5.0), faults.run(end), watch(mesh, end),
                             watch_delay(record, end),
                             *(client.run(options.clients / options.rate, end)
                               for client in clients))
        await asyncio.sleep(3.0)
        if options.logs:
            for node in mesh.nodes.values():
                record.line("log of %s:\n%s" % (node.name, mesh.log_of(node)))
        late = late_versions(mesh, operator, judges[0], end)
        ended = [name for name, node in mesh.nodes.items() if node.process.returncode is not None]
    finally:
        for process in burners:
            process.kill()
            await process.wait()
        await mesh.stop()
    return judge(mesh, operator, judges, late, ended)


def judge(mesh, operator, judges, late, ended):
    record = mesh.record
    judged, requests = judges[0].violations()
    mark = judges[0].faults.mark
    broken = {"CONFIG": [mark(line) for line in requests],
              "late versions": [mark(line) for line in late[0]], **judges[1].violations()}
    record.say("longest time until a version was in force: %.2f s, %s" % late[1])
    statuses = {}
    for _, status, _, _ in judges[1].sent:
        statuses[status] = statuses.get(status, 0) + 1
    record.say("%d versions, %d requests judged, statuses %s; broken: %s" % (
        len(operator.versions), judged, sorted(statuses.items()),
        ", ".join("%s by %d" % (rule, len(lines)) for rule, lines in broken.items())))
    plans = [run.plan for runs in mesh.runs.values() for run in runs]
    record.say("servers: %d runs, %d answers broken off, %d sent again, %d refusals sent again" % (
        len(plans), sum("broken off: no" not in plan for plan in plans),
        sum("sent again" in plan for plan in plans),
        sum(server.repeated_refusals for server in mesh.servers.values())))
    for rule, lines in broken.items():
        for line in lines[:MAX_LINES]:
            record.say("  %s: %s" % (rule, line))
    for name in ended:
        record.say("  the process of %s ended by itself" % name)
    if judged < 20 * len(mesh.nodes):
        raise m.CannotRun("too few requests could be judged")
    return not ended and not any(broken.values())


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="the node's program")
    parser.add_argument("--link-faults", required=True, help="the library of link_faults.cc")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--zones", type=int, default=5)
    parser.add_argument("--machines", type=int, default=2, help="of each service in each zone")
    parser.add_argument("--routes", type=int, default=300, help="that stay for the whole run")
    parser.add_argument("--version-pause", type=float, default=1.0, help="mean seconds")
    parser.add_argument("--clients", type=int, default=2, help="of each machine")
    parser.add_argument("--rate", type=float, default=12.0, help="requests a second and machine")
    parser.add_argument("--kinds", default=",".join(KINDS), help="faults to choose from")
    parser.add_argument("--cores", type=int, default=0, help="to which all nodes are pinned")
    parser.add_argument("--burners", type=int, default=0, help="processes that use up those cores")
    parser.add_argument("--judge-start", action="store_true",
                        help="the first start of the nodes excuses nothing")
    parser.add_argument("--bad-answers", type=float, default=0.0, metavar="SHARE",
                        help="share of answers that every second server breaks off, the same that "
                             "it sends again, and of requests that it refuses")
    parser.add_argument("--logs", action="store_true", help="the nodes' logs go into the record")
    parser.add_argument("--record", default=os.devnull)
    options = parser.parse_args()
    options.kinds = options.kinds.split(",")
    options.link_faults = os.path.abspath(options.link_faults)
    m.PROGRAM = os.path.abspath(options.program)
    # Routes and faults follow the seed; which nodes read, and all addresses, differ between runs.
    record = m.Record(options.record)
    record.begun_wall = time.time() - record.now()
    print("mesh_faults seed %d" % options.seed, flush=True)
    try:
        return 0 if asyncio.run(play(options, record)) else 1
    except m.CannotRun as error:
        print("could not run: %s" % error)
        return 2


if __name__ == "__main__":
    sys.exit(main())
