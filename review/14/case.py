"""Engines whose events have increasing ids that are not consecutive, beside a reload."""
import asyncio
import json
import pathlib
import signal
import subprocess
import sys

import deployment
import store
import web

HOST = "127.0.0.1"
ENGINES = 4
EVENTS = 12
EVENT_PAUSE_MS = 50
# The number of tokens in an event of the site.
ID_STEP = 7
STREAMS = 40
DEADLINE_MS = 12000
ROUTE = {"name": "claim-explain", "host": "claims.example", "prefix": "/explain/",
         "kind": "streaming", "service": "jujube-pool", "timeout_ms": 12000, "goal_ms": 2000,
         "priority": 1, "max_attempts": 2, "resumable": True, "gap_target_ms": 600,
         "sticky": True}
CONFIGURATION = {"version": 3, "routes": [ROUTE],
                 "services": [{"name": "jujube-pool", "max_conns": 270}],
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000,
                            "header_timeout_ms": 5000, "idle_timeout_ms": 20000}}


class Engine:
    """An engine process with its entry in the store."""

    def __init__(self, number, processes, step):
        self.id = f"i-{number:08x}"
        self.address = f"{HOST}:{deployment.free_port(HOST)}"
        self.zone = f"ch-mitte-{'abc'[number % 3]}"
        self.output = processes.folder / f"{self.id}.out"
        with open(self.output, "wb") as output:
            processes.add(subprocess.Popen(
                [sys.executable, str(deployment.ROOT / "review" / "lib3" / "engine.py"),
                 "--id", self.id, "--version", "v1", "--listen", self.address,
                 "--events", str(EVENTS), "--pause_ms", str(EVENT_PAUSE_MS),
                 "--step", str(step)], stdout=output))

    def entry(self):
        return {"service": "jujube-pool", "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1,
                "born": 1700000000000}

    def runs(self):
        lines = (json.loads(it) for it in self.output.read_text().splitlines())
        return [it for it in lines if "attempt" in it]


async def stream(number, gateway, record):
    """Sends one request. Returns its id and whether the answer was complete."""
    attempt = f"{number:016x}"
    host, port = gateway.front.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = [("Host", "claims.example"), ("X-Attempt-Id", attempt), ("X-Model", "m"),
              ("X-Deadline-Ms", str(DEADLINE_MS)), ("X-Token-Count", "628,280"),
              ("X-Prompt-Prefix", f"5c1e07a2:119,{number % 6:08x}:79,{attempt[-8:]}:430")]
    writer.write(web.encode_request("POST", "/explain/1", fields, b"x" * 800))
    events, status, whole = b"", 0, False
    try:
        head = await asyncio.wait_for(web.read_head(reader), DEADLINE_MS / 1000)
        status = head.status
        while chunk := await web.read_chunk(reader):
            events += chunk
        whole = True
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, ValueError):
        pass
    writer.close()
    ids = [it[4:] for it in events.decode().split("\n") if it.startswith("id: ")]
    record.add(f"request {attempt} to {gateway.name}: status {status}, whole: {whole}, ids "
               f"{','.join(ids)}")
    return attempt, whole


async def main(processes, record, trouble):
    table = store.Store()
    await table.put("op", "config", CONFIGURATION)
    engines = [Engine(n, processes, ID_STEP if trouble else 1) for n in range(ENGINES)]
    for it in engines:
        await table.put("servers", it.id, it.entry())
    zones = {f"ch-mitte-{it}": "ch-mitte" for it in "abc"}
    gateways = []
    for n in range(2):
        name = f"front-{n}"
        gateways.append(deployment.Gateway(name, f"ch-mitte-{'abc'[n]}", processes.folder,
                                           await table.listen(HOST, name), zones))
        gateways[n].start()
        processes.add(gateways[n].process)
    for it in gateways:
        await it.wait_until_ready()
    await asyncio.sleep(4)
    judged = gateways[0]
    record.add(f"{judged.name} gets SIGHUP")
    judged.send(signal.SIGHUP)
    await asyncio.sleep(0.2)
    clients = []
    for n in range(STREAMS):
        clients.append(asyncio.create_task(stream(n, judged, record)))
        await asyncio.sleep(0.02)
    answers = await asyncio.gather(*clients)
    passed_on = {run["attempt"] for it in engines for run in it.runs()}
    for it in engines:
        record.add(f"engine {it.id} began {len(it.runs())} runs")
    lost = [attempt for attempt, whole in answers if not whole and attempt in passed_on]
    if not lost:
        return []
    return [f"LOST: {len(lost)} of {STREAMS} requests were passed on to a sound engine, and their "
            f"connections ended without a complete answer"]


deployment.run_case(main, pathlib.Path(__file__).resolve().parent / "record.txt")
