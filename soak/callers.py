"""Callers that keep their connections until the process behind them is gone."""
import asyncio
import time

import audit as audits
import platform_side
import wire

KINDS = ("post", "read", "stream", "draft")
ANSWER_LIMIT_S = 8.0
# Added keys and routes that are asked for; the older ones have been asked for long enough.
RECENT = 8


class Caller:
    """Owns one connection to one gateway and sends requests on it, one after the other."""

    def __init__(self, name, gateway, address_of, audit, random):
        self.name = name
        self.gateway = gateway
        # Gives the present address of the gateway, which changes with a restart.
        self.address_of = address_of
        self.audit = audit
        self.random = random
        self.sent = 0
        self.connection = None
        self.running = True

    async def run(self):
        while self.running:
            await self.request(self.random.choice(KINDS))
            await asyncio.sleep(self.random.uniform(0.0, 0.05))
        self.disconnect()

    async def follow(self, operator):
        """Asks with keys and for routes that the operator adds and removes."""
        while self.running:
            key = self.random.choice([platform_side.KEY, *operator.known_keys[-RECENT:]])
            route = self.random.choice(["steady", *operator.known_routes[-RECENT:]])
            await self.request("read", route, key)
            await asyncio.sleep(self.random.uniform(0.0, 0.04))
        self.disconnect()

    def disconnect(self):
        if self.connection:
            self.connection[1].close()
        self.connection = None

    async def request(self, kind, name=None, key=platform_side.KEY):
        """Sends a request and returns its status, or 0 without a whole answer."""
        sent = time.monotonic()
        status = await self.try_request(kind, name or kind, key)
        self.audit.outcomes.append(audits.Outcome(
            self.gateway, f"{self.name}-{self.sent}", key, name or kind, sent, time.monotonic(),
            status))
        return status

    async def try_request(self, kind, name, key):
        self.sent += 1
        attempt = f"{self.name}-{self.sent}"
        method = "GET" if kind == "read" else "POST"
        target = f"/{name}/{attempt}"
        fields = {"Host": "a.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "5000",
                  "Authorization": f"Bearer {key}"}
        if kind in ("stream", "draft"):
            fields["X-Model"] = "m"
        if kind == "draft":
            fields["X-Pieces"] = ",".join(str(it) for it in platform_side.STAGE_COUNTS)
            fields["X-Piece-Key"] = attempt
        self.audit.ask(attempt, kind, method, target)
        try:
            return await asyncio.wait_for(self.exchange(attempt, kind, method, target, fields),
                                          ANSWER_LIMIT_S)
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
        whole = await wire.read_body(reader, head)
        self.audit.answered(attempt, kind, status, head.body, whole)
        if not whole or head.field("Connection").lower() == "close":
            self.disconnect()
        return status if whole else 0
