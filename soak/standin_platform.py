"""Stand-ins for the platform in a soak: the store and the upstreams."""
import asyncio
import base64
import collections
import copy
import enum
import functools
import json
import urllib.parse

import wire

EVENTS = 5
KEY = "key-1"
WORKSPACE = "w"
STAGE_COUNTS = (1, 3)
# Routes that every configuration has. `steady` and all added routes lead to a service without
# injected faults, so that the outcome of a request on them depends on the gateway's state alone.
DISTURBED_ROUTES = ("draft", "stream", "post", "read")
STEADY_ROUTES = (*DISTURBED_ROUTES, "steady")
MAX_WAIT_MS = 30000
MAX_RESPONSE_DELAY_S = 0.4
LOSS_PROBABILITY = 0.3


class StoreBehavior(enum.Enum):
    """How the store handles the calls of a gateway."""
    NORMAL = "normal"
    SILENT = "silent"
    SLOW = "slow"
    DROPS_RESPONSES = "drops responses"


def is_undisturbed(route):
    """Whether no faults are injected into the service of the route."""
    return route not in DISTURBED_ROUTES


class UpstreamBehavior(enum.Enum):
    """How an upstream handles requests."""
    NORMAL = "normal"
    FAILS = "fails"
    DROPS_RESPONSES = "drops responses"
    REFUSES = "refuses"
    CUTS_STREAMS = "cuts streams"


def configuration(version, extra_routes, extra_keys):
    """Returns a configuration with the given routes and keys in addition to the permanent ones."""
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
    """The store: rows in tables that are read as a whole or polled for changes after a version.

    Each gateway has its own listener, so that the store can behave differently towards each. A
    dropped call never gets a response, not even after the disruption, and its connection stays
    unused. It may be away for all and come back from an older copy of itself.
    """

    # Age of the oldest copy in s.
    MAX_COPY_AGE_S = 5

    def __init__(self, random):
        self.random = random
        self.tables = collections.defaultdict(dict)
        self.version = 1
        self.era = 1
        self.away = False
        # Times and contents, oldest first.
        self.copies = collections.deque()
        self.changed = asyncio.Condition()
        self.behaviors = collections.defaultdict(lambda: StoreBehavior.NORMAL)
        self.silence_counts = collections.Counter()
        self.calls = collections.Counter()
        self.dropped_calls = collections.Counter()
        self.closing = asyncio.Event()
        self.servers = []
        # Hook that returns the address to publish for a gateway.
        self.address_of_gateway = lambda name, address: address

    async def listen(self, client):
        """Starts the listener for one client and returns its address."""
        server = wire.Server(functools.partial(self.handle, client))
        await server.start()
        self.servers.append(server)
        return server.address

    async def close(self):
        """Closes the listeners and ends all waiting calls."""
        for it in self.servers:
            it.server.close()
        self.closing.set()
        async with self.changed:
            self.changed.notify_all()

    def set_behavior(self, client, behavior):
        """Sets the behavior. Calls that wait when a silence begins are dropped too."""
        self.silence_counts[client] += behavior is StoreBehavior.SILENT
        self.behaviors[client] = behavior

    def leave(self):
        """Is away for all until `restore`. Calls in progress are dropped."""
        self.away = True
        for client in self.calls:
            self.silence_counts[client] += 1

    async def restore(self, age_s):
        """Comes back from the newest copy that is at least this old, or from the oldest one."""
        now = asyncio.get_running_loop().time()
        old = [it for it in self.copies if now - it[0] >= age_s] or list(self.copies)[:1]
        if old:
            _, self.version, self.tables = copy.deepcopy(old[-1])
        self.copies.clear()
        self.era += 1
        self.away = False
        async with self.changed:
            self.changed.notify_all()

    def keep_copy(self):
        now = asyncio.get_running_loop().time()
        self.copies.append((now, self.version, copy.deepcopy(self.tables)))
        while now - self.copies[0][0] > self.MAX_COPY_AGE_S:
            self.copies.popleft()

    async def put(self, table, key, value):
        self.keep_copy()
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
        silences = self.silence_counts[client]
        dropped = self.away or self.behaviors[client] is StoreBehavior.SILENT
        if not dropped:
            if self.behaviors[client] is StoreBehavior.SLOW:
                await asyncio.sleep(self.random.uniform(0, MAX_RESPONSE_DELAY_S))
            status, response = await self.respond(message)
            dropped = self.silence_counts[client] != silences or (
                self.behaviors[client] is StoreBehavior.DROPS_RESPONSES and
                self.random.random() < LOSS_PROBABILITY)
        if dropped:
            self.dropped_calls[client] += 1
            await self.closing.wait()
            return False
        writer.write(wire.encode_response(status, json.dumps(response).encode(),
                                          Content_Type="application/json",
                                          Store_Era=str(self.era)))
        return True

    async def respond(self, message):
        path, _, query = message.start.split(" ")[1].partition("?")
        values = dict(urllib.parse.parse_qsl(query))
        if path == "/rows-get":
            return 200, self.rows(values["table"], 0)
        if path == "/rows-feed":
            wait_ms = min(int(values["wait_ms"]), MAX_WAIT_MS)
            return await self.wait_for_changes(values["table"], int(values["after"]),
                                               wait_ms / 1000)
        if path == "/rows-tx":
            call = json.loads(message.body)
            for row in call["puts"]:
                value = json.loads(base64.b64decode(row["value"]))
                if row["table"] == "gateways":
                    value["address"] = self.address_of_gateway(row["key"], value["address"])
                await self.put(row["table"], row["key"], value)
            for row in call["remove"]:
                await self.put(row["table"], row["key"], None)
        return 200, {"row_version": self.version, "now_ms": 1}

    async def wait_for_changes(self, table, after, wait_s):
        """Waits up to `wait_s` for a change of the table and returns the changed rows, or 410 if the
        store does not have the version."""
        end = asyncio.get_running_loop().time() + wait_s
        response = {}
        while after <= self.version and not (response := self.rows(table, after))["rows"] and not self.closing.is_set():
            remaining = end - asyncio.get_running_loop().time()
            if remaining <= 0:
                break
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
        return (200, response) if after <= self.version else (410, {})


