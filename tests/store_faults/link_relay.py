"""The relay between nodes: a process of its own that forwards their connections, and the rig's side
of it, which cuts, silences and heals the links of pairs of nodes.

Nodes stand on 127.N.Z.I, the relay listens for each on 127.N.(Z+128).I; see link_faults.cc."""

import asyncio
import json
import os
import resource
import socket
import sys

PASS = "pass"
HOLD = "hold"  # Bytes wait, as in a network that loses all packets, and arrive after the heal.
RELAY_BIT = 128


def relay_ip(ip):
    parts = ip.split(".")
    parts[2] = str(int(parts[2]) + RELAY_BIT)
    return ".".join(parts)


class Side(asyncio.Protocol):
    """One end of a relayed connection. `ip` is the node at this end."""

    def __init__(self, link, ip):
        self.link = link
        self.ip = ip
        self.other = None
        self.transport = None
        self.is_full = False  # whether the buffer towards this end is full
        self.is_over = False  # whether this end has closed

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.link.made(self)

    def data_received(self, data):
        if not self.link.is_silent:
            self.other.transport.write(data)

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self.is_over = True
        self.link.update()

    def pause_writing(self):
        self.is_full = True
        self.link.update()

    def resume_writing(self):
        self.is_full = False
        self.link.update()


class Link:
    """One connection that the node `source` opened to the node `target`."""

    def __init__(self, relay, target):
        self.relay = relay
        self.is_silent = False
        self.dialer = Side(self, "")
        self.acceptor = Side(self, target)
        self.dialer.other = self.acceptor
        self.acceptor.other = self.dialer
        self.is_dialing = False

    def made(self, side):
        if side is self.dialer:
            side.ip = side.transport.get_extra_info("peername")[0]
            self.relay.links.add(self)
            side.transport.pause_reading()
        self.update()

    async def dial(self):
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self.acceptor, self.acceptor.ip, self.relay.port)
        except OSError:
            self.dialer.transport.abort()

    def modes(self):
        ends = (self.dialer.ip, self.acceptor.ip)
        return self.relay.modes.get(ends, PASS), self.relay.modes.get(ends[::-1], PASS)

    def update(self):
        """Applies the modes of both directions."""
        if self.acceptor.transport is None:
            if self.dialer.is_over:
                self.relay.links.discard(self)
            elif not self.is_dialing and self.modes() == (PASS, PASS):
                self.is_dialing = True
                asyncio.get_running_loop().create_task(self.dial())
            return
        for side, mode in zip((self.dialer, self.acceptor), self.modes()):
            if side.is_over:
                if mode == PASS and not self.is_silent and not side.other.is_over:
                    side.other.transport.close()
            elif mode == HOLD or side.other.is_full:
                side.transport.pause_reading()
            else:
                side.transport.resume_reading()
        if self.dialer.is_over and self.acceptor.is_over:
            self.relay.links.discard(self)


class Relay:
    def __init__(self, port):
        self.port = port
        self.modes = {}  # (source, target) -> mode of the bytes that go this way
        self.links = set()

    async def run(self, ips):
        loop = asyncio.get_running_loop()
        for ip in ips:
            await loop.create_server(lambda ip=ip: Link(self, ip).dialer, relay_ip(ip), self.port,
                                     backlog=1024)
        commands = asyncio.StreamReader(limit=2 ** 22)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        print("ready", flush=True)
        while True:
            line = await commands.readline()
            if not line:
                return
            self.obey(json.loads(line))

    def obey(self, command):
        pairs = {tuple(pair) for pair in command["pairs"]}
        if command["mode"] == "silence":
            for link in self.links:
                if (link.dialer.ip, link.acceptor.ip) in pairs:
                    link.is_silent = True
            return
        self.modes.update({pair: command["mode"] for pair in pairs})
        for link in list(self.links):
            ends = (link.dialer.ip, link.acceptor.ip)
            if ends in pairs or ends[::-1] in pairs:
                link.update()


class Links:
    """The rig's side of the relay. A pair may be under several faults at once."""

    def __init__(self):
        self.process = None
        self.faults = {}  # (source, target) -> modes of the faults under way

    async def start(self, ips, port):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.abspath(__file__), str(port), *ips,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        if await self.process.stdout.readline() != b"ready\n":
            raise RuntimeError("the relay did not start")

    async def stop(self):
        if self.process is not None:
            self.process.stdin.close()
            await self.process.wait()

    def _send(self, pairs, mode):
        line = json.dumps({"pairs": [list(pair) for pair in pairs], "mode": mode})
        self.process.stdin.write(line.encode() + b"\n")

    def silence(self, pairs):
        """Open connections of these pairs carry nothing more; new ones work."""
        self._send(pairs, "silence")

    def begin(self, pairs, mode):
        for pair in pairs:
            self.faults.setdefault(pair, []).append(mode)
        self._send(pairs, mode)

    def end(self, pairs, mode):
        left = {}
        for pair in pairs:
            self.faults[pair].remove(mode)
            rest = self.faults[pair][-1] if self.faults[pair] else PASS
            left.setdefault(rest, []).append(pair)
        for rest, healed in left.items():
            self._send(healed, rest)


def main():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 16384)), hard))
    asyncio.run(Relay(int(sys.argv[1])).run(sys.argv[2:]))


if __name__ == "__main__":
    main()
