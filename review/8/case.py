"""Requests that omit a stage in the middle of a chain.

Stage 2 has `after` = [1], and the requests have no pieces of stage 1. A piece of stage 2 must not
be made without inputs.
"""
import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
import gateways  # noqa: E402
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"contact_ms": 3000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_budget_slack": 52}
ZONES = ["ch-mitte-a", "ch-mitte-b", "ch-mitte-c"]
HOST = "jepu9.example"
KEY = "9dnn2ctnfzs989anu6ws"
REQUESTS = 20
PIECES = "1,0,6" if TROUBLE else "1,4,6"
# Service, `after`, size of a result, time of a call and of a piece in ms, pieces of a call, memory
# for results in MB (agri-rueck, route claim-explain).
STAGES = (("trustee-portal", [], 8000, 240.0, 26.0, 8, 9.6),
          ("canton-feed", [0], 60000, 240.0, 17.0, 12, 1.3),
          ("coop-sync", [1], 6000, 240.0, 11.0, 18, 0.2))


def configuration():
    stages = [{"service": it[0], "after": it[1], "byte_count": it[2]} for it in STAGES]
    route = {"name": "claim-explain", "host": HOST, "prefix": "/claim-explain/", "priority": 1,
             "kind": "streaming", "service": "jujube-pool", "timeout_ms": 12000, "goal_ms": 2000,
             "max_attempts": 2, "public": False, "sticky": True, "resumable": True,
             "gap_target_ms": 600, "stages": stages}
    pieces = [{"name": it[0], "max_conns": 270,
               "pieces": {"slots": 1, "queue": 2, "batch": it[5], "call_ms": it[3],
                          "item_ms": it[4], "headroom_mb": it[6], "handle_s": 4.0,
                          "link_mbps": 10000}} for it in STAGES]
    return {"version": 7, "routes": [route],
            "services": [{"name": "jujube-pool", "max_conns": 270}, *pieces],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
            "tenants": [{"name": "bozi300", "api_keys": [KEY]}]}


class StageEngine(standins.Engine):
    """Makes pieces, and records each entry of its calls."""

    def __init__(self, *arguments, headroom_mb, call_s, entries):
        super().__init__(*arguments, slots=1)
        self.headroom_mb = headroom_mb
        self.call_s = call_s
        # All entries of all engines.
        self.entries = entries

    async def handle(self, message, reader, writer):
        line, fields, body = message
        if fields.get("x-expect-instance", self.identity) != self.identity:
            writer.write(standins.encode(421, [("X-Not-Run", "1")]))
        elif line.startswith("GET /report"):
            report = {"queued": 0, "busy": self.active, "free_mb": int(self.headroom_mb)}
            writer.write(standins.encode(200, [], json.dumps(report).encode()))
        elif line.startswith("POST /stage-run"):
            await self.make(json.loads(body)["entries"], writer)
        else:
            writer.write(standins.encode(200, [], b"{}"))
        return True

    async def make(self, entries, writer):
        self.active += 1
        results = []
        for it in entries:
            self.entries.append(it)
            given = f"inputs {it['inputs']}" if "inputs" in it else f"key {it.get('key')}"
            self.record.add(f"{self.identity} makes {it['id']} stage {it['stage']} piece "
                            f"{it['piece']} from {given}")
            results.append({"handle": f"{self.server.address}/{len(self.entries):x}"})
        await asyncio.sleep(self.call_s)
        self.active -= 1
        writer.write(standins.encode(200, [("X-Instance-Load", f"{self.active},0,1")],
                                     json.dumps({"entries": results}).encode()))


class ModelEngine(standins.Engine):
    """Requires X-Inputs, as the page says."""

    async def handle(self, message, reader, writer):
        if message[0].startswith("POST ") and "x-inputs" not in message[1]:
            attempt = message[1].get("x-attempt-id", "")
            self.record.add(f"{self.identity} gets {attempt} without X-Inputs")
            writer.write(standins.encode(400, [("X-Attempt-Id", attempt), ("X-Not-Run", "1")]))
            return True
        return await super().handle(message, reader, writer)


async def play(record, folder, started):
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    store = standins.Store()
    await store.server.start()
    await store.put("op", "config", configuration())
    entries = []
    for n, zone in enumerate(ZONES):
        await ModelEngine(store, record, f"i-pool-{n}", "jujube-pool", zone, events=10).start(1.2)
        for service, _, _, call_ms, _, _, headroom_mb in STAGES:
            await StageEngine(store, record, f"i-{service}-{n}", service, zone,
                              headroom_mb=headroom_mb, call_s=call_ms / 1000,
                              entries=entries).start(1.2)
    gateway = gateways.Gateway(f"front-{ZONES[0]}-1", ZONES[0], ZONES, store.server.address,
                               BOUNDS, folder, gateways.free_ports(4))
    gateway.start()
    started.append(gateway)
    await gateway.wait_ready()
    await asyncio.sleep(3)
    client = standins.Client(record, "client", gateway.front, HOST, KEY)
    for number in range(REQUESTS):
        await client.send("claim-explain", deadline_ms=12000,
                          more=[("X-Model", "m"), ("X-Token-Count", "800,300"),
                                ("X-Prompt-Prefix", f"5c1e07a2:120,{number:x}:680"),
                                ("X-Pieces", PIECES), ("X-Piece-Key", f"7c1e07a291{number:02x}")])
    broken = [it for it in entries if STAGES[it["stage"]][1] and not it.get("inputs")]
    for it in broken:
        record.add(f"BROKEN: {it['id']} stage {it['stage']} piece {it['piece']} has `after` and is "
                   f"given no inputs, but {it}")
    served = sum(it.status == 200 for it in client.answers)
    text = (f"{served} of {REQUESTS} requests served; {len(broken)} of {len(entries)} pieces have "
            "`after` and were given no inputs")
    record.add(text)
    print(text)
    return 1 if broken else 0


def main():
    record = standins.Record(FOLDER / "record.txt")
    started = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(asyncio.wait_for(play(record, pathlib.Path(folder), started), 110))
        except (gateways.CannotRun, OSError, asyncio.TimeoutError) as e:
            record.add(f"cannot run: {e!r}")
            print(f"cannot run: {e!r}")
            return 2
        finally:
            for it in started:
                it.end()
            record.close()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = main()
    sys.stdout.flush()
    # Without the destructors of asyncio, which complain about connections that are still open.
    os._exit(code)
