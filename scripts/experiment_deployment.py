"""A deployment of stand-ins, sidecars and entries on loopback, for scripts/experiment."""
import hashlib
import json
import os
import pathlib
import re
import signal
import subprocess
import threading
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
START_TIMEOUT_S = 60
STOP_TIMEOUT_S = 20


def read_data(path):
    """Reads a file in the JSON subset of YAML; lines that start with # are comments."""
    text = pathlib.Path(path).read_text()
    return json.loads(re.sub(r"(?m)^\s*#.*$", "", text))


def http(method, address, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=10) as response:
        return response.read().decode()


def wait_until(what, condition):
    end = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            raise RuntimeError(f"timed out after {START_TIMEOUT_S} s while waiting for {what}")
        time.sleep(0.05)


def key_of(workspace):
    """Returns the API key of a workspace in experiments."""
    return f"key-of-{workspace}"


class Process:
    """A running program of the build folder, with its log in a file. Signals go to its process id
    only."""

    def __init__(self, program, arguments, log):
        self.program = program
        self.log = pathlib.Path(log)
        with open(self.log, "w") as out:
            self.child = subprocess.Popen([str(BUILD / program), *arguments], stdout=out,
                                          stderr=subprocess.STDOUT)

    def address(self, task):
        pattern = re.compile(rf"Listening\. task={re.escape(task)} address=(\S+)")
        found = []

        def has_address():
            found[:] = pattern.findall(self.log.read_text())
            if not found and self.child.poll() is not None:
                raise RuntimeError(f"{self.program} exited early:\n{self.log.read_text()}")
            return bool(found)

        wait_until(f"the address of {task}", has_address)
        return found[-1]

    def running(self):
        return self.child.poll() is None

    def signal(self, signal_number):
        if self.running():
            self.child.send_signal(signal_number)

    def stop(self):
        """Requests a graceful stop and waits for it. Returns the exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        return self.wait()

    def wait(self):
        try:
            return self.child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return "killed after the stop timeout"

    def resident_mb(self):
        try:
            pages = int(pathlib.Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def cpu_seconds(self):
        try:
            text = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = text.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Upstream:
    def __init__(self, pool, number, domain, host, address):
        self.pool, self.name = pool, f"{pool}-{number}"
        self.domain, self.host, self.address = domain, host, address
        self.sidecar = None
        self.link = self.admin = None
        self.state = "live"


class Deployment:
    def __init__(self, data, folder, baseline):
        self.data, self.folder, self.baseline = data, pathlib.Path(folder), baseline
        self.domains = data["failure_domains"]
        self.platform, self.platform_address = None, None
        self.hosts, self.upstreams, self.entries = [], [], []
        self.start_count = 0
        self.lock = threading.Lock()
        self.bad_stops = []

    def start(self):
        self.platform = self.launch("standin-platform", [], "platform")
        self.platform_address = self.platform.address("standin-platform/server-0/listener")
        for pool, settings in self.data["pools"].items():
            self.start_pool_hosts(pool, settings)
        for it in self.upstreams:
            self.start_sidecar(it, wait=False)
        for it in self.upstreams:
            self.read_sidecar_addresses(it)
        self.publish_membership()
        self.accept_ticket()
        for n in range(self.data["entries"]):
            self.entries.append({"name": f"entry-{n}", "number": n, "api": "127.0.0.1:0",
                                 "admin": "127.0.0.1:0"})
            self.start_entry(self.entries[-1])
        wait_until("the links of all entries",
                   lambda: all(self.links_up(it) for it in self.entries))

    def launch(self, program, arguments, name):
        with self.lock:
            self.start_count += 1
            log = self.folder / f"{name}-{self.start_count}.log"
        return Process(program, arguments, log)

    def start_pool_hosts(self, pool, settings):
        """Starts one host process per failure domain, so that an experiment can kill a domain."""
        kind, count = settings["kind"], settings["count"]
        for domain in range(len(self.domains)):
            numbers = range(domain, count, len(self.domains))
            if not numbers:
                continue
            flags = [f"--count={len(numbers)}", f"--slots={settings['slots']}"]
            if kind == "engine":
                flags.append(f"--step_us={settings['step_ms'] * 1000}")
            else:
                flags.append(f"--service_time_us={settings['service_time_ms'] * 1000}")
            host = self.launch(f"standin-{kind}", flags, f"host-{pool}-{domain}")
            self.hosts.append(host)
            for n, number in enumerate(numbers):
                address = host.address(f"standin-{kind}/server-{n}/listener")
                self.upstreams.append(Upstream(pool, number, domain, host, address))
        self.upstreams.sort(key=lambda it: (it.pool, int(it.name.rsplit("-", 1)[1])))

    def write_settings(self, name, settings, baseline):
        """Writes the settings; adds those of the baseline that the program accepts."""
        path = self.folder / f"{name}.yaml"
        program = "jujubemast-entry" if name.startswith("entry") else "jujubemast-sidecar"
        for section, values in (baseline if self.baseline else {}).items():
            candidate = {**settings, section: {**settings.get(section, {}), **values}}
            path.write_text(json.dumps(candidate))
            check = subprocess.run([str(BUILD / program), f"--settings={path}", "--check"],
                                   capture_output=True)
            if check.returncode == 0:
                settings = candidate
            else:
                print(f"{program} rejects the baseline settings {section}: {values}")
        path.write_text(json.dumps(settings))
        return path

    def start_sidecar(self, it, wait=True):
        settings = self.data["pools"][it.pool]
        values = {
            "instance": {"name": it.name, "failure_domain": self.domains[it.domain]},
            "log": {"level": "info"},
            "link": {"listen": it.link or "127.0.0.1:0"},
            "admin": {"listen": it.admin or "127.0.0.1:0"},
            "upstream": {"address": it.address, "kind": settings["kind"]},
            "admission": {"concurrency": settings["slots"]}}
        path = self.write_settings(it.name, values, {"admission": {"order": "fifo"}})
        it.sidecar = self.launch("jujubemast-sidecar", [f"--settings={path}"], it.name)
        if wait:
            self.read_sidecar_addresses(it)

    @staticmethod
    def read_sidecar_addresses(it):
        it.link = it.sidecar.address("jujubemast-sidecar/link")
        it.admin = it.sidecar.address("jujubemast-sidecar/admin/listener")

    def start_entry(self, it):
        domain = self.domains[it["number"] % len(self.domains)]
        values = {"instance": {"name": it["name"], "failure_domain": domain},
                  # The client counts failed requests. During a flood, a log line for each would
                  # cost more than the request itself.
                  "log": {"level": "info"},
                  "api": {"listen": it["api"], "stop_grace_ms": 1500},
                  "admin": {"listen": it["admin"]},
                  "platform": {"address": self.platform_address}}
        path = self.write_settings(it["name"], values, {"routing": {"policy": "round_robin"}})
        it["process"] = self.launch("jujubemast-entry", [f"--settings={path}"], it["name"])
        it["api"] = it["process"].address("jujubemast-entry/api/listener")
        it["admin"] = it["process"].address("jujubemast-entry/admin/listener")

    def publish_membership(self):
        with self.lock:
            instances = [{"name": it.name, "pool": it.pool, "address": it.link, "state": it.state,
                          "failure_domain": self.domains[it.domain]} for it in self.upstreams]
            http("PUT", self.platform_address, "/control/membership", {"instances": instances})

    def accept_ticket(self):
        path = self.folder / "ticket.yaml"
        path.write_text(json.dumps(self.ticket()))
        number = self.ctl("create", str(path)).split()[-1]
        self.ctl("accept", number)

    def ticket(self):
        stages = self.data["stages"]
        return {
            "pools": {name: {"kind": it["kind"]} for name, it in self.data["pools"].items()},
            "pipelines": {name: {**it, "stages": [{"name": s, **stages[s]} for s in it["stages"]]}
                          for name, it in self.data["pipelines"].items()},
            "priorities": self.data["priorities"],
            "workspaces": {name: {**it, "key_sha256": hashlib.sha256(
                key_of(name).encode()).hexdigest()}
                for name, it in self.data["workspaces"].items()}}

    def ctl(self, *arguments):
        run = subprocess.run([str(BUILD / "jujubemast-ctl"), f"--platform={self.platform_address}",
                              "ticket", *arguments], capture_output=True, text=True, timeout=30)
        if run.returncode != 0:
            raise RuntimeError(f"ticket {arguments}: {run.stdout}{run.stderr}")
        return run.stdout

    def links_up(self, entry):
        try:
            http("GET", entry["api"], "/readyz")
            tree = json.loads(http("GET", entry["admin"], "/dump"))
        except OSError:
            return False
        detail = tree["children"]["coordinator"]["detail"]
        up = sum(1 for it in detail["upstreams"].values() if it["up"] and not it["draining"])
        return up == len(self.upstreams)

    def pool_of_stage(self, stage):
        return self.data["stages"][stage]["pool"]

    def set_behavior(self, it, slower=1, silent=0):
        settings = self.data["pools"][it.pool]
        body = {"slots": settings["slots"], "silent": silent}
        if settings["kind"] == "engine":
            body["step_us"] = settings["step_ms"] * 1000 * slower
        else:
            body["service_time_ms"] = settings["service_time_ms"] * slower
        http("PUT", it.address, "/control/behavior", body)

    def restart_sidecars(self, batch):
        """Restarts a batch of sidecars in the order of the platform: leaving, stop, start, live."""
        for it in batch:
            it.state = "leaving"
        self.publish_membership()
        for it in batch:
            it.sidecar.signal(signal.SIGTERM)
        for it in batch:
            self.record_stop(it.name, it.sidecar.wait())
            self.start_sidecar(it)
            it.state = "live"
        self.publish_membership()

    def rolling_restart(self):
        threads = []
        for pool in self.data["pools"]:
            members = [it for it in self.upstreams if it.pool == pool]
            size = (len(members) + 9) // 10
            batches = [members[n:n + size] for n in range(0, len(members), size)]
            threads.append(threading.Thread(target=self.restart_batches, args=(batches,)))
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        for it in self.entries:
            self.record_stop(it["name"], it["process"].stop())
            self.start_entry(it)
            wait_until("the links of the restarted entry", lambda entry=it: self.links_up(entry))

    def restart_batches(self, batches):
        for batch in batches:
            self.restart_sidecars(batch)
            wait_until("the links of the restarted sidecars",
                       lambda names={it.name for it in batch}: self.all_linked(names))

    def all_linked(self, names):
        for entry in self.entries:
            try:
                tree = json.loads(http("GET", entry["admin"], "/dump"))
            except OSError:
                return False
            upstreams = tree["children"]["coordinator"]["detail"]["upstreams"]
            if any(n not in upstreams or not upstreams[n]["up"] or upstreams[n]["draining"]
                   for n in names):
                return False
        return True

    def record_stop(self, name, code):
        if code != 0:
            self.bad_stops.append(f"{name}: {code}")

    def executions(self):
        """Counts for each pool the executions, the requests and the repeated executions."""
        totals = {}
        for it in self.upstreams:
            if not it.host.running():
                continue
            counts = json.loads(http("GET", it.address, "/control/executions"))
            pool = totals.setdefault(it.pool, {})
            for request, n in counts.items():
                pool[request] = pool.get(request, 0) + n
        return {pool: {"executions": sum(counts.values()), "requests": len(counts),
                       "repeated": sum(counts.values()) - len(counts)}
                for pool, counts in totals.items()}

    def processes(self):
        entries = [it["process"] for it in self.entries if "process" in it]
        sidecars = [it.sidecar for it in self.upstreams if it.sidecar]
        return entries, sidecars, [*self.hosts, *([self.platform] if self.platform else [])]

    def stop(self):
        """Stops all processes in reverse order of their start: entries, sidecars, hosts."""
        for group in self.processes():
            for it in group:
                it.signal(signal.SIGCONT)
                it.signal(signal.SIGTERM)
            for it in group:
                code = it.wait()
                if code != 0 and code != -signal.SIGKILL:
                    self.bad_stops.append(f"{it.log.stem}: {code}")