class Upstream:
    """One instance of a service. Reports the calls that it receives to the audit."""

    def __init__(self, identity, service, audit):
        self.identity = identity
        self.service = service
        self.audit = audit
        self.behavior = UpstreamBehavior.NORMAL
        self.result_count = 0
        # Published address, which is part of the handles of results.
        self.advertised = ""
        self.server = wire.Server(self.handle)

    async def handle(self, message, writer):
        method, target, _ = message.start.split(" ")
        if message.field("X-Expect-Instance") != self.identity:
            writer.write(wire.encode_response(421, X_Instance_Id=self.identity,
                                              X_Attempt_Id=message.field("X-Attempt-Id")))
            return True
        if target == "/report":
            writer.write(wire.encode_response(200, b'{"queued":0,"busy":0,"free_mb":1}'))
            return True
        if target == "/stage-free":
            writer.write(wire.encode_response(200, b"{}"))
            return True
        if self.behavior is UpstreamBehavior.REFUSES:
            writer.write(wire.encode_response(503, X_Not_Run="1",
                                              X_Attempt_Id=message.field("X-Attempt-Id")))
            return True
        if target == "/stage-run":
            return await self.make_pieces(message, writer)
        attempt = message.field("X-Attempt-Id")
        self.audit.record_run(attempt, self.identity, method, target, message)
        if self.behavior is UpstreamBehavior.DROPS_RESPONSES:
            return False
        seal = {"X_Attempt_Id": attempt, "X_Response_Seal": "seal"}
        if self.behavior is UpstreamBehavior.FAILS:
            writer.write(wire.encode_response(500, b"fault", **seal))
        elif message.field("X-Model"):
            return await self.stream(message, writer, attempt)
        else:
            writer.write(wire.encode_response(200, f"answer to {attempt}".encode(), **seal))
        return True

    async def make_pieces(self, message, writer):
        entries = []
        for entry in json.loads(message.body)["entries"]:
            self.audit.record_piece(entry)
            self.result_count += 1
            handle = f"{self.advertised}/{self.identity}-{self.result_count}"
            self.audit.stage_results[handle] = (entry["id"], entry["stage"])
            entries.append({"handle": handle})
        await asyncio.sleep(0.03)
        if self.behavior is UpstreamBehavior.DROPS_RESPONSES:
            return False
        if self.behavior is UpstreamBehavior.FAILS:
            entries = [{"reason": "error"} for _ in entries]
        writer.write(wire.encode_response(200, json.dumps({"entries": entries}).encode()))
        return True

    async def stream(self, message, writer, attempt):
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nX-Response-Seal: seal\r\n"
                     b"X-Attempt-Id: " + attempt.encode() + b"\r\n\r\n")
        first = int(message.field("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            if self.behavior is UpstreamBehavior.CUTS_STREAMS and number == 3:
                return False
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        return True
