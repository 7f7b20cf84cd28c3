"""Servers that frame and break off their answers in every way, clients that send bodies, and the judge
of what arrived: rules MIXED, TWICE, REFUSED and UNASKED."""

import asyncio
import random
import socket
import struct

import mesh as m

MAX_BODY = 100 * 1024
FRAMINGS = ["length", "length", "chunks", "end"]
PLACES = ["status line", "header", "after the header", "body", "body", "chunk head", "last chunk"]
PROMISES = (408, 421, 429, 503)
SAFE = "safe"


def content_of(server, name, length):
    """Bytes that tell the server, the request and the position."""
    seed = ("%s %s " % (server, name)).encode()
    block = b"".join(seed + b"%06d " % at for at in range(length // (len(seed) + 7) + 1))
    return block[:length]


def some_length(chance):
    return chance.choice([0, 1, chance.randrange(400), chance.randrange(5000),
                          chance.randrange(MAX_BODY)])


async def read_body(reader, fields, is_answer):
    """The body of a message; one without length ends with its connection."""
    if m.field(fields, "transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    length = m.field(fields, "content-length")
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if is_answer else b""


class Run:
    """A run of a request at a server, with the answer that it meant to give."""

    def __init__(self, server, request, at):
        self.server = server.id
        self.service = server.node.service
        self.request = request  # method, target, host, body
        self.at = at
        self.status = 0
        self.length = 0
        self.plan = ""


class AnsweringServer(m.Server):
    """Answers with bodies of many lengths. A bad one breaks answers off, sends some again after a while,
    and refuses requests and repeats the refusal later."""

    def __init__(self, mesh, node, chance, runs, bad_share):
        super().__init__(mesh, node)
        self.chance = chance
        self.all_runs = runs  # request id -> list of Run
        self.bad_share = bad_share  # of answers that are broken off; the same are sent again
        self.repeated_refusals = 0
        self.broken_bodies = set()  # connections whose last answer broke off in its body

    async def _serve(self, reader, writer):
        writer.transport.set_write_buffer_limits(0)
        self.writers.add(writer)
        try:
            while True:
                message = await m.read_head(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                body = await read_body(reader, message[1], False)
                if not await self._answer((method, target, message[1], body), writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.broken_bodies.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        method, target, fields, body = request
        name = m.field(fields, "request-id")
        other = m.field(fields, "expect-instance", self.id) != self.id
        if target == "/healthz" or not name or other:
            return await super()._answer(request, writer)
        is_refused = self.queued >= 4 * self.slots or self.chance.random() < self.bad_share
        if is_refused:
            refusal = m.answer_bytes(503, [("Not-Executed", "1"), ("Request-Id", name)], b"")
            writer.write(refusal)
            if self.bad_share and self.chance.random() < 0.5:
                self.repeated_refusals += 1
                self._repeat(writer, refusal)
            return True
        self.queued += 1
        async with self.slot:
            self.queued -= 1
            run = Run(self, (method, target, m.field(fields, "host"), body),
                      self.mesh.record.now())
            self.all_runs.setdefault(name, []).append(run)
            await asyncio.sleep(self.work_s * self.chance.uniform(0.2, 2.0))
        return await self._send_answer(name, run, writer)

    async def _send_answer(self, name, run, writer):
        run.status = 500 if self.chance.random() < 0.02 else 200
        run.length = some_length(self.chance)
        framing = self.chance.choice(FRAMINGS)
        place = ""
        if self.chance.random() < self.bad_share:
            place = self.chance.choice(PLACES)
        run.plan = "%s, broken off: %s" % (framing, place or "no")
        pieces = self._pieces(name, run, framing)
        sent = b"".join(pieces) if not place else self._broken(pieces, place, framing)
        for start in range(0, len(sent), 16384):
            writer.write(sent[start:start + 16384])
            await writer.drain()
        if place:
            # Nobody can tell other bytes behind the part of a body from the rest of it.
            if place not in ("status line", "header"):
                self.broken_bodies.add(writer)
            await asyncio.sleep(self.chance.choice([0.0, 0.002, 0.02, 0.3]))
            # Only a reset tells that an answer without length is not whole.
            is_reset = framing == "end" or self.chance.random() < 0.5
            run.plan += ", by %s after %d bytes" % ("reset" if is_reset else "close", len(sent))
            if is_reset:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
            return False
        if framing == "end":
            return False
        if self.chance.random() < self.bad_share:
            run.plan += ", sent again"
            self._repeat(writer, sent)
        return True

    def _pieces(self, name, run, framing):
        """Status line, header fields, end of the header, then the body, in chunks each with its head."""
        content = content_of(self.id, name, run.length)
        fields = "Request-Id: %s\r\nResponse-Stamp: stamp-%s\r\n" % (name, name)
        if framing == "length":
            fields += "Content-Length: %d\r\n" % run.length
        elif framing == "chunks":
            fields += "Transfer-Encoding: chunked\r\n"
        else:
            fields += "Connection: close\r\n"
        pieces = [b"HTTP/1.1 %d Answer\r\n" % run.status, fields.encode(), b"\r\n"]
        if framing != "chunks":
            return pieces + [content]
        step = max(1, run.length // self.chance.randint(1, 5))
        for at in range(0, run.length, step):
            part = content[at:at + step]
            pieces += [b"%x\r\n" % len(part), part + b"\r\n"]
        return pieces + [b"0\r\n\r\n"]

    def _broken(self, pieces, place, framing):
        """What is sent of an answer that breaks off at `place`."""
        if place == "status line":
            return self._part(pieces[0])
        if place == "header":
            return pieces[0] + self._part(pieces[1] + b"\r")
        head = b"".join(pieces[:3])
        if place == "after the header":
            return head
        if framing == "chunks" and place == "last chunk":
            return b"".join(pieces[:-1]) + self.chance.choice([b"", b"0", b"0\r\n", b"0\r\n\r"])
        if framing == "chunks" and place == "chunk head":
            which = self.chance.randrange(3, len(pieces), 2)
            return b"".join(pieces[:which]) + self._part(pieces[which])
        body = b"".join(pieces[3:])
        return head + body[:self.chance.randrange(len(body))] if body else head

    def _part(self, piece):
        return piece[:self.chance.randrange(1, len(piece))]

    def _repeat(self, writer, content):
        def write():
            if not writer.is_closing() and writer not in self.broken_bodies:
                writer.write(content)
        asyncio.get_running_loop().call_later(self.chance.uniform(0.0, 0.5), write)


class Caller(m.Connection):
    """A client's connection, with hosts, bodies with a length or in chunks, and answers of any framing."""

    async def call(self, method, host, path, body, is_chunked, deadline_ms=2500):
        self.host = host
        self.is_chunked = is_chunked
        return await self.request(method, path, body, deadline_ms)

    async def _request(self, name, method, path, body, deadline_ms):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.node.ip, self.node.ports["outbound"])
        framing = "Content-Length: %d" % len(body)
        if self.is_chunked:
            framing = "Transfer-Encoding: chunked"
            body = b"".join(b"%x\r\n%s\r\n" % (len(body[at:at + 7000]), body[at:at + 7000])
                            for at in range(0, len(body), 7000)) + b"0\r\n\r\n"
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n\r\n" % (
            method, path, self.host, name, deadline_ms, framing)
        self.writer.write(head.encode() + body)
        await self.writer.drain()
        answer = await m.read_head(self.reader)
        if answer is None:
            self.close()
            return m.Outcome(name, why="connection ended without an answer")
        first, fields = answer
        content = await read_body(self.reader, fields, True)
        if m.field(fields, "connection").lower() == "close":
            self.close()
        return m.Outcome(name, int(first.split(" ")[1]), fields, content)


class AnswerJudge:
    """Compares what clients sent and got with what servers ran and meant to answer."""

    def __init__(self, runs):
        self.runs = runs
        self.sent = []  # (outcome, node, kind, method, host, path, body)
        self.broken = {rule: [] for rule in ("MIXED", "TWICE", "REFUSED", "UNASKED")}

    def add(self, outcome, node, kind, request):
        """`request` is method, path, host and body. Bodies are not kept beyond this call."""
        method, path, host, body = request
        runs = self.runs.get(outcome.name, [])
        what = "%s %s %s%s at %s (%s, %d bytes): " % (outcome.name, method, host, path, node, kind,
                                                      len(body))
        for run in runs:
            if run.request != request:
                self.broken["UNASKED"].append("%s%r... with %d bytes at %s" % (
                    what, run.request[:3], len(run.request[3]), run.server))
            run.request = None
        if 200 <= outcome.status < 300:
            self._add_success(outcome, what, runs)
        elif m.field(outcome.fields, "response-stamp"):
            if not any(run.status == outcome.status for run in runs):
                self.broken["MIXED"].append(what + "stamped status %d" % outcome.status)
        outcome.body = b""
        self.sent.append((outcome.name, outcome.status, kind, what))

    def _add_success(self, outcome, what, runs):
        stamp = m.field(outcome.fields, "response-stamp")
        for run in runs:
            whole = content_of(run.server, outcome.name, run.length)
            if run.status == 200 and stamp == "stamp-" + outcome.name and outcome.body == whole:
                return
        plans = "; ".join("%s: %d, %d bytes, %s" % (run.server, run.status, run.length, run.plan)
                          for run in runs)
        self.broken["MIXED"].append("%s%d bytes %r..., stamp %r, fields %r, servers meant: %s" % (
            what, len(outcome.body), outcome.body[:40], stamp, outcome.fields, plans))

    def violations(self):
        """To be asked once nothing runs any more."""
        for name, status, kind, what in self.sent:
            runs = self.runs.get(name, [])
            if kind == SAFE or not runs:
                continue
            where = ", ".join("%s at %.3f (%s)" % (run.server, run.at, run.plan) for run in runs)
            if len(runs) > 1:
                self.broken["TWICE"].append("%s%s" % (what, where))
            if status in PROMISES:
                self.broken["REFUSED"].append("%sanswered %d, run by %s" % (what, status, where))
        return self.broken


def some_body(chance, method):
    """A body of a request, and whether it goes in chunks."""
    if method == "GET":
        return b"", False
    return random.Random(chance.random()).randbytes(some_length(chance)), chance.random() < 0.3
