"""Starts the gateways of a case as the deploy file does, and ends them."""
import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import socket
import subprocess
import tempfile
import time
import traceback

import web

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HELD = 0
BROKEN = 1
CANNOT_RUN = 2
TIME_LIMIT_S = 110
RESULT_LINES = 4
PORTS = (12000, 32000)
assigned_ports = set()
# The bounds of sites/agri-rueck.
BOUNDS = {"contact_ms": 3000, "grace_s": 8, "retry_budget_ratio": 0.2, "retry_budget_slack": 52}


class CannotRun(Exception):
    """The case could not be carried out, which says nothing about the rule."""


def free_port(host):
    """Returns a port on which nothing listens. It is below the range from which the system takes
    the ports of outgoing connections, so that none of them takes it before the process listens."""
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        if port in assigned_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            assigned_ports.add(port)
            return port


def program():
    """Returns the command of the deploy file up to the settings."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    words = re.search(r'^run = "([^"]+)"', text, re.MULTILINE).group(1).split()
    if not (ROOT / words[0]).exists():
        raise CannotRun(f"{words[0]} is not built")
    return words[:-1]


def render(template, fields):
    """Fills in the settings template as DEPLOY.md tells: values, and tables as JSON."""
    def value_of(match):
        value = fields
        for name in match.group(1).split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return json.dumps(value) if isinstance(value, dict) else str(value)
    return re.sub(r"\{\{([\w.]+)\}\}", value_of, template)


class Gateway:
    """One gateway process."""

    def __init__(self, name, zone, folder, store_address, zones, bounds=None):
        self.name = name
        self.folder = folder
        host = "127.0.0.1"
        ports = [free_port(host) for _ in range(4)]
        self.front = f"{host}:{ports[0]}"
        self.ready = f"{host}:{ports[1]}"
        self.admin = f"{host}:{ports[3]}"
        fields = {"node_name": name, "zone": zone, "region": "r", "zones": zones, "ip": host,
                  "internal_ports": ports[2:], "heartbeat_ms": 1200,
                  "limits": {"cpu_share": 0.19}, "platform": {"address": store_address},
                  "bounds": {**BOUNDS, **(bounds or {})},
                  "listen": {"front": self.front, "ready": self.ready}}
        self.settings = folder / f"{name}.yaml"
        self.settings.write_text(render((ROOT / "deploy" / "settings.yaml").read_text(), fields))
        self.process = None

    def start(self):
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen([*program(), str(self.settings)], cwd=ROOT,
                                            stdout=log, stderr=log)

    def send(self, number):
        self.process.send_signal(number)

    def log(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    async def wait_until_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended: {self.log()[-500:]}")
            try:
                if (await web.call(self.ready, "GET", "/ready", limit_s=1)).status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


class Processes:
    """Ends all processes that a case has started."""

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.started = []

    def add(self, process):
        self.started.append(process)
        return process

    def end(self):
        for it in self.started:
            if it.poll() is None:
                # A stopped process can be killed as well.
                it.kill()
        for it in self.started:
            it.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.path = path
        self.lines = []

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.begin:8.3f} {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


async def carry_out(main, processes, record, trouble):
    """Returns the exit code of the case."""
    try:
        violations = await asyncio.wait_for(main(processes, record, trouble), TIME_LIMIT_S)
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.add(f"could not run: {error!r}")
        return CANNOT_RUN
    for it in violations:
        record.add("BROKEN " + it)
    record.add("result: broken" if violations else "result: held")
    return BROKEN if violations else HELD


def run_case(main, record_path):
    """Runs `main(processes, record, trouble)`, which returns the violations of the rule, writes the
    record and ends this process with the code that says what was seen."""
    record = Record(record_path)
    processes = Processes()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        code = CANNOT_RUN
        try:
            code = await carry_out(main, processes, record, trouble)
        except Exception:  # A fault of the case itself.
            record.add(traceback.format_exc())
        finally:
            processes.end()
            record.write()
            print("\n".join(record.lines[-RESULT_LINES:]), flush=True)
            # The servers of the stand-ins still have connections, which nobody waits for.
            os._exit(code)
    asyncio.run(run())
