"""A node that shuts down closes connections whose requests still wait for a server."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))
from mesh import FAILURES, GRACE_S, Mesh, Server, exchange, play

ZONES = {"ondangwa": "north-oshana", "oshakati": "north-oshana"}
HOST = "claims.example"
# Times of audit-pull in grown/owr-mesh-grown.toml, rank of file-hectares.
ROUTES = [{"name": "file-hectares", "host": HOST, "pathPrefix": "/file/", "kind": "unsafe",
           "service": "claims-ledger", "timeout": "12500ms", "targetLatency": "4000ms",
           "priority": 0, "attempts": 2}]
TIMEOUT_S = 12.5
WORK_S = 1.4
SLOTS = 6
# Each sends its next request when the one before has ended, so that about 100 of them wait.
CLIENTS_PER_NODE = 30
WARM_UP_S = 12.0
LOSS_SLACK_S = 0.2


class Sent:
    def __init__(self, name, at):
        self.name = name
        self.at = at
        self.ended = None
        self.status = None


class Clients:
    """The clients of one machine, and the platform's questions for its readiness."""

    def __init__(self, record, node):
        self.record = record
        self.node = node
        self.requests = []
        self.may_send = True
        self.ended = False

    async def ask(self):
        misses = 0
        while not self.ended:
            misses = 0 if await self.node.is_ready() else misses + 1
            if misses >= 2 and self.may_send:
                self.record.add(f"two questions to {self.node.name} missed: no new requests")
            self.may_send = misses < 2
            await asyncio.sleep(1.0)

    async def client(self, number):
        count = 0
        while not self.ended:
            if not self.may_send:
                await asyncio.sleep(0.1)
                continue
            count += 1
            sent = Sent(f"{self.node.name}-{number}-{count}", self.record.now())
            self.requests.append(sent)
            await self.send(sent)

    async def send(self, sent):
        fields = [("Host", HOST), ("Request-Id", sent.name), ("Deadline-Ms", "25000")]
        pause = 0.0
        try:
            sent.status, answered, _ = await exchange(self.node.outbound, "PUT", "/file/x", fields,
                                                      b"h" * 300, limit=25.0)
            if sent.status == 503:
                pause = float(answered.get("retry-after", "1"))
        except FAILURES as error:
            sent.status = type(error).__name__
            pause = 0.2
        sent.ended = self.record.now()
        self.record.add(f"client gets {sent.status} for {sent.name} after "
                        f"{sent.ended - sent.at:.3f} s")
        await asyncio.sleep(pause)


async def case(record, trouble):
    mesh = Mesh(record, ZONES)
    for zone in ("ondangwa", "ondangwa", "oshakati", "oshakati"):
        mesh.add_node(zone, "claims-ledger")
    for node in mesh.nodes:
        Server(node, lambda _server, _request: (WORK_S, 200, b"x" * 400), slots=SLOTS)
    await mesh.configure(ROUTES, ["claims-ledger"])
    machines = [Clients(record, node) for node in mesh.nodes]
    node = mesh.nodes[0]
    try:
        await mesh.start()
        tasks = [asyncio.create_task(machine.ask()) for machine in machines]
        tasks += [asyncio.create_task(machine.client(number))
                  for machine in machines for number in range(CLIENTS_PER_NODE)]
        await asyncio.sleep(WARM_UP_S)
        term = record.now()
        if trouble:
            node.signal(signal.SIGTERM)
            try:
                code = await asyncio.wait_for(node.process.wait(), GRACE_S)
                record.add(f"{node.name} has ended with {code}")
            except asyncio.TimeoutError:
                node.signal(signal.SIGKILL)
                await node.process.wait()
            await asyncio.sleep(1.0)
            await node.start(first=False)
        await asyncio.sleep(6.0 if trouble else 2 * GRACE_S)
        for machine in machines:
            machine.ended = True
        await asyncio.gather(*tasks)
    finally:
        await mesh.stop()
    runs = {}
    for server in mesh.servers:
        for name, times in server.runs.items():
            runs.setdefault(name, []).extend(times)

    def is_lost(sent):
        at_work = any(begun < term + GRACE_S and begun + WORK_S > term + GRACE_S * 5 / 6
                      for begun in runs.get(sent.name, []))
        lasted = sent.ended - sent.at
        return (isinstance(sent.status, str) and not at_work and
                term - 3.0 < sent.at and sent.ended < term + GRACE_S + 1 and
                LOSS_SLACK_S < lasted < TIMEOUT_S)

    lost = [sent for sent in machines[0].requests if is_lost(sent)]
    for sent in lost:
        times = [f"{begun - term:.3f}" for begun in runs.get(sent.name, [])]
        record.add(f"LOST: {sent.name} sent {sent.at - term:.3f} s after SIGTERM, {sent.status} "
                   f"{sent.ended - term:.3f} s after it, run at {times}")
    print(f"LOST: {len(lost)} of {len(machines[0].requests)} requests")
    return len(lost)


if __name__ == "__main__":
    sys.exit(play(case))
