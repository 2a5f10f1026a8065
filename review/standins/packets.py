"""Packets of the segment transport: encoding, decoding and the keyed sum."""

import hashlib
import ipaddress
import struct
from dataclasses import dataclass

SYN, ACK, FIN, RST, BOUNCED = 4, 8, 64, 16, 2
HEAD = struct.Struct(">IHH4s4sIB5sHII")
SUM_KEY = b"known to requesters and backends only"
RESET_WINDOW = 76_800


@dataclass
class Packet:
    src: str
    sport: int
    dst: str
    dport: int
    flags: int = 0
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    sum: int = 0

    def keyed_sum(self):
        fields = (self.src, self.sport, self.dst, self.dport, self.flags & ~BOUNCED, self.seq,
                  self.ack, self.data)
        digest = hashlib.blake2s(repr(fields).encode(), key=SUM_KEY[:32], digest_size=4).digest()
        return int.from_bytes(digest, "big") | 1

    def sealed(self):
        self.sum = self.keyed_sum()
        return self

    def is_genuine(self):
        return self.sum == self.keyed_sum()

    def is_system_reset(self):
        return bool(self.flags & RST) and self.sum == 0 and not self.data

    def encode(self):
        return HEAD.pack(self.sum, self.dport, self.sport,
                         ipaddress.IPv4Address(self.src).packed,
                         ipaddress.IPv4Address(self.dst).packed, self.echo, self.flags,
                         bytes(5), len(self.data), self.seq, self.ack) + self.data


def decode(raw):
    """Returns the packet, or None when the bytes are no packet."""
    if len(raw) < HEAD.size:
        return None
    total, dport, sport, src, dst, echo, flags, _, size, seq, ack = HEAD.unpack_from(raw)
    if len(raw) != HEAD.size + size:
        return None
    return Packet(str(ipaddress.IPv4Address(src)), sport, str(ipaddress.IPv4Address(dst)), dport,
                  flags, seq, ack, raw[HEAD.size:], echo, total)


def near(left, right):
    """True when two sequence numbers are within the window of a valid reset."""
    difference = (left - right) & 0xFFFFFFFF
    return min(difference, 2**32 - difference) <= RESET_WINDOW
