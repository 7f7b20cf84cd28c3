"""A node that shuts down ends while the last answer is still on its way to the client."""

import asyncio
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib3"))
from mesh import GRACE_S, Mesh, Server, play, split_address

ZONES = {"ondangwa": "north-oshana", "oshakati": "north-oshana"}
HOST = "claims.example"
# Times of audit-pull in grown/owr-mesh-grown.toml; not to be repeated, as the answer is made once.
ROUTES = [{"name": "audit-export", "host": HOST, "pathPrefix": "/export/", "kind": "unsafe",
           "service": "claims-ledger", "timeout": "12500ms", "targetLatency": "4000ms",
           "priority": 2, "attempts": 2}]
TIMEOUT_S = 12.5
DEADLINE_S = 25.0
# Within the 7 to 140 Mbit/s of the links in grown/.
LINK_MBPS = 40
ANSWER = bytes(range(256)) * 31250
WORK_S = 0.7
# Sent before the platform's second question for readiness is missed, and a calm one before it.
SENT_AT_S = (-3.0, 0.6)


class Download:
    """One client on a connection of its own, with the link of its machine before it."""

    def __init__(self, record, name, node):
        self.record = record
        self.name = name
        self.node = node
        self.sent = 0.0
        self.ended = 0.0
        self.status = 0
        self.received = 0

    async def play(self):
        loop = asyncio.get_running_loop()
        with socket.socket() as connection:
            connection.setblocking(False)
            # Packets and window of a link between machines in place of those of a loopback.
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            await loop.sock_connect(connection, split_address(self.node.outbound))
            self.sent = self.record.now()
            await loop.sock_sendall(connection, (
                f"POST /export/{self.name} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Request-Id: {self.name}\r\nDeadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
                f"Content-Length: 0\r\n\r\n"
            ).encode())
            self.record.add(f"client sends {self.name} to {self.node.name}")
            head = b""
            try:
                while b"\r\n\r\n" not in head:
                    part = await loop.sock_recv(connection, 1460)
                    if not part:
                        break
                    head += part
                head, _, body = head.partition(b"\r\n\r\n")
                self.status = int(head.split(b" ")[1]) if head else 0
                self.received = len(body)
                await self.read(loop, connection)
            except OSError as error:
                self.record.add(f"client: connection of {self.name} fails: {error!r}")
        self.ended = self.record.now()
        self.record.add(f"client gets {self.status} and {self.received} bytes of {len(ANSWER)} "
                        f"for {self.name}, {self.ended - self.sent:.3f} s after it was sent")

    async def read(self, loop, connection):
        began, first = loop.time(), self.received
        while self.received < len(ANSWER):
            due = began + (self.received - first) * 8 / (LINK_MBPS * 1e6)
            await asyncio.sleep(max(0.0, due - loop.time()))
            part = await loop.sock_recv(connection, 8192)
            if not part:
                return
            self.received += len(part)

    def is_cut(self):
        return self.received < len(ANSWER) and self.ended - self.sent < TIMEOUT_S


async def case(record, trouble):
    mesh = Mesh(record, ZONES, {"linkMbps": float(LINK_MBPS)})
    for zone in ("ondangwa", "ondangwa", "oshakati", "oshakati"):
        mesh.add_node(zone, "claims-ledger")
    for node in mesh.nodes:
        Server(node, lambda _server, _request: (WORK_S, 200, ANSWER), slots=18)
    await mesh.configure(ROUTES, ["claims-ledger"])
    node = mesh.nodes[0]
    downloads = [Download(record, f"export-{number}", node) for number in range(len(SENT_AT_S))]
    try:
        await mesh.start()
        await asyncio.sleep(3.5)
        begin = record.now() + 3.5
        plays = []
        for download, at in zip(downloads, SENT_AT_S):
            if at > 0:
                await asyncio.sleep(max(0.0, begin - record.now()))
                if trouble:
                    node.signal(signal.SIGTERM)
            await asyncio.sleep(max(0.0, begin + at - record.now()))
            plays.append(asyncio.create_task(download.play()))
        await asyncio.gather(*plays)
        if trouble:
            code = await asyncio.wait_for(node.process.wait(), GRACE_S)
            record.add(f"{node.name} has ended with {code} {record.now() - begin:.3f} s after SIGTERM"
                       " at the latest")
    finally:
        await mesh.stop()
    # Passed on to a server, and neither a refusal nor a failure.
    ran = {name for server in mesh.servers for name in server.runs}
    cut = [each.name for each in downloads if each.name in ran and each.is_cut()]
    record.add(f"LOST: {len(cut)} requests {cut}")
    print(f"LOST: {len(cut)} of {len(downloads)} requests")
    return len(cut)


if __name__ == "__main__":
    sys.exit(play(case))
