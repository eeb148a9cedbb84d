"""Starts gateways as the deploy file does, with settings from the project's template."""
import asyncio
import json
import pathlib
import random
import re
import signal
import socket
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]


class CannotRun(Exception):
    """The case could not be run."""


def free_ports(count):
    """Returns ports that nothing listens on, below the range for outgoing connections."""
    first_outgoing = int(
        pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = []
    for port in random.sample(range(10000, first_outgoing), first_outgoing - 10000):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("too few free ports")


def value_of(fields, path):
    value = fields
    for name in path.split("."):
        value = value[int(name)] if isinstance(value, list) else value.get(name)
        if value is None:
            return ""
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, fields):
    """Fills in a template that uses plain placeholders only."""
    return re.sub(r"\{\{([a-z_0-9.]+)\}\}", lambda it: value_of(fields, it.group(1)), template)


class Gateway:
    """One gateway process. Signals go to its process id only."""

    def __init__(self, name, zone, zones, store, bounds, folder, ports, *, region="ch-mitte",
                 cpu_share=0.19):
        self.name = name
        self.folder = folder
        self.process = None
        self.starts = 0
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        front, ready, peers, admin = ports
        self.front = f"127.0.0.1:{front}"
        self.ready = f"127.0.0.1:{ready}"
        self.admin = f"127.0.0.1:{admin}"
        fields = {"node_name": name, "zone": zone, "region": region,
                  "zones": {it: region for it in zones}, "ip": "127.0.0.1",
                  "internal_ports": [peers, admin],
                  "listen": {"front": self.front, "ready": self.ready},
                  "limits": {"cpu_share": cpu_share, "memory_mb": 260},
                  "platform": {"address": store}, "bounds": bounds}
        settings = folder / f"{name}.yaml"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), fields))
        words = deploy["run"].split()
        words[words.index("--settings") + 1] = str(settings)
        self.command = [str(ROOT / words[0]), *words[1:]]

    def start(self):
        if not pathlib.Path(self.command[0]).exists():
            raise CannotRun("the build of the deploy file is missing")
        self.starts += 1
        with open(self.folder / f"{self.name}.{self.starts}.log", "w") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log,
                                            stderr=subprocess.STDOUT)

    async def wait_ready(self, timeout_s=15):
        for _ in range(int(timeout_s / 0.05)):
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} does not become ready")

    async def is_ready(self):
        host, port = self.ready.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Ends the process if it still runs. Returns its exit code if it ended by itself."""
        if self.process is None:
            return None
        ended = self.process.poll()
        if ended is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        return ended
