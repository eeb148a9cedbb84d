"""Stand-ins for the platform of the second review: store, engines, clients and a proxy.

They speak what the users' PROTOCOL page says. All times are of the steady clock, in s.
"""
import asyncio
import base64
import collections
import json
import time
import urllib.parse

MAX_ROWS = 500


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to a file, with times since the start."""

    def __init__(self, path):
        self.start = now()
        self.file = open(path, "w")

    def add(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_message(reader):
    """Reads one HTTP message: its first line, its fields in lower case, and its body. Returns None
    at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {}
        for line in head[1:]:
            name, colon, value = line.partition(":")
            if colon:
                fields[name.strip().lower()] = value.strip()
        body = b""
        if fields.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
        return head[0], fields, body
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def encode(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields),
             f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A listener on loopback that hands each request to a hook."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.address = ""
        self.writers = set()

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.handle(message, reader, writer):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def exit(self):
        """Closes the listener and all connections, as the end of the process does."""
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()


class Store:
    """The platform's metadata store (PROTOCOL.md, "The platform's metadata store")."""

    def __init__(self):
        self.version = 1
        # (table, key) -> (row version, base64 text or None for a removed row)
        self.content = {}
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)

    async def change(self, puts=(), removed=()):
        """Applies one transaction and returns the time of its acknowledgement."""
        self.version += 1
        for table, key, value in puts:
            self.content[(table, key)] = (self.version, value)
        for table, key in removed:
            self.content[(table, key)] = (self.version, None)
        async with self.changed:
            self.changed.notify_all()
        return now()

    async def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return await self.change(puts=[(table, key, text)])

    def rows(self, table, after=None):
        rows = []
        for (of, key), (version, value) in sorted(self.content.items()):
            if of != table or (value is None if after is None else version <= after):
                continue
            row = {"table": table, "part": "", "key": key, "row_version": version}
            rows.append({**row, **({"value": value} if value is not None else {"deleted": True})})
        return rows

    def answer(self, **more):
        return {"row_version": self.version, "now_ms": int(now() * 1000), **more}

    async def handle(self, message, _reader, writer):
        path, _, query = message[0].split(" ")[1].partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, answer = 404, {}
        if path == "/rows-get":
            rows = [it for it in self.rows(values["table"])
                    if it["key"] >= values.get("from", "")]
            limit = min(int(values.get("limit", MAX_ROWS)), MAX_ROWS)
            status, answer = 200, self.answer(rows=rows[:limit], has_more=len(rows) > limit)
        elif path == "/rows-feed":
            status, answer = 200, await self.feed(values)
        elif path == "/rows-tx":
            status, answer = await self.transact(json.loads(message[2]))
        await asyncio.sleep(0.004)
        writer.write(encode(status, [("Content-Type", "application/json")],
                            json.dumps(answer).encode()))
        return True

    async def feed(self, values):
        after = int(values["after"])
        end = now() + min(int(values.get("wait_ms", 0)), 30000) / 1000
        while not (rows := self.rows(values["table"], after)) and now() < end:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass
        return self.answer(rows=sorted(rows, key=lambda it: it["row_version"]))

    async def transact(self, call):
        for it in call.get("expect", []):
            version, value = self.content.get((it["table"], it["key"]), (0, None))
            if it["row_version"] != (version if value is not None else 0):
                return 412, self.answer(rows=[])
        puts = [(it["table"], it["key"], it["value"]) for it in call.get("puts", [])]
        removed = [(it["table"], it["key"]) for it in call.get("remove", [])]
        if any(it[0] in ("op", "servers") for it in [*puts, *removed]):
            return 403, {}
        await self.change(puts, removed)
        return 200, self.answer()


class Proxy:
    """Forwards connections to one address. `silence_open` makes the open connections silent for
    good: their bytes are dropped in both directions and they are not closed. New ones work."""

    def __init__(self, target):
        self.target = target
        self.server = None
        self.address = ""
        self.open = set()
        self.silent = set()
        # New connections get no answer while this is set.
        self.hang = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def silence_open(self):
        self.silent |= self.open
        return len(self.open)

    async def serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link = object()
        self.open.add(link)
        if self.hang:
            self.silent.add(link)
        await asyncio.gather(self.forward(link, reader, far_writer),
                             self.forward(link, far_reader, writer))
        self.open.discard(link)

    async def forward(self, link, reader, writer):
        try:
            while data := await reader.read(65536):
                if link not in self.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if link not in self.silent:
            writer.close()


Run = collections.namedtuple("Run", "attempt time complete")


