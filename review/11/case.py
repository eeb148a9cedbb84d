"""Two software versions of a model service serve side by side, and one engine crashes."""
import asyncio
import json
import pathlib
import subprocess
import sys

import deployment
import store
import web

HOST = "127.0.0.1"
ENGINES = 8
EVENTS = 40
EVENT_PAUSE_MS = 50
STREAMS = 48
DEADLINE_MS = 12000
# The rule is broken by more streams than this.
ALLOWED_MIXED = 2
ROUTE = {"name": "claim-explain", "host": "claims.example", "prefix": "/sum/", "kind": "streaming",
         "service": "jujube-pool", "timeout_ms": 12000, "goal_ms": 2500, "priority": 1,
         "max_attempts": 2, "resumable": True, "gap_target_ms": 800, "sticky": True}
CONFIGURATION = {"version": 3, "routes": [ROUTE],
                 "services": [{"name": "jujube-pool", "max_conns": 330}],
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000,
                            "header_timeout_ms": 5000, "idle_timeout_ms": 20000}}


class Engine:
    """An engine process with its entry in the store."""

    def __init__(self, number, processes):
        self.id = f"i-{number:08x}"
        self.version = "v1" if number < ENGINES // 2 else "v2"
        self.address = f"{HOST}:{deployment.free_port(HOST)}"
        self.zone = f"ch-mitte-{'abc'[number % 3]}"
        self.output = processes.folder / f"{self.id}.out"
        with open(self.output, "wb") as output:
            self.process = processes.add(subprocess.Popen(
                [sys.executable, str(deployment.ROOT / "review" / "lib3" / "engine.py"),
                 "--id", self.id, "--version", self.version, "--listen", self.address,
                 "--events", str(EVENTS), "--pause_ms", str(EVENT_PAUSE_MS)], stdout=output))

    def entry(self):
        return {"service": "jujube-pool", "address": self.address, "zone": self.zone,
                "version": self.version, "slots": 64, "state": "ready", "cold_left_ms": 0,
                "seq": 1, "born": 1700000000000}

    def runs(self):
        lines = (json.loads(it) for it in self.output.read_text().splitlines())
        return [it for it in lines if "attempt" in it]


async def stream(number, gateway, record):
    """Sends one request and returns the ids and the engine versions of the events, or None if the
    answer is no success or not complete."""
    attempt = f"{number:016x}"
    host, port = gateway.front.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = [("Host", "claims.example"), ("X-Attempt-Id", attempt), ("X-Model", "m"),
              ("X-Deadline-Ms", str(DEADLINE_MS)), ("X-Token-Count", "628,280"),
              ("X-Prompt-Prefix", f"5c1e07a2:119,{number % 6:08x}:79,{attempt[-8:]}:430")]
    record.add(f"request {attempt} sent to {gateway.name}")
    writer.write(web.encode_request("POST", "/sum/1", fields, b"x" * 800))
    events = b""
    try:
        head = await web.read_head(reader)
        while chunk := await web.read_chunk(reader):
            events += chunk
        whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        whole = False
    writer.close()
    lines = events.decode().split("\n")
    ids = [int(it[4:]) for it in lines if it.startswith("id: ")]
    versions = [it.split(" ")[3] for it in lines if it.startswith("data: ")]
    record.add(f"request {attempt} answered {head.status}, whole: {whole}, events "
               f"{len(ids)}, software versions {sorted(set(versions))}")
    return attempt, ids, versions


async def main(processes, record, trouble):
    table = store.Store()
    address = await table.listen(HOST)
    await table.put("op", "config", CONFIGURATION)
    engines = [Engine(n, processes) for n in range(ENGINES)]
    for it in engines:
        await table.put("servers", it.id, it.entry())
    zones = {f"ch-mitte-{it}": "ch-mitte" for it in "abc"}
    gateways = [deployment.Gateway(f"front-{n}", f"ch-mitte-{'abc'[n]}", processes.folder,
                                   address, zones) for n in range(2)]
    for it in gateways:
        it.start()
        processes.add(it.process)
    for it in gateways:
        await it.wait_until_ready()
    await asyncio.sleep(2)
    clients = []
    for n in range(STREAMS):
        clients.append(asyncio.create_task(stream(n, gateways[n % 2], record)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)
    if trouble:
        victim = max(engines[:ENGINES // 2], key=lambda it: len(it.runs()))
        record.add(f"engine {victim.id} ({victim.version}) crashes with {len(victim.runs())} runs")
        victim.process.kill()
    answers = await asyncio.gather(*clients)
    for it in engines:
        for run in it.runs():
            record.add(f"engine {it.id} ({it.version}) ran {run['attempt']} after event "
                       f"{run['after']}")
    mixed = [attempt for attempt, _, versions in answers if len(set(versions)) > 1]
    if len(mixed) <= ALLOWED_MIXED:
        return []
    return [f"ORDER: {len(mixed)} streams hold events from engines of two software versions in "
            f"one answer; more than {ALLOWED_MIXED} break the rule: {mixed}"]


deployment.run_case(main, pathlib.Path(__file__).resolve().parent / "record.txt")
