"""The platform's side of a soak: its store and upstreams, and what they saw."""
import asyncio
import base64
import collections
import enum
import functools
import json
import urllib.parse

import wire

EVENTS = 5
KEY = "key-1"
WORKSPACE = "w"
STAGE_COUNTS = (1, 3)
# Routes that every configuration has. `steady` and all added routes go to a service that no fault
# disturbs, so that only the gateway's own state decides how a request on them ends.
DISTURBED_ROUTES = ("draft", "stream", "post", "read")
STEADY_ROUTES = (*DISTURBED_ROUTES, "steady")
LONGEST_WAIT_MS = 30000
SLOW_S = 0.4
LOST_SHARE = 0.3


class StoreConduct(enum.Enum):
    """How the store treats the calls of a gateway."""
    GOOD = "good"
    SILENT = "silent"
    SLOW = "slow"
    LOSES_ANSWERS = "loses answers"


def is_calm(route):
    """Whether no fault disturbs the service of the route."""
    return route not in DISTURBED_ROUTES


class Conduct(enum.Enum):
    """How an upstream treats requests."""
    GOOD = "good"
    FAILS = "fails"
    LOSES_ANSWERS = "loses answers"
    REFUSES = "refuses"
    BREAKS_OFF = "breaks off"


def configuration(version, extra_routes, extra_keys):
    """Both are added to those that the callers use all the time."""
    def route(name, kind, service, **more):
        return {"name": name, "host": "a.example", "prefix": f"/{name}/", "kind": kind,
                "service": service, "timeout_ms": 4000, "goal_ms": 2000, "priority": 0,
                "max_attempts": 2, "public": False, "resumable": True, "gap_target_ms": 600,
                **more}

    def pieces(call_ms):
        return {"slots": 1, "queue": 2, "batch": 8, "call_ms": call_ms, "item_ms": 1.0,
                "headroom_mb": 1.0, "handle_s": 4.0}

    stages = [{"service": "stages", "after": [], "byte_count": 100},
              {"service": "stages", "after": [0], "byte_count": 100}]
    return {"version": version,
            "routes": [route("draft", "streaming", "engines", stages=stages),
                       route("stream", "streaming", "engines"),
                       route("post", "unsafe", "desk"), route("read", "safe", "desk"),
                       *(route(name, "safe", "notices") for name in ("steady", *extra_routes))],
            "services": [{"name": "engines", "engine": {}}, {"name": "desk"}, {"name": "notices"},
                         {"name": "stages", "pieces": pieces(30.0)}],
            "limits": {"max_body_bytes": 100000, "idle_timeout_ms": 15000},
            "tenants": [{"name": WORKSPACE, "api_keys": [KEY, *extra_keys]}]}