class Engine:
    """An engine of one service. Runs `safe` and `unsafe` requests for `work_s`; requests with
    X-Model get a stream of `events` events, one each `gap_s`."""

    def __init__(self, store, record, identity, service, zone, *, slots=64, work_s=0.015, events=0,
                 gap_s=0.05):
        self.store = store
        self.record = record
        self.identity = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.events = events
        self.gap_s = gap_s
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.exited = False
        # Attempt, time of arrival and whether the answer was complete, in order of arrival.
        self.runs = []
        self.active = 0
        self.server = Server(self.handle)
        self.heartbeats = None

    def entry(self, state):
        self.seq += 1
        return {"service": self.service, "address": self.server.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0,
                "seq": self.seq, "born": self.born}

    async def start(self, heartbeat_s):
        await self.server.start()
        self.heartbeats = asyncio.create_task(self.beat(heartbeat_s))

    async def beat(self, heartbeat_s):
        while True:
            await self.store.put("servers", self.identity, self.entry("ready"))
            await asyncio.sleep(heartbeat_s)

    async def remove_entry(self):
        """Leaves without reporting `draining`. Returns the time of the acknowledgement."""
        self.heartbeats.cancel()
        acknowledged = await self.store.change(removed=[("servers", self.identity)])
        self.record.add(f"entry of {self.identity} removed")
        return acknowledged

    def exit(self):
        self.exited = True
        if self.heartbeats:
            self.heartbeats.cancel()
        self.server.exit()
        self.record.add(f"{self.identity} exits with {self.active} requests in progress")

    async def handle(self, message, _reader, writer):
        line, fields, _ = message
        arrived = now()
        attempt = fields.get("x-attempt-id", "")
        if line.startswith("GET /health"):
            writer.write(encode(200, [("X-Instance-Id", self.identity)]))
            return True
        own = [("X-Attempt-Id", attempt)]
        if not attempt or fields.get("x-expect-instance", self.identity) != self.identity:
            writer.write(encode(421 if attempt else 400, [*own, ("X-Not-Run", "1")]))
            return True
        if self.active >= self.slots:
            writer.write(encode(503, [*own, ("X-Not-Run", "1")]))
            return True
        self.active += 1
        run = len(self.runs)
        self.runs.append(Run(attempt, arrived, False))
        self.record.add(f"{self.identity} runs {attempt}")
        try:
            await self.work(own + [("X-Response-Seal", f"seal.{self.identity}.{attempt}")], fields,
                            writer)
        finally:
            self.active -= 1
        self.runs[run] = self.runs[run]._replace(complete=not self.exited)
        return True

    async def work(self, own, fields, writer):
        if "x-model" not in fields:
            await asyncio.sleep(self.work_s)
            writer.write(encode(200, own, b"r" * 800))
            return
        lines = ["HTTP/1.1 200 X", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 *(f"{name}: {value}" for name, value in own)]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(int(fields.get("last-event-id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {'t' * 28}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Answer:
    """What a client saw of one attempt. `status` is 0 if the connection ended without a complete
    answer."""

    def __init__(self, attempt, route, gateway, sent):
        self.attempt = attempt
        self.route = route
        self.gateway = gateway
        self.sent = sent
        self.status = 0
        self.answered = None
        self.seal = ""


class Client:
    """Sends requests to one gateway, each at its time, over kept connections."""

    def __init__(self, record, name, address, host, key):
        self.record = record
        self.name = name
        self.address = address
        self.host = host
        self.key = key
        self.idle = []
        self.answers = []

    async def send(self, route, *, method="POST", deadline_ms=4000, key=None, more=()):
        answer = Answer(f"{self.name}-{len(self.answers)}", route, self.name, now())
        self.answers.append(answer)
        fields = [("Host", self.host), ("X-Attempt-Id", answer.attempt),
                  ("X-Deadline-Ms", str(deadline_ms)),
                  ("Authorization", f"Bearer {key or self.key}"),
                  *more]
        body = b"" if method == "GET" else b"body"
        lines = [f"{method} /{route}/{answer.attempt} HTTP/1.1",
                 *(f"{name}: {value}" for name, value in fields), f"Content-Length: {len(body)}"]
        self.record.add(f"{answer.attempt} sent ({route})")
        try:
            await asyncio.wait_for(
                self.exchange(answer, "\r\n".join(lines).encode() + b"\r\n\r\n" + body),
                deadline_ms / 1000)
        except (OSError, asyncio.TimeoutError):
            pass
        self.record.add(f"{answer.attempt} gets {answer.status or 'no complete answer'}")
        return answer

    async def exchange(self, answer, message):
        host, port = self.address.rsplit(":", 1)
        reader, writer = (self.idle.pop() if self.idle
                          else await asyncio.open_connection(host, int(port)))
        try:
            writer.write(message)
            received = await read_message(reader)
            if received is None:
                return
            answer.status = int(received[0].split(" ")[1])
            answer.seal = received[1].get("x-response-seal", "")
            answer.answered = now()
            if received[1].get("connection", "").lower() != "close":
                self.idle.append((reader, writer))
                writer = None
        finally:
            if writer:
                writer.transport.abort()

    def close(self):
        for _, writer in self.idle:
            writer.transport.abort()
