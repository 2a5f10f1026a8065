"""A small deployment on loopback addresses: the project's two programs as separate processes, and
stand-ins for the platform's store, the back ends, the requesters and the routers.

Every machine has a loopback address of its own; ports are the same on all of them.
"""
import http.client
import http.server
import json
import os
import re
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

SYN, ACK, FIN, RST, BOUNCED = 4, 8, 64, 16, 2
HEAD = struct.Struct(">IHHIIIB5sHII")


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


class Packet:
    def __init__(self, src, dst, flags, seq=0, ack=0, data=b"", echo=0, pad=b"\0" * 5, total=None):
        self.src, self.dst, self.flags = src, dst, flags  # src and dst: (IP number, port)
        self.seq, self.ack, self.data = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo, self.pad, self.total = echo, pad, total

    def signed(self):
        text = repr((self.src, self.dst, self.flags & ~BOUNCED, self.seq, self.ack, self.data))
        return zlib.crc32(b"key of the stand-ins" + text.encode()) or 1

    def encode(self):
        total = self.signed() if self.total is None else self.total
        return HEAD.pack(total, self.dst[1], self.src[1], self.src[0], self.dst[0], self.echo,
                         self.flags, self.pad, len(self.data), self.seq, self.ack) + self.data

    @staticmethod
    def decode(raw):
        total, dport, sport, src, dst, echo, flags, pad, size, seq, ack = HEAD.unpack_from(raw)
        return Packet((src, sport), (dst, dport), flags, seq, ack, raw[HEAD.size:HEAD.size + size],
                      echo, pad, total)


class Record:
    """What was sent, answered and run; written to record.txt of the case."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Store:
    """The platform's store: objects by kind and name, revisions, watches."""

    def __init__(self, address):
        self.lock = threading.Condition()
        self.objects = {}
        self.events = []
        self.revision = 100
        self.stopping = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def reply(self, status, body):
                raw = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            def handle_call(self):
                size = int(self.headers.get("Content-Length") or 0)
                raw = self.rfile.read(size) if size else b""
                path, _, query = self.path.partition("?")
                options = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
                parts = [http_unquote(item) for item in path.split("/")[3:]]
                self.reply(*store.call(self.command, parts, options,
                                       json.loads(raw) if raw else None))

            do_GET = do_PUT = do_POST = do_DELETE = handle_call

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            allow_reuse_address = True

            def handle_error(self, request, client_address):
                """A caller that was ended leaves its connection; the store goes on."""

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        with self.lock:
            self.stopping = True
            self.lock.notify_all()
        self.server.shutdown()
        self.server.server_close()

    def change(self, kind, name, spec, removed=False):
        self.revision += 1
        if removed:
            item = self.objects.pop((kind, name))
        else:
            old = self.objects.get((kind, name))
            item = {"meta": {"name": name, "revision": self.revision,
                             "created": old["meta"]["created"] if old else self.revision,
                             "finalizers": [], "deleting": False},
                    "spec": spec, "status": None}
            self.objects[(kind, name)] = item
        self.events.append((self.revision, kind, {"object": item, "removed": removed}))
        self.lock.notify_all()
        return item

    def write(self, kind, name, spec):
        """A write of the operator."""
        with self.lock:
            return self.change(kind, name, spec)["meta"]["revision"]

    def call(self, method, parts, options, body):
        with self.lock:
            kind = parts[0]
            name = parts[1] if len(parts) > 1 else None
            if method == "GET" and name is None and "watch" in options:
                since = int(options["watch"])
                until = time.monotonic() + int(options.get("waitMs", 0)) / 1000
                while True:
                    found = [e for r, k, e in self.events if k == kind and r > since]
                    left = until - time.monotonic()
                    if found or left <= 0 or self.stopping:
                        return 200, {"events": found, "currentRev": self.revision}
                    self.lock.wait(left)
            if method == "GET" and name is None:
                items = [o for (k, n), o in sorted(self.objects.items(), key=lambda i: i[0])
                         if k == kind and n > options.get("after", "")]
                return 200, {"items": items, "more": False, "currentRev": self.revision}
            if method == "POST":
                name = body["meta"]["name"]
                if (kind, name) in self.objects:
                    return 409, self.objects[(kind, name)]
                return 201, self.change(kind, name, body.get("spec"))
            found = self.objects.get((kind, name))
            if found is None:
                return 404, {}
            stated = (body or {}).get("meta", {}).get("revision", options.get("revision"))
            if stated is not None and int(stated) != found["meta"]["revision"]:
                return 409, found
            if method == "GET":
                return 200, found
            if method == "PUT":
                if found["spec"] == body.get("spec"):
                    return 200, found
                return 200, self.change(kind, name, body.get("spec"))
            if method == "DELETE":
                return 200, self.change(kind, name, None, removed=True)
            return 400, {}


