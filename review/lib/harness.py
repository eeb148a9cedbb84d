"""Stand-ins and helpers for the scripts of the review: the platform's store, engines, clients and
real gateway processes on loopback. Written from PROTOCOL.md and DEPLOY.md."""
import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target" / "jujubemast-gateway"
TEMPLATE = ROOT / "deploy" / "settings.yaml"

# Exit codes of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not run; says nothing about the rule."""


# --- HTTP -----------------------------------------------------------------------------------------

class Message:
    def __init__(self, start, fields):
        self.start = start
        self.fields = fields
        self.body = b""

    def field(self, name):
        return self.fields.get(name.lower(), "")

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Reads a message up to its body; None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields.setdefault(name.strip().lower(), value.strip())
    return Message(lines[0], fields)


async def read_chunk(reader):
    """Returns the next chunk of a chunked body, b"" for the last one."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise asyncio.IncompleteReadError(line, None)
    chunk = await reader.readexactly(int(line.split(b";")[0], 16))
    await reader.readexactly(2)
    return chunk


async def read_body(reader, message):
    """Reads the body; raises if it breaks off."""
    if message.field("Transfer-Encoding") == "chunked":
        while chunk := await read_chunk(reader):
            message.body += chunk
    else:
        message.body = await reader.readexactly(int(message.field("Content-Length") or 0))


def encode(start, fields, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_response(status, fields=(), body=b""):
    return encode(f"HTTP/1.1 {status} X", [*fields, ("Content-Length", len(body))], body)


def address_of(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def free_port():
    """Returns a free port below the range of outgoing connections."""
    first_outgoing = int(
        pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    while True:
        port = random.SystemRandom().randrange(10000, first_outgoing)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


# --- The record of a run --------------------------------------------------------------------------

class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


# --- The platform's store -------------------------------------------------------------------------

class Store:
    """The tables that the gateway reads and writes, with long polls for changes."""

    def __init__(self, record):
        self.record = record
        self.tables = collections.defaultdict(dict)
        self.version = 1
        self.changed = asyncio.Condition()
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def put(self, table, key, value):
        """Writes a row, or deletes it if the value is None. Its return is the acknowledgement."""
        async with self.changed:
            self.version += 1
            encoded = None if value is None else base64.b64encode(
                value if isinstance(value, bytes) else json.dumps(value).encode()).decode()
            self.tables[table][key] = (encoded, self.version)
            self.changed.notify_all()

    def rows(self, table, after, with_deleted):
        result = []
        for key, (value, version) in sorted(self.tables[table].items(), key=lambda it: it[1][1]):
            if version <= after or (value is None and not with_deleted):
                continue
            row = {"table": table, "part": "", "key": key, "row_version": version}
            row.update({"deleted": True} if value is None else {"value": value})
            result.append(row)
        return result

    def content(self, rows):
        return {"rows": rows, "has_more": False, "row_version": self.version,
                "now_ms": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (message := await read_head(reader)) is not None:
                await read_body(reader, message)
                body = json.dumps(await self.respond(message)).encode()
                writer.write(encode_response(200, [("Content-Type", "application/json")], body))
                await writer.drain()
        writer.close()

    async def respond(self, message):
        path, _, query = message.start.split(" ")[1].partition("?")
        values = dict(urllib.parse.parse_qsl(query))
        if path == "/rows-get":
            rows = sorted(self.rows(values["table"], 0, False), key=lambda it: it["key"])
            return self.content([it for it in rows if it["key"] >= values.get("from", "")])
        if path == "/rows-feed":
            return await self.feed(values["table"], int(values["after"]),
                                   int(values["wait_ms"]) / 1000)
        if path == "/rows-tx":
            call = json.loads(message.body)
            for row in call["puts"]:
                await self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call["remove"]:
                await self.put(row["table"], row["key"], None)
            return self.content([])
        raise CouldNotRun("the store has no call " + path)

    async def feed(self, table, after, wait_s):
        end = time.monotonic() + wait_s
        while not (rows := self.rows(table, after, True)) and time.monotonic() < end:
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), max(0, end - time.monotonic()))
        return self.content(rows)


# --- Engines --------------------------------------------------------------------------------------

class Engine:
    """An engine. `answer(message, reader, writer)` answers a request that is meant for it and
    returns whether the connection is kept."""

    def __init__(self, identity, service, record, answer, slots=64):
        self.identity = identity
        self.service = service
        self.record = record
        self.answer = answer
        self.slots = slots
        self.server = None
        self.address = ""

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.register(store, "ready")

    async def register(self, store, state):
        await store.put("servers", self.identity, {
            "service": self.service, "address": self.address, "zone": "z", "version": "v1",
            "slots": self.slots, "state": state, "cold_left_ms": 0, "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}], "seq": 1,
            "born": 1_700_000_000_000})

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (message := await read_head(reader)) is not None:
                await read_body(reader, message)
                expected = message.field("X-Expect-Instance")
                if expected and expected != self.identity:
                    writer.write(encode_response(421, [
                        ("X-Instance-Id", self.identity),
                        ("X-Attempt-Id", message.field("X-Attempt-Id"))]))
                elif not await self.answer(message, reader, writer):
                    break
                await writer.drain()
        writer.close()

    def seal(self, message):
        """The header fields of the engine's own answers."""
        return [("X-Attempt-Id", message.field("X-Attempt-Id")),
                ("X-Response-Seal", "seal." + self.identity)]


