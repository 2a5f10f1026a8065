"""A small deployment on loopback addresses: the project's two programs beside stand-ins of the
store, the routers, requesters and backends. All stand-ins run in this process."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import zlib

from ends import Backend, Requester, http_call
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
RESTART_DELAY = 0.6
PORT_NAMES = ("peer", "control_link", "readiness", "control", "datagram", "outbound", "app",
              "store")


class CannotRun(Exception):
    """The case could not be set up."""


def render(template, fields):
    """Fills a settings template as the platform does."""

    def lookup(path, scopes):
        for scope in reversed(scopes):
            value = scope
            for part in path.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    break
            else:
                return value
        return None

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(text, scopes, key="", last=True):
        pattern = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}|\{\{([^{}]+)\}\}", re.S)

        def replace(match):
            kind, name, inner, plain = match.groups()
            if plain is not None:
                if plain == "@":
                    return str(key)
                if plain == ",":
                    return "" if last else ","
                return text_of(scopes[-1] if plain == "." else lookup(plain, scopes))
            value = lookup(name, scopes)
            if kind == "^":
                return fill(inner, scopes) if value in (None, False) else ""
            if isinstance(value, (dict, list)):
                pairs = list(value.items() if isinstance(value, dict) else enumerate(value))
                return "".join(fill(inner, scopes + [item], each, i + 1 == len(pairs))
                               for i, (each, item) in enumerate(pairs))
            return fill(inner, scopes) if value not in (None, False) else ""

        return pattern.sub(replace, text)

    return fill(template, [fields])


class Machine:
    """One machine of the system with its process, which is restarted when it ends."""

    def __init__(self, lab, name, kind, ip, zone, service=""):
        self.lab, self.name, self.kind, self.ip, self.zone = lab, name, kind, ip, zone
        self.service = service
        ports = lab.ports
        self.control = f"{ip}:{ports['control']}"
        self.readiness = f"{ip}:{ports['readiness']}"
        self.datagram = f"{ip}:{ports['datagram']}"
        self.outbound = f"{ip}:{ports['outbound']}"
        self.app = f"{ip}:{ports['app']}"
        self.settings = lab.directory / f"{name}.ini"
        self.process = None
        self.wanted = True
        self.own_ends = []
        self.disturbed_at = None
        self.stopping = False
        self.task = None

    def write_settings(self, bootstrap):
        lab = self.lab
        fields = {
            "nodeName": self.name, "zone": self.zone, "ip": self.ip,
            "zones": {zone: "region" for zone in lab.zones}, "bootstrap": bootstrap,
            "portRange": [lab.ports["peer"], lab.ports["control_link"]],
            "seeds": [m.control for m in lab.edges[:3]],
            "listen": {"datagramAddr": self.datagram, "readinessAddr": self.readiness,
                       "control": self.control, "outbound": self.outbound},
            "service": self.service, "app": self.app,
            "heartbeatIntervalMs": int(lab.heartbeat * 1000),
            "bounds": {"flowTtlS": 60, "graceS": 6, "warmupOvershoot": 1.5, "warmupSlack": 5},
            "platform": {"address": lab.store.address, "historyS": 20},
        }
        file = "entry.ini" if self.kind == "edge" else "target.ini"
        text = render((ROOT / "deploy" / file).read_text(), fields)
        # The metrics port of the deploy file is fixed; the page is on the control link too.
        text = re.sub(r"(?m)^metrics = .*\n", "", text)
        self.settings.write_text(text)

    async def start(self, bootstrap):
        self.write_settings(bootstrap)
        program = "toucanbridge" if self.kind == "edge" else "toucantarget"
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["TOUCANBRIDGE_BOOT"] = str(self.settings)
        with open(self.lab.directory / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / "target/bin" / program), "relay", cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    def run(self, bootstrap=False):
        """Starts the process and restarts it whenever it ends."""
        self.task = asyncio.create_task(self.supervise(bootstrap))

    async def supervise(self, bootstrap):
        while self.wanted:
            await self.start(bootstrap)
            bootstrap = False
            process = self.process
            status = await process.wait()
            if not self.wanted:
                return
            calm = self.disturbed_at is None or self.lab.now() - self.disturbed_at > 1
            if not self.stopping and calm:
                self.own_ends.append(self.lab.now())
                self.lab.note(f"process of {self.name} ended by itself, status {status}")
            self.stopping = False
            await asyncio.sleep(RESTART_DELAY)

    async def remove(self):
        """The machine is taken away after its backend: its process is stopped for good."""
        self.wanted = False
        self.signal(signal.SIGTERM)
        await self.process.wait()

    def signal(self, number):
        self.disturbed_at = self.lab.now()
        self.stopping = self.stopping or number == signal.SIGTERM
        self.process.send_signal(number)


class Router:
    """Sends packets to the nodes in rotation, by a hash of the addresses and ports."""

    def __init__(self, lab):
        self.lab = lab
        self.misses = {}
        self.task = None

    async def probe(self):
        while True:
            for node in self.lab.edges:
                asyncio.create_task(self._probe(node))
            await asyncio.sleep(0.5)

    async def _probe(self, node):
        status = await http_call(node.readiness, "GET", "/v1/ready", b"", 0.4)
        self.misses[node] = 0 if status == 200 else self.misses.get(node, 2) + 1

    def in_rotation(self, zone):
        nodes = [n for n in self.lab.edges if n.zone == zone]
        ready = [n for n in nodes if self.misses.get(n, 2) < 2]
        if ready:
            return nodes if 2 * len(ready) < len(nodes) else ready
        return [n for n in self.lab.edges if self.misses.get(n, 2) < 2]

    def node_for(self, zone, packet):
        nodes = self.in_rotation(zone)
        if not nodes:
            return None
        flow = f"{packet.src}:{packet.sport}:{packet.dst}:{packet.dport}"
        return nodes[zlib.crc32(flow.encode()) % len(nodes)]


class Lab:
    # Figures of the site brazos-clear, seconds.
    heartbeat = 1.2
    drain = 3.0

    def __init__(self, folder, zones=("a", "b"), edges=(1, 1), sides=(), era=None):
        """`sides`: (zone, service) of each side machine."""
        self.record = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.begin = time.monotonic()
        self.zones = zones
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="toucan-review-"))
        self.network = self._free_network()
        self.asked, self.runs, self.breaches = set(), {}, []
        self.outcomes = []
        self.requesters = []
        self.store = Store(f"{self.network}.1:{self.ports['store']}", era)
        self.edges, self.sides, self.backends = [], [], []
        for zone, count in zip(zones, edges):
            for i in range(count):
                self.edges.append(Machine(self, f"edge-{zone}-{i + 1}", "edge",
                                          f"{self.network}.{11 + len(self.edges)}", zone))
        for zone, service in sides:
            self.add_side(zone, service)
        self.router = Router(self)
        self.tasks = []

    def add_side(self, zone, service):
        """Adds a side machine and its backend; neither runs yet. Returns the backend."""
        number = sum(m.zone == zone for m in self.sides) + 1
        machine = Machine(self, f"side-{zone}-{number}", "side",
                          f"{self.network}.{31 + len(self.sides)}", zone, service)
        self.sides.append(machine)
        self.backends.append(Backend(self, f"backend-{zone}-{number}", machine, service))
        return self.backends[-1]

    def _free_network(self):
        for _ in range(50):
            network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            base = random.randrange(20_000, 28_000)
            self.ports = {name: base + i for i, name in enumerate(PORT_NAMES)}
            try:
                for port in self.ports.values():
                    with socket.socket() as tcp:
                        tcp.bind((f"{network}.1", port))
            except OSError:
                continue
            return network
        raise CannotRun("no free addresses")

    def now(self):
        return time.monotonic() - self.begin

    def note(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def breach(self, rule, text):
        self.breaches.append(rule)
        self.note(f"BROKEN {rule}: {text}")

    def on_opening(self, backend, key):
        pass

    def on_run(self, backend, identity):
        self.runs.setdefault(identity, []).append(backend.name)
        self.note(f"run {identity} by {backend.name}")
        if identity not in self.asked:
            self.breach("UNASKED", f"{backend.name} ran {identity}, which nobody sent")

    def on_system_reset(self, flow):
        holders = [b for b in self.backends if b.holds_open(flow.key)]
        self.note(f"system reset on the open flow {flow.key[0]}:{flow.key[1]}, held by "
                  f"{', '.join(b.name for b in holders) or 'nobody'}")
        for backend in holders:
            self.breach("FLOW", f"flow {flow.key[0]}:{flow.key[1]} was reset by the system; "
                        f"{backend.name} lives, holds it and didn't reset it")

    async def start(self):
        if not (ROOT / "target/bin/toucanbridge").exists():
            raise CannotRun("target/bin is missing; run the build of deploy/system.toml first")
        await self.store.start()
        for machine in self.edges + self.sides:
            machine.run(bootstrap=True)
        self.router.task = asyncio.create_task(self.router.probe())

    async def wait_ready(self, limit=20.0):
        end = self.now() + limit
        while self.now() < end:
            if all(self.router.misses.get(n, 2) == 0 for n in self.edges):
                self.note("all edge machines are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the edge machines did not become ready")

    def add_requesters(self, zone, count):
        for _ in range(count):
            ip = f"{self.network}.{101 + len(self.requesters)}"
            self.requesters.append(Requester(self, ip, zone))

    def run_requesters(self, traffic):
        """Starts `traffic(requester)` for each requester."""
        for requester in self.requesters:
            self.tasks.append(asyncio.create_task(traffic(requester)))

    async def fresh_flows(self, requester, route, pause=0.1):
        """One flow for each request, one request after the other."""
        await asyncio.sleep(random.random() * pause)
        while True:
            flow = RequesterFlowOf(requester, route)
            if await flow.open():
                identity, outcome = await flow.request()
                flow.close()
            else:
                identity, outcome = f"{requester.ip}:{flow.key[1]}", flow.state
            self.tell(identity, outcome)
            await asyncio.sleep(pause)

    async def long_flows(self, requester, route, pause=0.3, flow_life=50.0):
        """Many requests on each flow."""
        await asyncio.sleep(random.random() * pause)
        while True:
            flow = RequesterFlowOf(requester, route)
            if not await flow.open():
                self.tell(f"{requester.ip}:{flow.key[1]}", flow.state)
                await asyncio.sleep(pause)
                continue
            end = self.now() + flow_life
            while flow.state == "open" and self.now() < end:
                self.tell(*await flow.request())
                await asyncio.sleep(pause)
            flow.close()

    def tell(self, identity, outcome):
        self.outcomes.append((self.now(), outcome))
        self.note(f"request {identity}: {outcome}")

    def served_share(self, since, until):
        chosen = [o for at, o in self.outcomes if since <= at < until]
        served = sum(o.startswith("served") for o in chosen)
        return served, len(chosen)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.edges + self.sides:
            machine.wanted = False
            if machine.task:
                machine.task.cancel()
        if self.router.task:
            self.router.task.cancel()
        for machine in self.edges + self.sides:
            process = machine.process
            if process and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


def RequesterFlowOf(requester, route):
    from ends import RequesterFlow
    return RequesterFlow(requester, route)


def config(version, routes, services, warmup_per_s=0.0):
    """A desired state. `routes`: name -> (address, service)."""
    return {
        "version": version,
        "routes": [{"name": name, "host": address.split(":")[0],
                    "pathPrefix": f"/{address.split(':')[1]}/", "kind": "idempotent",
                    "timeoutMs": 2500, "sloMs": 250, "priority": 2, "service": service,
                    "maxAttempts": 2} for name, (address, service) in routes.items()],
        "services": [{"name": name, "healthPath": "/health", "maxConns": 2000, "protocol": "h1",
                      "tls": False, "warmupS": 2.0, "warmupPerS": warmup_per_s}
                     for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


def main(case, folder, **options):
    """Runs `case(lab)`, which returns True when the rule held. Exits with 0, 1 or 2."""

    async def run():
        lab = None
        try:
            lab = Lab(folder, **options)
            lab.note(f"begins, trouble: {lab.trouble}")
            await lab.start()
            held = await asyncio.wait_for(case(lab), 100)
            lab.note("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (CannotRun, OSError, asyncio.TimeoutError) as failure:
            print(f"cannot run: {failure!r}", file=sys.stderr)
            return 2
        finally:
            if lab:
                await lab.stop()
                lab.record.close()

    sys.exit(asyncio.run(run()))