def http_unquote(text):
    import urllib.parse
    return urllib.parse.unquote(text)


class BackEnd:
    """One lifetime of a back end: an endpoint of flows, and liveness reports to its machine."""

    def __init__(self, machine, ident, record, work=0.05, first_number=1):
        self.machine, self.ident, self.record, self.work = machine, ident, record, work
        self.born = int(time.time() * 1000)
        self.sequence = first_number - 1  # Of the newest report; each start counts anew.
        self.state = "ready"
        self.flows = {}
        self.answers_to_reports = {}  # Status by number; None without an answer.
        self.arrivals = []  # Time and requester's port of each packet.
        self.stopped = threading.Event()
        self.reporting = threading.Event()
        self.reporting.set()
        self.lock = threading.Lock()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(machine.app)
        self.socket.settimeout(0.1)
        self.threads = [threading.Thread(target=self.serve, daemon=True),
                        threading.Thread(target=self.beat, daemon=True)]
        for thread in self.threads:
            thread.start()

    def body(self):
        return {"service": self.machine.service, "address": "%s:%d" % self.machine.app,
                "zone": self.machine.zone, "version": "v1", "slots": 9, "state": self.state,
                "warmupLeftMs": 0, "seqNo": self.sequence, "born": self.born}

    def report(self):
        with self.lock:
            self.sequence += 1
            body = self.body()
        status = put_report(self.machine, self.ident, body)
        self.answers_to_reports[body["seqNo"]] = status
        if status is None or body["seqNo"] <= 2 or self.state != "ready":
            self.record("back end %s on %s reports seqNo %d %s: %s"
                        % (self.ident, self.machine.name, body["seqNo"], body["state"], status))
        return status

    def beat(self):
        while not self.stopped.is_set():
            if self.reporting.is_set():
                self.report()
            self.stopped.wait(1.2)

    def send(self, packet):
        self.socket.sendto(packet.encode(), self.machine.outbound)

    def serve(self):
        while not self.stopped.is_set():
            try:
                raw, _ = self.socket.recvfrom(65536)
            except socket.timeout:
                continue
            except OSError:
                return
            self.take(Packet.decode(raw))

    def bounce(self, packet):
        self.send(Packet(packet.src, packet.dst, packet.flags | BOUNCED, packet.seq, packet.ack,
                         packet.data, packet.echo, b"\0" * 5, packet.total))

    def take(self, packet):
        if packet.signed() != packet.total:
            self.record("back end %s got a packet that its sender did not write" % self.ident)
            return
        key = (packet.src, packet.dst)
        self.arrivals.append((time.monotonic(), packet.src[1]))
        flow = self.flows.get(key)
        if packet.flags == SYN:
            # An opening with another number is a new flow; its sender has forgotten the old one.
            if flow is None or flow["opening"] != packet.seq:
                flow = self.flows[key] = {"seq": zlib.crc32(
                                              repr((key, self.ident, packet.seq)).encode()),
                                          "opening": packet.seq,
                                          "open": False, "next": packet.seq + 1, "sent": 0,
                                          "acked": 0}
                self.record("back end %s took an opening from port %d"
                            % (self.ident, packet.src[1]))
                self.send_again(key, Packet(packet.dst, packet.src, SYN | ACK, flow["seq"],
                                            flow["next"]), lambda: flow["open"])
            else:
                self.send(Packet(packet.dst, packet.src, SYN | ACK, flow["seq"], flow["next"]))
            return
        expected = flow and (flow["open"] or packet.ack == (flow["seq"] + 1) & 0xFFFFFFFF)
        if not expected:
            self.bounce(packet)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow["open"]:
            flow["open"] = True
            self.record("flow from port %d is open at back end %s" % (packet.src[1], self.ident))
        flow["acked"] = max(flow["acked"], (packet.ack - flow["seq"] - 1) & 0xFFFFFFFF)
        if not packet.data:
            return
        if packet.seq == flow["next"] & 0xFFFFFFFF:
            flow["next"] = (flow["next"] + len(packet.data)) & 0xFFFFFFFF
            request = packet.data.decode()
            self.record("back end %s runs request %s" % (self.ident, request))
            threading.Timer(self.work, self.answer, (key, request)).start()
        self.send(Packet(packet.dst, packet.src, ACK, flow["seq"] + 1 + flow["sent"],
                         flow["next"]))

    def answer(self, key, request):
        flow = self.flows.get(key)
        if flow is None or self.stopped.is_set():
            return
        data = ("answer of %s to %s" % (self.ident, request)).encode()
        seq = flow["seq"] + 1 + flow["sent"]
        flow["sent"] += len(data)
        end = flow["sent"]
        self.send_again(key, Packet(key[1], key[0], ACK, seq, flow["next"], data),
                        lambda: flow["acked"] >= end)

    def send_again(self, key, packet, is_acknowledged, number=0):
        """Sends a packet, and again after 200 ms, doubling up to 1.6 s; gives up after 8 times."""
        if self.stopped.is_set() or key not in self.flows or (number and is_acknowledged()):
            return
        if number > 8:
            self.record("back end %s gives up the flow from port %d" % (self.ident, key[0][1]))
            self.flows.pop(key, None)
            return
        self.send(packet)
        timer = threading.Timer(min(0.2 * 2 ** number, 1.6), self.send_again,
                                (key, packet, is_acknowledged, number + 1))
        timer.daemon = True
        timer.start()

    def holds(self, port):
        """True when a flow from `port` is open here."""
        return any(key[0][1] == port and flow["open"] for key, flow in list(self.flows.items()))

    def crash(self):
        """Ends at once: its port is closed, its flows are gone, it says nothing more."""
        self.stopped.set()
        self.socket.close()
        self.record("back end %s crashed" % self.ident)


