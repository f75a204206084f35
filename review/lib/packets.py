"""Packets of the platform: codec, and both ends of a flow.

A head of 32 bytes, little-endian, and up to 1200 bytes of data. The two ends
share the key of the sum; the system under test does not have it.
"""

import struct
import zlib

SYN, FIN, RST, ACK, BOUNCED = 128, 8, 2, 4, 64
HEAD = struct.Struct("<HIBBIHIHIII")
MOST_DATA = 1200
KEY = b"known to both ends of a flow"

FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 1.6
MOST_REPEATS = 8
ACK_DELAY_S = 0.05
WINDOW_BYTES = 76800


def number_of(address):
    parts = [int(part) for part in address.split(".")]
    return parts[0] << 24 | parts[1] << 16 | parts[2] << 8 | parts[3]


def address_of(number):
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


class Packet:
    """One datagram of a flow."""

    def __init__(self, flags, dst, dport, src, sport, seq, ack, data=b"",
                 pad=0, echo=0, checksum=None):
        self.flags = flags
        self.dst = dst
        self.dport = dport
        self.src = src
        self.sport = sport
        self.seq = seq
        self.ack = ack
        self.data = data
        self.pad = pad
        self.echo = echo
        self.checksum = self.expected() if checksum is None else checksum

    def expected(self):
        covered = HEAD.pack(len(self.data), 0, self.flags & ~BOUNCED, 0,
                            self.dst, self.dport, self.src, self.sport,
                            self.seq, self.ack, 0)
        return zlib.crc32(KEY + covered + self.data)

    def is_written_by_an_end(self):
        return self.checksum == self.expected()

    def encode(self):
        return HEAD.pack(len(self.data), self.checksum, self.flags, self.pad,
                         self.dst, self.dport, self.src, self.sport, self.seq,
                         self.ack, self.echo) + self.data

    def names(self):
        return "".join(name for bit, name in (
            (SYN, "S"), (ACK, "A"), (FIN, "F"), (RST, "R"), (BOUNCED, "B"))
            if self.flags & bit) or "-"

    def __str__(self):
        return (f"{self.names()} {address_of(self.src)}:{self.sport}>"
                f"{address_of(self.dst)}:{self.dport} seq {self.seq} "
                f"ack {self.ack} len {len(self.data)}")


def decode(datagram):
    """The packet, or None where the datagram is none."""
    if len(datagram) < HEAD.size:
        return None
    (length, checksum, flags, pad, dst, dport, src, sport, seq, ack,
     echo) = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size:]
    if length != len(data):
        return None
    return Packet(flags, dst, dport, src, sport, seq, ack, data, pad, echo,
                  checksum)


def after(number, length):
    return (number + length) & 0xffffffff


def distance(a, b):
    """How far a is ahead of b, negative where it is behind."""
    gap = (a - b) & 0xffffffff
    return gap - (1 << 32) if gap >= 1 << 31 else gap


class Stream:
    """One end's bytes of an open flow: repeats what is not acknowledged, and
    takes in order what comes. `send(flags, seq, ack, data)` writes a packet."""

    def __init__(self, loop, send, own_next, peer_next, on_data, on_fin,
                 on_given_up=lambda: None):
        self.loop = loop
        self.send = send
        self.own_next = own_next
        self.peer_next = peer_next
        self.on_data = on_data
        self.on_fin = on_fin
        self.on_given_up = on_given_up
        self.unacknowledged = []
        self.pause = FIRST_PAUSE_S
        self.repeats = 0
        self.timer = None
        self.ack_timer = None
        self.unanswered = 0
        self.fin_sent = False
        self.fin_taken = False
        self.closed = False

    def write(self, data):
        for at in range(0, len(data), MOST_DATA):
            self._queue(ACK, data[at:at + MOST_DATA])

    def finish(self):
        if not self.fin_sent and not self.closed:
            self.fin_sent = True
            self._queue(ACK | FIN, b"")

    def _queue(self, flags, data):
        length = len(data) + (1 if flags & FIN else 0)
        self.unacknowledged.append((self.own_next, flags, data, length))
        self.send(flags, self.own_next, self.peer_next, data)
        self.own_next = after(self.own_next, length)
        self._acknowledged_now()
        if self.timer is None:
            self._arm()

    def _arm(self):
        self.timer = self.loop.later(self.pause, self._repeat)

    def _repeat(self):
        self.timer = None
        if self.closed or not self.unacknowledged:
            return
        self.repeats += 1
        if self.repeats > MOST_REPEATS:
            self.close()
            self.on_given_up()
            return
        seq, flags, data, _ = self.unacknowledged[0]
        self.send(flags, seq, self.peer_next, data)
        self.pause = min(2 * self.pause, LONGEST_PAUSE_S)
        self._arm()

    def _acknowledged_now(self):
        self.unanswered = 0
        if self.ack_timer is not None:
            self.ack_timer.cancel()
            self.ack_timer = None

    def _send_ack(self):
        self.ack_timer = None
        if not self.closed:
            self.unanswered = 0
            self.send(ACK, self.own_next, self.peer_next, b"")

    def take(self, packet):
        if self.closed:
            return
        if packet.flags & ACK:
            kept = [item for item in self.unacknowledged
                    if distance(packet.ack, after(item[0], item[3])) < 0]
            if len(kept) != len(self.unacknowledged):
                self.unacknowledged = kept
                self.pause = FIRST_PAUSE_S
                self.repeats = 0
                if self.timer is not None:
                    self.timer.cancel()
                    self.timer = None
                if kept:
                    self._arm()
        length = len(packet.data) + (1 if packet.flags & FIN else 0)
        if length == 0:
            return
        if packet.seq != self.peer_next:
            self._acknowledged_now()
            self._send_ack()
            return
        self.peer_next = after(self.peer_next, length)
        self.unanswered += 1
        if self.unanswered >= 2 or packet.flags & FIN:
            self._acknowledged_now()
            self._send_ack()
        elif self.ack_timer is None:
            self.ack_timer = self.loop.later(ACK_DELAY_S, self._send_ack)
        if packet.data:
            self.on_data(packet.data)
        if packet.flags & FIN and not self.fin_taken:
            self.fin_taken = True
            self.on_fin()

    def close(self):
        self.closed = True
        for timer in (self.timer, self.ack_timer):
            if timer is not None:
                timer.cancel()
        self.timer = self.ack_timer = None
        self.unacknowledged = []
