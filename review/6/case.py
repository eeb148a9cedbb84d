"""An engine leaves while the gateways' connections to the store have gone silent.

The gateways must not send to it later than `drain_ms` after the store has removed its entry, once
they are in touch again: `contact_ms` after the connections went silent.
"""
import asyncio
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
# Bounds of agri-rueck.
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "retry_budget_ratio": 0.2,
          "retry_budget_slack": 52}
CONTACT_S = 3.0
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
ZONES = ["ch-mitte-a", "ch-mitte-b", "ch-mitte-c"]
HOST = "pule25.example"
KEY = "9dnn2ctnfzs989anu6ws"
# The engine reports nothing before it leaves. Its entry is removed this long after the connections
# went silent, and it goes on serving for drain_ms and a little longer.
REMOVED_AFTER_S = 0.5
SERVES_ON_S = DRAIN_S + 2.5
# agri-rueck takes away a share of 0.13 of a service's engines (scale_in): one of nine.
POOL_ENGINES = 9
LEDGER_ENGINES = 3
GATEWAYS = 4
# Clocks of the client and the engine are the same; this covers the time on the way.
MARGIN_S = 0.05
REQUESTS_PER_S = 36
# One request in this many is a rebate-post, the others are streams.
POST_EVERY = 6
STREAM = [("X-Model", "m"), ("X-Token-Count", "1460,80")]


def configuration():
    def route(name, kind, service, **more):
        return {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "priority": 0,
                "service": service, "max_attempts": 1, "public": False, "stages": [], **more}

    return {"version": 7,
            "routes": [route("dossier-draft", "streaming", "jujube-pool", timeout_ms=12000,
                             goal_ms=1500, sticky=True, resumable=False, gap_target_ms=600),
                       route("rebate-post", "unsafe", "rebate-ledger", timeout_ms=1500,
                             goal_ms=100, sticky=False, resumable=False)],
            "services": [{"name": "jujube-pool", "health_path": "/health", "max_conns": 270},
                         {"name": "rebate-ledger", "health_path": "/health", "max_conns": 48}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
            "tenants": [{"name": "bozi300", "api_keys": [KEY]}]}


async def traffic(clients, end, tasks):
    number = 0
    while standins.now() < end:
        client = clients[number % len(clients)]
        if (number // len(clients)) % POST_EVERY == 0:
            sending = client.send("rebate-post", deadline_ms=1500)
        else:
            # Shared parts of their own, so that the prompts are spread over all engines.
            prefix = ("X-Prompt-Prefix", f"5c1e07a2:800,a{number:x}:410,b{number:x}:250")
            sending = client.send("dossier-draft", deadline_ms=12000, more=[*STREAM, prefix])
        tasks.append(asyncio.create_task(sending))
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def play(record, folder, started):
    store = standins.Store()
    await store.server.start()
    await store.put("op", "config", configuration())
    engines = [standins.Engine(store, record, f"i-{service}-{n}", service, ZONES[n % len(ZONES)],
                               slots=slots, events=30)
               for service, slots, count in (("jujube-pool", 64, POOL_ENGINES),
                                             ("rebate-ledger", 6, LEDGER_ENGINES))
               for n in range(count)]
    for it in engines:
        await it.start(HEARTBEAT_S)
    links, clients, ports = [], [], gateways.free_ports(4 * GATEWAYS)
    for n in range(GATEWAYS):
        zone = ZONES[n % len(ZONES)]
        link = standins.Proxy(store.server.address)
        await link.start()
        links.append(link)
        gateway = gateways.Gateway(f"front-{zone}-{n}", zone, ZONES, link.address, BOUNDS, folder,
                                   ports[4 * n:4 * n + 4])
        gateway.start()
        started.append(gateway)
    for it in started:
        await it.wait_ready()
        clients.append(standins.Client(record, it.name, it.front, HOST, KEY))
    await asyncio.sleep(4)
    tasks = []
    sender = asyncio.create_task(traffic(clients, standins.now() + 10, tasks))
    await asyncio.sleep(3)
    silent = standins.now()
    if TROUBLE:
        for it in links:
            record.add(f"{it.silence_open()} open connections to the store go silent")
    await asyncio.sleep(REMOVED_AFTER_S)
    leaving = [engines[0]]
    removed = {it: await it.remove_entry() for it in leaving}
    await asyncio.sleep(SERVES_ON_S)
    for it in leaving:
        it.exit()
    await sender
    await asyncio.gather(*tasks)
    # The stand-ins' open connections are cancelled at the end.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    return judge(record, clients, removed, silent)


def judge(record, clients, removed, silent):
    answers = {it.attempt: it for client in clients for it in client.answers}
    in_touch = silent + CONTACT_S + MARGIN_S if TROUBLE else 0.0
    late, lost = [], []
    for engine, acknowledged in removed.items():
        for run in engine.runs:
            answer = answers[run.attempt]
            if run.time > acknowledged + DRAIN_S + MARGIN_S and answer.sent > in_touch:
                late.append(run)
                if not 200 <= answer.status < 300:
                    lost.append(run)
                record.add(f"BROKEN: {engine.identity} got {run.attempt} "
                           f"{run.time - acknowledged:.3f} s after its entry was removed and "
                           f"{run.time - silent:.3f} s after the silence; the client got "
                           f"{answer.status or 'no complete answer'}")
    served = sum(200 <= it.status < 300 for it in answers.values())
    text = (f"{len(answers)} requests, {served} served; {len(late)} reached a leaving engine too "
            f"late, {len(lost)} of them were not served")
    record.add(text)
    print(text)
    if served < len(answers) / 2:
        raise gateways.CannotRun("less than half of the requests were served")
    return 1 if late else 0


def main():
    record = standins.Record(FOLDER / "record.txt")
    started = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(asyncio.wait_for(play(record, pathlib.Path(folder), started), 100))
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