def put_report(machine, ident, body, method="PUT"):
    """Sends a liveness report; returns the status, or None without an answer within a second."""
    try:
        call = http.client.HTTPConnection(*machine.control, timeout=1)
        raw = body if isinstance(body, (bytes, str)) else json.dumps(body)
        call.request(method, "/v1/instances/" + ident, raw, {"Content-Type": "application/json"})
        status = call.getresponse().status
        call.close()
        return status
    except OSError:
        return None


class Requester:
    """One requester: flows that stay open, a request after the other on each."""

    def __init__(self, address, port, route, entries, record):
        self.address, self.route, self.entries, self.record = address, route, entries, record
        self.flows = {}
        self.sends = []  # Time and port of each packet.
        self.lost_answers = set()  # Ports whose first answer to an opening the network loses.
        self.resets = []
        self.answers = {}
        self.lock = threading.Condition()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, port))
        threading.Thread(target=self.receive, daemon=True).start()

    def route_of(self, port):
        """The entry that gets the packets from `port`: the routers hash the four addresses and
        ports over the nodes in rotation."""
        nodes = [entry for entry in self.entries if entry.in_rotation]
        return nodes[(ip_number(self.address) + port) % len(nodes)] if nodes else None

    def send(self, packet):
        node = self.route_of(packet.src[1])
        self.sends.append((time.monotonic(), packet.src[1]))
        if node:
            self.socket.sendto(packet.encode(), node.datagrams)

    def open(self, port, first_seq=1000):
        """Opens a flow from `port`; True when it is open."""
        me = (ip_number(self.address), port)
        flow = {"key": (me, self.route), "state": "opening", "seq": first_seq + port, "ack": 0}
        with self.lock:
            self.flows[port] = flow
        start = time.monotonic()
        for copy, due in enumerate((0, 0.2, 0.6)):
            with self.lock:
                self.lock.wait_for(lambda: flow["state"] != "opening",
                                   max(0, start + due - time.monotonic()))
                if flow["state"] != "opening":
                    break
            self.send(Packet(me, self.route, SYN, flow["seq"], copy))
        with self.lock:
            self.lock.wait_for(lambda: flow["state"] != "opening",
                               max(0, start + 1.4 - time.monotonic()))
            return flow["state"] == "open"

    def request(self, port, name, deadline=1.5):
        """Sends a request on an open flow; True when its answer came in time."""
        flow = self.flows[port]
        data = name.encode()
        seq = flow["seq"]
        with self.lock:
            if flow["state"] != "open":
                return False
            flow["seq"] += len(data)
        end, pause = time.monotonic() + deadline, 0.2
        self.record("port %d sends request %s" % (port, name))
        while time.monotonic() < end:
            self.send(Packet(flow["key"][0], self.route, ACK, seq, flow["ack"], data))
            with self.lock:
                done = self.lock.wait_for(
                    lambda: name in self.answers or flow["state"] != "open",
                    min(pause, max(0, end - time.monotonic())))
            if done:
                break
            pause = min(pause * 2, 1.6)
        answered = name in self.answers
        self.record("port %d: request %s %s" % (port, name, "answered" if answered else
                                                "not answered, flow " + flow["state"]))
        return answered

    def receive(self):
        while True:
            try:
                raw, _ = self.socket.recvfrom(65536)
            except OSError:
                return
            packet = Packet.decode(raw)
            with self.lock:
                flow = self.flows.get(packet.dst[1])
                if flow is None or packet.src != self.route:
                    continue
                self.take(flow, packet)
                self.lock.notify_all()

    def take(self, flow, packet):
        port = packet.dst[1]
        if packet.flags & RST:
            kind = "a reset of the system's own" if packet.total == 0 else "the back end's reset"
            self.record("port %d gets %s in state %s" % (port, kind, flow["state"]))
            self.resets.append((port, flow["state"], packet.total == 0))
            flow["state"] = "reset"
        elif packet.total != packet.signed():
            self.record("port %d gets a packet that its sender did not write" % port)
        elif packet.flags & SYN and port in self.lost_answers:
            self.lost_answers.remove(port)
            self.record("the network loses the first answer to the opening from port %d" % port)
        elif packet.flags & SYN and flow["state"] == "opening":
            flow["state"] = "open"
            flow["seq"] += 1
            flow["ack"] = (packet.seq + 1) & 0xFFFFFFFF
            self.send(Packet(flow["key"][0], self.route, ACK, flow["seq"], flow["ack"]))
        elif packet.data and flow["state"] == "open" and packet.seq != flow["ack"]:
            self.send(Packet(flow["key"][0], self.route, ACK, flow["seq"], flow["ack"]))
        elif packet.data and flow["state"] == "open":
            flow["ack"] = (flow["ack"] + len(packet.data)) & 0xFFFFFFFF
            text = packet.data.decode()
            self.answers[text.split(" to ")[1]] = text
            self.send(Packet(flow["key"][0], self.route, ACK, flow["seq"], flow["ack"]))

    def close(self):
        self.socket.close()


