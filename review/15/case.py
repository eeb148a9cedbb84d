"""The store gives one gateway no response for a few seconds, and an engine leaves meanwhile."""
import asyncio
import pathlib
import time

import deployment
import store
import web

HOST = "127.0.0.1"
ENGINES = 4
GATEWAYS = 3
# The time for which the store gives the gateway no response, at least.
REJECTED_S = 5.0
# The bounds of sites/agri-rueck: how long a machine is out of touch after a disruption, and how
# long an engine serves on after the store has accepted that it leaves.
CONTACT_S = 3.0
DRAIN_S = 2.0
# How long before the end of the rejection the entry of the engine is removed.
LEAVES_BEFORE_END_S = 0.3
WATCHED_S = 4.2
REQUEST_INTERVAL_S = 0.01
ROUTE = {"name": "status-read", "host": "ledger.example", "prefix": "/status/", "kind": "safe",
         "service": "rebate-ledger", "timeout_ms": 800, "goal_ms": 100, "priority": 2,
         "max_attempts": 2, "public": True}
CONFIGURATION = {"version": 3, "routes": [ROUTE],
                 "services": [{"name": "rebate-ledger", "max_conns": 48}],
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000,
                            "header_timeout_ms": 5000, "idle_timeout_ms": 20000}}


class Engine:
    """An instance of the plain service. Keeps the ids and times of the requests that reach it."""

    def __init__(self, number):
        self.id = f"i-{number:08x}"
        self.zone = f"ch-mitte-{'abc'[number % 3]}"
        self.address = ""
        self.arrivals = []

    async def start(self):
        server = await web.serve(self.handle, HOST)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def entry(self):
        return {"service": "rebate-ledger", "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1,
                "born": 1700000000000}

    async def handle(self, message, writer):
        attempt = message.field("X-Attempt-Id")
        self.arrivals.append((attempt, time.monotonic()))
        await asyncio.sleep(0.01)
        writer.write(web.encode_response(200, [("X-Attempt-Id", attempt),
                                               ("X-Response-Seal", f"seal-{self.id}")], b"ok"))
        return True


async def send(attempt, gateway, answers):
    fields = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "1500")]
    try:
        answer = await web.call(gateway.front, "GET", "/status/1",
                                [("Host", "ledger.example"), *fields], limit_s=2)
        answers[attempt] = answer.status
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        answers[attempt] = 0


async def send_requests(gateway, sent, answers):
    """Sends requests at even intervals until it is cancelled."""
    tasks = set()
    while True:
        attempt = f"{len(sent):016x}"
        sent[attempt] = time.monotonic()
        task = asyncio.create_task(send(attempt, gateway, answers))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def main(processes, record, trouble):
    table = store.Store()
    await table.put("op", "config", CONFIGURATION)
    engines = [Engine(n) for n in range(ENGINES)]
    for it in engines:
        await it.start()
        await table.put("servers", it.id, it.entry())
    zones = {f"ch-mitte-{it}": "ch-mitte" for it in "abc"}
    gateways = []
    for n in range(GATEWAYS):
        name = f"front-{n}"
        gateways.append(deployment.Gateway(name, f"ch-mitte-{'abc'[n]}", processes.folder,
                                           await table.listen(HOST, name), zones))
        gateways[n].start()
        processes.add(gateways[n].process)
    for it in gateways:
        await it.wait_until_ready()
    await asyncio.sleep(3)
    judged, leaving = gateways[0], engines[0]
    sent, answers = {}, {}
    clients = asyncio.create_task(send_requests(judged, sent, answers))
    if trouble:
        record.add(f"the store gives {judged.name} no response from now on")
        table.rejected.add(judged.name)
    await asyncio.sleep(REJECTED_S - LEAVES_BEFORE_END_S)
    # It reports no draining, and serves on until the end of the case.
    await table.put("servers", leaving.id, None)
    removed = time.monotonic()
    record.add(f"the entry of engine {leaving.id} is removed")
    await asyncio.sleep(LEAVES_BEFORE_END_S)
    if trouble:
        # The rejection ends with the next call for the entries of the servers, which still gets no
        # response.
        last_call = asyncio.Event()
        table.on_rejected = lambda _, target: last_call.set() if "table=servers" in target else None
        await asyncio.wait_for(last_call.wait(), 3)
        table.rejected.clear()
        record.add(f"the store responds to {judged.name} again")
    end = time.monotonic()
    await asyncio.sleep(WATCHED_S)
    clients.cancel()
    await asyncio.sleep(0.3)
    in_touch = end + CONTACT_S if trouble else record.begin
    bound = max(in_touch, removed + DRAIN_S)
    late = [(attempt, at) for attempt, at in leaving.arrivals
            if sent[attempt] > in_touch and at > removed + DRAIN_S]
    for it in engines:
        last = max((at for _, at in it.arrivals), default=removed)
        record.add(f"engine {it.id} got {len(it.arrivals)} requests, the last one "
                   f"{last - removed:.3f} s after the removal")
    for attempt, at in late:
        record.add(f"request {attempt}, sent {sent[attempt] - end:.3f} s after the end of the "
                   f"disruption, reached {leaving.id} {at - removed:.3f} s after its removal, "
                   f"answered {answers.get(attempt)}")
    record.add(f"{len(sent)} requests sent, {sum(1 for it in answers.values() if it == 200)} "
               f"answered with 200; judged from {bound - removed:.3f} s after the removal")
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests that clients sent to a machine in touch reached the "
            f"engine later than drain_ms after its removal"]


deployment.run_case(main, pathlib.Path(__file__).resolve().parent / "record.txt")
