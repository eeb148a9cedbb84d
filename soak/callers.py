"""Callers that keep their connections open until the gateway process ends."""
import asyncio
import time

import audit as audits
import standin_platform
import wire

KINDS = ("post", "read", "stream", "draft")
RESPONSE_TIMEOUT_S = 8.0
# How many of the last added keys and routes are used; older ones have been requested often enough.
MAX_RECENT_NAMES = 8


class Caller:
    """Owns one connection to one gateway and sends requests on it, one after the other."""

    def __init__(self, name, gateway, address_of, audit, random):
        self.name = name
        self.gateway = gateway
        # Hook that returns the current address of the gateway, which changes with a restart.
        self.address_of = address_of
        self.audit = audit
        self.random = random
        self.sent_count = 0
        self.connection = None
        self.running = True

    async def run(self):
        while self.running:
            await self.request(self.random.choice(KINDS))
            await asyncio.sleep(self.random.uniform(0.0, 0.05))
        self.disconnect()

    async def run_with_changing_names(self, operator):
        """Sends requests with keys and routes that the operator adds and removes."""
        while self.running:
            key = self.random.choice([standin_platform.KEY,
                                      *operator.known_keys[-MAX_RECENT_NAMES:]])
            route = self.random.choice(["steady", *operator.known_routes[-MAX_RECENT_NAMES:]])
            await self.request("read", route, key)
            await asyncio.sleep(self.random.uniform(0.0, 0.04))
        self.disconnect()

    def disconnect(self):
        if self.connection:
            self.connection[1].close()
        self.connection = None

    async def request(self, kind, name=None, key=standin_platform.KEY):
        """Sends a request and returns its status, or 0 without a complete response."""
        sent = time.monotonic()
        status = await self.send_request(kind, name or kind, key)
        self.audit.outcomes.append(audits.Outcome(
            self.gateway, f"{self.name}-{self.sent_count}", key, name or kind, sent,
            time.monotonic(), status))
        return status

    async def send_request(self, kind, name, key):
        self.sent_count += 1
        attempt = f"{self.name}-{self.sent_count}"
        method = "GET" if kind == "read" else "POST"
        target = f"/{name}/{attempt}"
        fields = {"Host": "a.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "5000",
                  "Authorization": f"Bearer {key}"}
        if kind in ("stream", "draft"):
            fields["X-Model"] = "m"
        if kind == "draft":
            fields["X-Pieces"] = ",".join(str(it) for it in standin_platform.STAGE_COUNTS)
            fields["X-Piece-Key"] = attempt
        self.audit.record_request(attempt, kind, method, target)
        try:
            return await asyncio.wait_for(self.exchange(attempt, kind, method, target, fields),
                                          RESPONSE_TIMEOUT_S)
        except (OSError, asyncio.TimeoutError):
            self.disconnect()
            await asyncio.sleep(0.05)
            return 0

    async def exchange(self, attempt, kind, method, target, fields):
        if self.connection is None:
            host, port = self.address_of().rsplit(":", 1)
            self.connection = await asyncio.open_connection(host, int(port))
        reader, writer = self.connection
        writer.write(wire.encode(f"{method} {target} HTTP/1.1", fields,
                                 b"" if method == "GET" else b"body"))
        await writer.drain()
        head = await wire.read_head(reader)
        if head is None:
            self.disconnect()
            return 0
        status = int(head.start.split(" ")[1])
        complete = await wire.read_body(reader, head)
        self.audit.record_response(attempt, kind, status, head.body, complete)
        if not complete or head.field("Connection").lower() == "close":
            self.disconnect()
        return status if complete else 0
