"""The platform's store as PROTOCOL.md describes it: rows in tables, transactions and the feed."""
import asyncio
import base64
import functools
import json
import time
import urllib.parse

import web

MAX_WAIT_MS = 30000


class Store:
    """Keeps the rows and answers the calls of the gateways. Nothing that it has acknowledged is
    lost."""

    def __init__(self):
        # Names of the gateways that get no response to any call.
        self.rejected = set()
        # Called with the name of the gateway and the target of each call that gets no response.
        self.on_rejected = lambda name, target: None
        self.tables = {}
        self.version = 1
        self.changed = asyncio.Condition()
        # What a call that gets no response waits for.
        self.never = asyncio.Event()

    async def listen(self, host, name=""):
        """Starts a listener, for the gateway of this name if one is given. Returns its address."""
        server = await web.serve(functools.partial(self.handle, name), host)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    async def put(self, table, key, value):
        """Writes a row, or removes it if the value is None."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = (value, self.version)
        async with self.changed:
            self.changed.notify_all()

    def content(self, table, after):
        rows = []
        for key, (value, version) in sorted(self.tables.get(table, {}).items()):
            if version <= after or (value is None and after == 0):
                continue
            row = {"table": table, "part": "", "key": key, "row_version": version}
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            rows.append(row)
        return {"rows": rows, "has_more": False, "row_version": self.version,
                "now_ms": int(time.monotonic() * 1000)}

    async def feed(self, table, after, wait_s):
        end = time.monotonic() + wait_s
        while not (content := self.content(table, after))["rows"]:
            left = end - time.monotonic()
            if left <= 0:
                break
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        content["rows"].sort(key=lambda it: it["row_version"])
        return content

    async def handle(self, name, message, writer):
        if name in self.rejected:
            self.on_rejected(name, message.start.split(" ")[1])
            # The connection delivers nothing further.
            await self.never.wait()
        path, _, query = message.start.split(" ")[1].partition("?")
        values = dict(urllib.parse.parse_qsl(query))
        status, answer = 200, {}
        if path == "/rows-get":
            answer = self.content(values["table"], 0)
        elif path == "/rows-feed":
            wait_ms = min(int(values["wait_ms"]), MAX_WAIT_MS)
            answer = await self.feed(values["table"], int(values["after"]), wait_ms / 1000)
        elif path == "/rows-tx":
            transaction = json.loads(message.body)
            for row in transaction["puts"]:
                await self.put(row["table"], row["key"],
                               json.loads(base64.b64decode(row["value"])))
            for row in transaction["remove"]:
                await self.put(row["table"], row["key"], None)
            answer = {"row_version": self.version}
        else:
            status = 404
        if name in self.rejected:
            await self.never.wait()
        writer.write(web.encode_response(status, [("Content-Type", "application/json")],
                                         json.dumps(answer).encode()))
        return True