class Machine:
    """One machine: its addresses, settings and process."""

    def __init__(self, deployment, name, kind, zone, address, service=None):
        self.deployment, self.name, self.kind, self.zone = deployment, name, kind, zone
        self.address, self.service = address, service
        ports = deployment.ports
        self.datagrams = (address, ports["datagrams"])
        self.readiness = (address, ports["readiness"])
        self.control = (address, ports["control"])
        self.outbound = (address, ports["outbound"])
        self.app = (address, ports["app"])
        self.process = None
        self.in_rotation = False
        self.starts = 0

    def fields(self):
        d = self.deployment
        text = lambda pair: "%s:%d" % pair
        listen = {"datagramAddr": text(self.datagrams), "readinessAddr": text(self.readiness),
                  "control": text(self.control)}
        fields = {"nodeName": self.name, "zone": self.zone, "zones": {z: d.region for z in d.zones},
                  "bootstrap": self.starts == 0 and d.starting, "ip": self.address,
                  "portRange": [d.ports["range"], d.ports["range"] + 15], "listen": listen,
                  "seeds": [text(m.control) for m in d.entries[:3]], "limits": d.limits,
                  "bounds": d.bounds, "heartbeatIntervalMs": 1200,
                  "platform": {"address": text(d.store_address), "historyS": 20}}
        if self.kind == "side":
            listen["outbound"] = text(self.outbound)
            fields.update(service=self.service, app=text(self.app))
        return fields

    def start(self):
        template = "deploy/%s.ini" % ("entry" if self.kind == "edge" else "target")
        with open(os.path.join(ROOT, template)) as file:
            settings = render(file.read(), self.fields())
        path = os.path.join(self.deployment.folder, self.name + ".ini")
        with open(path, "w") as file:
            file.write(settings)
        command = ["target/bin/toucanbridge" if self.kind == "edge" else "target/bin/toucantarget",
                   "relay"]
        self.log = open(os.path.join(self.deployment.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.deployment.folder, "TOUCANBRIDGE_BOOT": path})
        self.starts += 1
        self.deployment.record("%s started" % self.name)

    def end(self, number=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            try:
                self.process.wait(6)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.deployment.record("%s ended" % self.name)

    def restart(self, pause):
        """A planned restart: SIGTERM, and a start `pause` seconds after the end."""
        self.end(signal.SIGTERM)
        time.sleep(pause)
        self.start()

    def is_ready(self):
        try:
            call = http.client.HTTPConnection(*self.readiness, timeout=0.5)
            call.request("GET", "/v1/ready")
            ready = call.getresponse().status == 200
            call.close()
            return ready
        except OSError:
            return False


def render(text, fields):
    """Fills in a template as DEPLOY.md says."""

    def look_up(name, scope):
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(show(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def section(match):
        value = look_up(match[2], fields)
        if match[1] == "^":
            return match[3] if value in (None, False) else ""
        if isinstance(value, (list, dict)):
            keys = list(value) if isinstance(value, dict) else range(len(value))
            return "".join(
                match[3].replace("{{@}}", str(key)).replace("{{.}}", show(value[key]))
                .replace("{{,}}", "" if index == len(value) - 1 else ",")
                for index, key in enumerate(keys))
        return match[3] if value not in (None, False) else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: show(look_up(m[1], fields)), text)


class Deployment:
    """Entries, back ends with the process beside each, and the store."""

    region = "region-1"
    limits = {"linkMbps": 1000.0}
    bounds = {"graceS": 6, "flowTtlS": 60, "warmupOvershoot": 1.5, "warmupSlack": 5}

    def __init__(self, case, zones=("zone-a", "zone-b"), entries_per_zone=(1, 1),
                 sides_per_zone=(2, 2), work=0.05):
        self.zones = list(zones)
        self.starting = True
        self.folder = tempfile.mkdtemp(prefix="toucan-review-")
        self.record = Record(os.path.join(case, "record.txt"))
        self.work = work
        # Loopback addresses of this run only, so that runs do not meet.
        self.net = "127.%d.%d." % (64 + os.getpid() // 250 % 128, os.getpid() % 250)
        free = free_ports(self.net + "1")
        self.ports = dict(zip(("datagrams", "readiness", "control", "outbound", "app"), free))
        self.ports["range"] = free[5]
        self.store_address = (self.net + "1", free[6])
        self.store = Store(self.store_address)
        self.entries, self.sides, self.back_ends = [], [], []
        host = 10
        for zone, count in zip(self.zones, entries_per_zone):
            for number in range(count):
                self.entries.append(Machine(self, "edge-%s-%d" % (zone, number + 1), "edge", zone,
                                            self.net + str(host)))
                host += 1
        for zone, count in zip(self.zones, sides_per_zone):
            for number in range(count):
                self.sides.append(Machine(self, "side-%s-%d" % (zone, number + 1), "side", zone,
                                          self.net + str(host), "svc-1"))
                host += 1
        self.route = (ip_number("127.1.1.1"), 443)
        self.version = 7
        self.requesters = []

    def config(self):
        return {"version": self.version,
                "routes": [{"name": "r-1", "host": "127.1.1.1", "pathPrefix": "/443/",
                            "service": "svc-1", "kind": "idempotent", "timeoutMs": 1500,
                            "sloMs": 250, "priority": 2, "maxAttempts": 1}],
                "services": [{"name": "svc-1", "maxConns": 2000, "warmupPerS": 10,
                              "warmupS": 3, "healthPath": "/health"}],
                "limits": {"idleTimeoutMs": 15000}}

    def start(self, without_back_end=()):
        self.store.write("config", "main", self.config())
        for machine in self.entries + self.sides:
            machine.start()
        self.starting = False
        for number, machine in enumerate(self.sides):
            if machine in without_back_end:
                continue
            self.back_ends.append(BackEnd(machine, "i-%d" % (number + 1), self.record, self.work))
        end = time.monotonic() + 15
        while time.monotonic() < end and not all(e.is_ready() for e in self.entries):
            time.sleep(0.1)
        for entry in self.entries:
            entry.in_rotation = entry.is_ready()
        if not all(entry.in_rotation for entry in self.entries):
            raise CannotRun("an entry is not ready after 15 s")
        time.sleep(5)

    def requester(self, number=1, zone=None):
        """A requester whose packets go to the entries of `zone`, or to all."""
        entries = [entry for entry in self.entries if zone in (None, entry.zone)]
        item = Requester(self.net + str(200 + number), self.ports["datagrams"], self.route,
                         entries, self.record)
        self.requesters.append(item)
        return item

    def log_lines(self, machine, *words):
        with open(os.path.join(self.folder, machine.name + ".log")) as file:
            return [line.strip() for line in file if all(word in line for word in words)]

    def stop(self):
        for back_end in self.back_ends:
            back_end.stopped.set()
        for machine in self.sides + self.entries:
            if machine.process:
                machine.end()
        for requester in self.requesters:
            requester.close()
        self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            self.record("logs in %s" % os.path.basename(self.folder))
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


def free_ports(address):
    """Ports that are free for TCP and UDP: five single ones, the first of a range, and one more."""
    def is_free(port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((address, port))
                except OSError:
                    return False
        return True

    base = 20000 + os.getpid() * 37 % 8000
    while not all(is_free(base + i) for i in range(30)):
        base += 30
    return [base + i for i in range(5)] + [base + 5, base + 25]


def run_case(case, play):
    """Runs `play(deployment factory)`; the exit status of the case."""
    deployment = []

    def make(**options):
        deployment.append(Deployment(case, **options))
        return deployment[0]

    try:
        broken = play(make, os.environ.get("TROUBLE", "1") != "0")
    except CannotRun as failure:
        print("could not run: %s" % failure)
        return 2
    finally:
        if deployment:
            deployment[0].stop()
    print(broken or "the rule held")
    return 1 if broken else 0


def main(play):
    case = os.path.abspath(os.path.dirname(sys.argv[0]))
    try:
        status = run_case(case, play)
    except OSError as failure:
        print("could not run: %s" % failure)
        status = 2
    sys.exit(status)