# --- Gateways -------------------------------------------------------------------------------------

class Gateway:
    """A gateway process, started with the command of the deploy file and its settings template."""

    def __init__(self, name, store, folder, bounds=None):
        self.name = name
        self.folder = pathlib.Path(folder)
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.process = None
        self.starts = 0
        values = {"node_name": name, "zone": "z", "ip": "127.0.0.1", "limits.cpu_share": 0.19,
                  "bounds.grace_s": 8, "bounds.contact_ms": 3000,
                  "bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 52,
                  "listen.front": self.front, "listen.ready": self.ready,
                  "internal_ports.0": free_port(), "internal_ports.1": free_port(),
                  "platform.address": store.address, **(bounds or {})}
        self.settings = self.folder / f"{name}.yaml"
        self.settings.write_text(re.sub(r"\{\{([^}]*)\}\}", lambda it: str(values[it.group(1)]),
                                        TEMPLATE.read_text()))

    def start(self):
        if not GATEWAY.exists():
            raise CouldNotRun(f"{GATEWAY} is not built")
        self.starts += 1
        with open(self.folder / f"{self.name}.{self.starts}.log", "w", encoding="utf-8") as log:
            self.process = subprocess.Popen([GATEWAY, "--settings", self.settings], cwd=ROOT,
                                            stdout=log, stderr=subprocess.STDOUT)

    def signal(self, number):
        self.process.send_signal(number)

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*address_of(self.ready))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and head.status == 200:
                    return
            if self.process.poll() is not None:
                raise CouldNotRun(f"{self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} does not get ready")

    def stop(self):
        """Ends the process, which this script started."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def log(self):
        return "".join(it.read_text(errors="replace")
                       for it in sorted(self.folder.glob(f"{self.name}.*.log")))


# --- Running a case -------------------------------------------------------------------------------

def route(name, kind, service, **more):
    return {"name": name, "host": "a.example", "prefix": f"/{name}/", "kind": kind,
            "service": service, "timeout_ms": 12000, "goal_ms": 2000, "priority": 0,
            "max_attempts": 1, "stages": [], "public": False, "sticky": False, "resumable": False,
            "gap_target_ms": 600, **more}


def configuration(version, routes, services, keys=("key-1",)):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "w", "api_keys": list(keys), "priority": 1}]}


def run_case(folder, case, limit_s=110):
    """Runs `case(record, temporary folder, trouble)`, which returns whether the rule held, and ends
    the script with the exit code for it."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    record.write(f"begin, trouble {'on' if trouble else 'off'}")
    try:
        held = asyncio.run(asyncio.wait_for(case(record, temporary, trouble), limit_s))
        code = HELD if held else BROKEN
    except (CouldNotRun, OSError, asyncio.TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.write("the rule " + {HELD: "held", BROKEN: "was broken"}.get(code, "was not tested"))
    print((pathlib.Path(folder) / "record.txt").read_text().splitlines()[-1])
    sys.stdout.flush()
    # Without the destructors of connections whose event loop has ended.
    os._exit(code)