class Store:
    """The store: rows in tables, read whole or followed from a version.

    Each gateway has a listener of its own, so that the store may treat each in another way. A call
    that is lost stays without an answer, also after the trouble, and its connection with it.
    """

    def __init__(self, random):
        self.random = random
        self.tables = collections.defaultdict(dict)
        self.version = 1
        self.changed = asyncio.Condition()
        self.conducts = collections.defaultdict(lambda: StoreConduct.GOOD)
        self.silences = collections.Counter()
        self.calls = collections.Counter()
        self.lost_calls = collections.Counter()
        self.closing = asyncio.Event()
        self.servers = []
        # Gives the address under which the others find a gateway.
        self.address_of_gateway = lambda name, address: address

    async def listen(self, client):
        """Starts the listener for one client and returns its address."""
        server = wire.Server(functools.partial(self.handle, client))
        await server.start()
        self.servers.append(server)
        return server.address

    async def close(self):
        """Ends the listeners and all calls that wait."""
        for it in self.servers:
            it.server.close()
        self.closing.set()
        async with self.changed:
            self.changed.notify_all()

    def set_conduct(self, client, conduct):
        """The calls that wait as a silence begins are lost too."""
        self.silences[client] += conduct is StoreConduct.SILENT
        self.conducts[client] = conduct

    async def put(self, table, key, value):
        self.version += 1
        self.tables[table][key] = (value, self.version)
        async with self.changed:
            self.changed.notify_all()

    def rows(self, table, after):
        rows = [{"table": table, "part": "", "key": key, "row_version": version,
                 **({"value": base64.b64encode(json.dumps(value).encode()).decode()}
                    if value is not None else {"deleted": True})}
                for key, (value, version) in self.tables[table].items()
                if version > after and (value is not None or after > 0)]
        return {"rows": rows, "has_more": False, "row_version": self.version}

    async def handle(self, client, message, writer):
        self.calls[client] += 1
        silences = self.silences[client]
        lost = self.conducts[client] is StoreConduct.SILENT
        if not lost:
            if self.conducts[client] is StoreConduct.SLOW:
                await asyncio.sleep(self.random.uniform(0, SLOW_S))
            reply = await self.reply(message)
            lost = self.silences[client] != silences or (
                self.conducts[client] is StoreConduct.LOSES_ANSWERS and
                self.random.random() < LOST_SHARE)
        if lost:
            self.lost_calls[client] += 1
            await self.closing.wait()
            return False
        writer.write(wire.answer(200, json.dumps(reply).encode(), Content_Type="application/json"))
        return True

    async def reply(self, message):
        path, _, query = message.start.split(" ")[1].partition("?")
        values = dict(urllib.parse.parse_qsl(query))
        if path == "/rows-get":
            return self.rows(values["table"], 0)
        if path == "/rows-feed":
            wait_ms = min(int(values["wait_ms"]), LONGEST_WAIT_MS)
            return await self.changes(values["table"], int(values["after"]), wait_ms / 1000)
        if path == "/rows-tx":
            call = json.loads(message.body)
            for row in call["puts"]:
                value = json.loads(base64.b64decode(row["value"]))
                if row["table"] == "gateways":
                    value["address"] = self.address_of_gateway(row["key"], value["address"])
                await self.put(row["table"], row["key"], value)
            for row in call["remove"]:
                await self.put(row["table"], row["key"], None)
        return {"row_version": self.version, "now_ms": 1}

    async def changes(self, table, after, wait_s):
        """Waits for a change of the table for that long."""
        end = asyncio.get_running_loop().time() + wait_s
        while not (reply := self.rows(table, after))["rows"] and not self.closing.is_set():
            left = end - asyncio.get_running_loop().time()
            if left <= 0:
                break
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        return reply


class Upstream:
    """One instance of a service. Records in the audit what it is asked to run."""

    def __init__(self, identity, service, audit):
        self.identity = identity
        self.service = service
        self.audit = audit
        self.conduct = Conduct.GOOD
        self.results = 0
        # Address that others know; results are named by it.
        self.advertised = ""
        self.server = wire.Server(self.handle)

    async def handle(self, message, writer):
        method, target, _ = message.start.split(" ")
        if message.field("X-Expect-Instance") != self.identity:
            writer.write(wire.answer(421, X_Instance_Id=self.identity))
            return True
        if target == "/report":
            writer.write(wire.answer(200, b'{"queued":0,"busy":0,"free_mb":1}'))
            return True
        if target == "/stage-free":
            writer.write(wire.answer(200, b"{}"))
            return True
        if self.conduct is Conduct.REFUSES:
            writer.write(wire.answer(503, X_Not_Run="1",
                                     X_Attempt_Id=message.field("X-Attempt-Id")))
            return True
        if target == "/stage-run":
            return await self.make_pieces(message, writer)
        attempt = message.field("X-Attempt-Id")
        self.audit.ran(attempt, self.identity, method, target, message)
        if self.conduct is Conduct.LOSES_ANSWERS:
            return False
        seal = {"X_Attempt_Id": attempt, "X_Response_Seal": "seal"}
        if self.conduct is Conduct.FAILS:
            writer.write(wire.answer(500, b"fault", **seal))
        elif message.field("X-Model"):
            return await self.stream(message, writer, attempt)
        else:
            writer.write(wire.answer(200, f"answer to {attempt}".encode(), **seal))
        return True

    async def make_pieces(self, message, writer):
        entries = []
        for entry in json.loads(message.body)["entries"]:
            self.audit.piece(entry)
            self.results += 1
            handle = f"{self.advertised}/{self.identity}-{self.results}"
            self.audit.made[handle] = (entry["id"], entry["stage"])
            entries.append({"handle": handle})
        await asyncio.sleep(0.03)
        if self.conduct is Conduct.LOSES_ANSWERS:
            return False
        if self.conduct is Conduct.FAILS:
            entries = [{"reason": "error"} for _ in entries]
        writer.write(wire.answer(200, json.dumps({"entries": entries}).encode()))
        return True

    async def stream(self, message, writer, attempt):
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nX-Response-Seal: seal\r\n"
                     b"X-Attempt-Id: " + attempt.encode() + b"\r\n\r\n")
        first = int(message.field("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            if self.conduct is Conduct.BREAKS_OFF and number == 3:
                return False
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        return True
