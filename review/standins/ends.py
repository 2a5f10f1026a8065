"""Stand-ins of requesters and backends: the two ends of the segment transport."""

import asyncio
import json
import random
import socket
import time

from packets import ACK, BOUNCED, FIN, RST, SYN, Packet, decode, near

RETRANSMISSIONS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
SYN_COPIES = (0.0, 0.2, 0.6)
OPEN_LIMIT = 1.4


def bind_udp(address):
    host, port = address.split(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.bind((host, int(port)))
    return sock


def to_address(text):
    host, port = text.split(":")
    return host, int(port)


async def http_call(address, method, path, body, timeout=1.0, source=None):
    """Returns the status of one HTTP call, or None when there is no answer in time."""
    host, port = to_address(address)

    async def call():
        reader, writer = await asyncio.open_connection(
            host, port, local_addr=(source, 0) if source else None)
        try:
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n")
            writer.write(head.encode() + body)
            await writer.drain()
            line = await reader.readline()
            return int(line.split()[1]) if line else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return None


class BackendFlow:
    def __init__(self, key, peer_seq):
        self.key = key
        self.seq = random.randrange(1, 2**32 - 10**6)
        self.first = self.seq
        self.expected = (peer_seq + 1) & 0xFFFFFFFF
        self.open = False
        self.closed_by_us = False
        self.closed_by_peer = False
        self.opened_at = None
        self.unacknowledged = {}
        self.answers = {}


class Backend:
    """A backend on a side machine. Each start() is a new lifetime."""

    def __init__(self, lab, name, machine, service, work=0.055, cold=0.0):
        self.lab, self.name, self.machine, self.service = lab, name, machine, service
        self.work, self.cold = work, cold
        self.running = False
        self.flows, self.ended = {}, set()
        self.sock = None
        self.beats = None
        self.ran = []
        self.opened = []

    def start(self, identity=None, first_beat=0.03):
        self.identity = identity or f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.confirmed = None
        self.flows, self.ended = {}, set()
        self.started = self.lab.now()
        self.cold_until = self.started + self.cold
        self.running = True
        self.sock = bind_udp(self.machine.app)
        asyncio.get_running_loop().add_reader(self.sock, self._receive)
        self.beats = asyncio.create_task(self._beat_loop(first_beat))

    def crash(self):
        """Ends without a message and drops all flows."""
        self.running = False
        self.beats.cancel()
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()
        self.flows = {}

    async def leave(self):
        """Planned shutdown: reports that it drains, serves on, says good-bye and ends."""
        self.state = "draining"
        while await self.beat() != 200:
            await asyncio.sleep(0.05)
        self.lab.note(f"{self.name} drains, confirmed")
        await asyncio.sleep(self.lab.drain + 0.5)
        await http_call(self.machine.control, "DELETE", f"/v1/instances/{self.identity}", b"",
                        source=self.machine.ip)
        self.crash()
        self.lab.note(f"{self.name} has left")
        await self.machine.remove()

    def holds_open(self, key):
        flow = self.flows.get(key) if self.running else None
        return bool(flow and flow.open and not (flow.closed_by_us and flow.closed_by_peer))

    async def beat(self):
        self.sequence += 1
        left = max(0, int((self.cold_until - self.lab.now()) * 1000))
        body = {"service": self.service, "address": self.machine.app, "zone": self.machine.zone,
                "version": "v1", "slots": 9, "state": self.state, "warmupLeftMs": left,
                "seqNo": self.sequence, "born": self.born}
        status = await http_call(self.machine.control, "PUT", f"/v1/instances/{self.identity}",
                                 json.dumps(body).encode(), source=self.machine.ip)
        if status == 200 and self.state == "draining" and self.confirmed is None:
            self.confirmed = self.lab.now()
        return status

    async def _beat_loop(self, first_beat):
        await asyncio.sleep(first_beat)
        while True:
            status = await self.beat()
            # A report that was not acknowledged is repeated soon: there is no other node to call.
            await asyncio.sleep(self.lab.heartbeat if status == 200 else 0.05)

    def _send(self, packet):
        if self.running:
            self.sock.sendto(packet.sealed().encode(), to_address(self.machine.outbound))

    def _reply(self, flow, flags, data=b"", seq=None):
        src, sport, dst, dport = flow.key
        self._send(Packet(dst, dport, src, sport, flags, flow.seq if seq is None else seq,
                          flow.expected, data))

    def _receive(self):
        while self.running:
            try:
                raw, _ = self.sock.recvfrom(4096)
            except BlockingIOError:
                return
            packet = decode(raw)
            if packet is None or not packet.is_genuine() \
                    or packet.flags & (SYN | ACK) == SYN | ACK:
                self.lab.breach("UNASKED", f"{self.name} got a packet its sender didn't write so")
                continue
            self._handle(packet, raw)

    def _bounce(self, raw):
        back = bytearray(raw)
        back[20] |= BOUNCED
        back[21:26] = bytes(5)
        self.sock.sendto(bytes(back), to_address(self.machine.outbound))

    def _handle(self, packet, raw):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = BackendFlow(key, packet.seq)
                self.opened.append((self.lab.now(), key))
                self.lab.on_opening(self, key)
                asyncio.create_task(self._repeat_syn_ack(flow))
            self._reply(flow, SYN | ACK, seq=flow.first)
            return
        if flow is None or (not flow.open and packet.ack != (flow.first + 1) & 0xFFFFFFFF):
            if key in self.ended and not packet.flags & RST:
                answer = ACK if packet.flags & FIN else RST
                src, sport, dst, dport = key
                self._send(Packet(dst, dport, src, sport, answer, packet.ack,
                                  (packet.seq + len(packet.data) + 1) & 0xFFFFFFFF))
            elif not packet.flags & RST:
                self._bounce(raw)
            return
        if not flow.open:
            flow.open, flow.opened_at = True, self.lab.now()
            flow.seq = (flow.first + 1) & 0xFFFFFFFF
        if packet.flags & RST:
            self._end(key)
            return
        for end in [e for e in flow.unacknowledged if (packet.ack - e) & 0xFFFFFFFF < 2**31]:
            del flow.unacknowledged[end]
        if packet.data:
            self._take_data(flow, packet)
        if packet.flags & FIN and packet.seq + len(packet.data) == flow.expected:
            flow.expected = (flow.expected + 1) & 0xFFFFFFFF
            flow.closed_by_peer = True
            self._reply(flow, ACK | FIN)
            self._end(key)

    def _take_data(self, flow, packet):
        if packet.seq != flow.expected:
            if packet.seq in flow.answers:
                self._reply(flow, ACK)
            return
        flow.expected = (flow.expected + len(packet.data)) & 0xFFFFFFFF
        flow.answers[packet.seq] = None
        request = packet.data.decode()
        identity = request.split("X-Request-Id: ")[1].split("\r\n")[0]
        self.ran.append(identity)
        self.lab.on_run(self, identity)
        asyncio.create_task(self._answer(flow, identity))

    async def _answer(self, flow, identity):
        lifetime = self.born
        await asyncio.sleep(self.work)
        if not self.running or self.born != lifetime or self.flows.get(flow.key) is not flow:
            return
        body = f"{identity} {self.name} {self.service}".ljust(200)
        text = (f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.name}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
        seq = flow.seq
        flow.seq = (flow.seq + len(text)) & 0xFFFFFFFF
        end = flow.seq
        flow.unacknowledged[end] = text
        for pause in (0.0,) + RETRANSMISSIONS:
            await asyncio.sleep(pause)
            if end not in flow.unacknowledged or self.flows.get(flow.key) is not flow:
                return
            self._reply(flow, ACK, text, seq=seq)
            if self.state == "draining" and not flow.closed_by_us:
                flow.closed_by_us = True
                self._reply(flow, ACK | FIN)

    async def _repeat_syn_ack(self, flow):
        for pause in RETRANSMISSIONS:
            await asyncio.sleep(pause)
            if flow.open or self.flows.get(flow.key) is not flow:
                return
            self._reply(flow, SYN | ACK, seq=flow.first)
        self._end(flow.key)

    def _end(self, key):
        if self.flows.pop(key, None):
            self.ended.add(key)


class RequesterFlow:
    def __init__(self, requester, route):
        self.requester, self.lab, self.route = requester, requester.lab, route
        host, port = to_address(route)
        requester.next_port += 1
        self.key = (requester.ip, requester.next_port, host, port)
        self.seq = random.randrange(1, 2**32 - 10**6)
        self.ack = 0
        self.state = "opening"
        self.answer = None
        self.event = asyncio.Event()
        self.last_used = self.lab.now()
        requester.flows[(host, port, requester.next_port)] = self

    def send(self, flags, data=b"", seq=None):
        src, sport, dst, dport = self.key
        packet = Packet(src, sport, dst, dport, flags, self.seq if seq is None else seq, self.ack,
                        data)
        self.requester.send(packet)

    def _signal(self):
        self.event.set()
        self.event = asyncio.Event()

    async def _wait(self, limit, done):
        end = self.lab.now() + limit
        while not done() and self.lab.now() < end:
            try:
                await asyncio.wait_for(self.event.wait(), max(0.001, end - self.lab.now()))
            except asyncio.TimeoutError:
                pass
        return done()

    async def open(self):
        """True when the flow opened; otherwise no request has run."""
        started = self.lab.now()
        for copy, at in enumerate(SYN_COPIES):
            if await self._wait(started + at - self.lab.now(), lambda: self.state != "opening"):
                break
            src, sport, dst, dport = self.key
            self.requester.send(Packet(src, sport, dst, dport, SYN, self.seq, copy))
        await self._wait(started + OPEN_LIMIT - self.lab.now(), lambda: self.state != "opening")
        if self.state == "opening":
            self.state = "unanswered"
        return self.state == "open"

    async def request(self, deadline=2.0):
        """Sends one request; returns (request id, outcome)."""
        self.requester.count += 1
        identity = f"{self.requester.ip}-{self.requester.count}"
        self.lab.asked.add(identity)
        text = (f"GET / HTTP/1.1\r\nX-Request-Id: {identity}\r\n\r\n").encode()
        seq, self.answer = self.seq, None
        self.seq = (self.seq + len(text)) & 0xFFFFFFFF
        end = self.lab.now() + deadline
        for pause in RETRANSMISSIONS:
            self.send(ACK, text, seq=seq)
            left = min(pause, end - self.lab.now())
            if left <= 0 or await self._wait(left, lambda: self.answer or self.state != "open"):
                break
        self.last_used = self.lab.now()
        if self.answer:
            body = self.answer.split("\r\n\r\n", 1)[1]
            if not body.startswith(identity + " "):
                self.lab.breach("MIXED", f"request {identity} got the answer {body.strip()}")
            return identity, "served by " + body.split()[1]
        return identity, self.state if self.state != "open" else "no answer"

    def close(self):
        if self.state == "open":
            self.send(ACK | FIN)
            self.state = "closed"

    def handle(self, packet):
        if packet.is_system_reset():
            if self.state == "opening":
                self.state = "refused"
            elif self.state == "open" and near(packet.seq, self.ack):
                self.state = "reset by the system"
                self.lab.on_system_reset(self)
            self._signal()
            return
        if not packet.is_genuine():
            self.lab.breach("MIXED", f"requester {self.key} got a packet nobody wrote so")
            return
        if packet.flags & RST:
            if self.state in ("opening", "open"):
                self.state = "reset by its backend"
            self._signal()
            return
        if packet.flags & SYN:
            if self.state == "opening":
                self.ack = (packet.seq + 1) & 0xFFFFFFFF
                self.seq = (self.seq + 1) & 0xFFFFFFFF
                self.state = "open"
                self.send(ACK)
                self._signal()
            return
        if packet.data and packet.seq == self.ack and self.state == "open":
            self.ack = (self.ack + len(packet.data)) & 0xFFFFFFFF
            self.answer = packet.data.decode()
            self.send(ACK)
            self._signal()
        elif packet.data and self.state in ("open", "closed"):
            self.send(ACK)
        if packet.flags & FIN and packet.seq == self.ack and self.state == "open":
            self.ack = (self.ack + 1) & 0xFFFFFFFF
            self.send(ACK | FIN)
            self.state = "closed by its backend"
            self._signal()


class Requester:
    def __init__(self, lab, ip, zone):
        self.lab, self.ip, self.zone = lab, ip, zone
        self.sock = bind_udp(f"{ip}:{lab.ports['datagram']}")
        self.flows = {}
        self.next_port = 40_000
        self.count = 0
        asyncio.get_running_loop().add_reader(self.sock, self._receive)

    def send(self, packet):
        node = self.lab.router.node_for(self.zone, packet)
        if node:
            self.sock.sendto(packet.sealed().encode(), to_address(node.datagram))

    def _receive(self):
        while True:
            try:
                raw, _ = self.sock.recvfrom(4096)
            except BlockingIOError:
                return
            packet = decode(raw)
            flow = packet and self.flows.get((packet.src, packet.sport, packet.dport))
            if flow:
                flow.handle(packet)
