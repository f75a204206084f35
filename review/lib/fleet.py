"""A small deployment on loopback addresses: the project's own programs as
separate processes, and stand-ins for the platform, operators, targets and
clients, as the users' pages describe them.

All ends of flows are in one thread (loop.py). HTTP calls have threads of their
own. Every event goes to record.txt beside the script that was started.
"""

import atexit
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

from loop import Loop
from packets import (ACK, BOUNCED, FIN, RST, SYN, WINDOW_BYTES, Packet, Stream,
                     address_of, after, decode, distance, number_of)

ROOT = pathlib.Path(__file__).resolve().parents[2]
BEAT_S = 0.77
PROBE_S = 0.5
PROCESS_PAUSE_S = 0.05
SYN_COPIES_S = (0.2, 0.6)
OPENING_LIFE_S = 1.4
ROUTE_HOST = "127.99.0.1"

# Exit statuses of a case's Python program. A program that fails otherwise ends
# with 1, which is none of them.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10

SETTINGS = """node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "cz-central"
internal_ports = [{inner},{last_inner}]
seeds = [{seeds}]
bootstrap = {bootstrap}
in_tolerance = {counted}
discovery = "local"
entry = "announcement"
heartbeat_interval_ms = 770
contracts = ["base","drain","config","cost","recover","flows"]
config_mode = "highest"
hash = "steady"
deployment_mode = "agent"
{own}
[zones]
praha-a = "cz-central"
praha-b = "cz-central"
brno-a = "cz-central"

[listen_addresses]
{listen}

[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 128

[fault_tolerance]
machines = 1
zones = 0
regions = 0

[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_window_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_stretch_ms = 12000
recovery_s = 12
flow_ms = 2000
flow_ttl_s = 60
"""


class CannotRun(Exception):
    """The case could not run; says nothing of the system."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class Machine:
    """A machine of the system with one process."""

    def __init__(self, fleet, name, role, ip, extra=None):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.ip = ip
        self.extra = extra or {}
        self.process = None
        self.bootstrap = True
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.log_path = self.folder / "log"

    def _settings(self):
        ports = self.fleet.ports
        listen, own = [], []
        if self.role == "control":
            listen.append(f'control = "{self.ip}:{ports["control"]}"')
            own.append(f'data_dir = "{self.folder / "data"}"')
        else:
            listen.append(f'packets = "{self.ip}:{ports["packets"]}"')
            listen.append(f'readiness = "{self.ip}:{ports["readiness"]}"')
        if self.role == "agent":
            listen.append(f'outbound = "{self.ip}:{ports["outbound"]}"')
            listen.append(f'control = "{self.ip}:{ports["control"]}"')
            own.append(f'app = "{self.ip}:{ports["app"]}"')
            own.append(f'service = "{self.extra["service"]}"')
        machine_class, serves = {"control": ("core", "control_plane"),
                                 "balancer": ("frontend", "frontend"),
                                 "agent": ("side", "side")}[self.role]
        seeds = ",".join(f'"{ip}:{ports["control"]}"'
                         for ip in self.fleet.core_ips)
        return SETTINGS.format(
            name=self.name, role=self.role, machine_class=machine_class,
            serves=serves, ip=self.ip, zone=self.extra.get("zone", "praha-a"),
            inner=ports["inner"], last_inner=ports["inner"] + 15, seeds=seeds,
            bootstrap="true" if self.bootstrap else "false",
            counted="true" if self.role == "control" else "false",
            own="\n".join(own), listen="\n".join(listen))

    def start(self):
        path = self.folder / "boot.toml"
        path.write_text(self._settings(), encoding="utf-8")
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CARDAMOMROUTE_NODE_FILE"] = str(path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.fleet.commands[self.role], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.bootstrap = False
        self.fleet.note(f"{self.name} starts, pid {self.process.pid}")

    def send(self, number):
        self.fleet.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self, number, seconds=6):
        """Ends it by a signal and waits, at most for grace_s."""
        self.send(number)
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.fleet.note(f"{self.name} has ended: {self.process.returncode}")

    def restart(self, number=signal.SIGTERM, pause_s=PROCESS_PAUSE_S):
        self.end(number)
        time.sleep(pause_s)
        self.start()

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def log(self):
        return self.log_path.read_text(encoding="utf-8", errors="replace")


class Call:
    """An HTTP call with one deadline; status 0 where there is no answer."""

    def __init__(self, address, port, method, path, body=None, seconds=1.0):
        self.status, self.body, self.location = 0, b"", None
        connection = http.client.HTTPConnection(address, port,
                                                timeout=seconds)
        try:
            headers = {"Content-Type": "application/json"} if body else {}
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            self.status = answer.status
            self.location = answer.getheader("Location")
            self.body = answer.read()
        except (OSError, http.client.HTTPException):
            self.status = 0
        finally:
            connection.close()


class Operator:
    def __init__(self, fleet):
        self.fleet = fleet

    def put(self, document, seconds=15):
        """Sends it until it is acknowledged; returns when that was."""
        body = json.dumps(document)
        began = time.monotonic()
        pause, turn = 0.05, 0
        while time.monotonic() < began + seconds:
            node = self.fleet.core[turn % len(self.fleet.core)]
            call = self._follow(node.ip, "POST", "/config/put", body)
            if call.status == 200:
                acked = time.monotonic()
                self.fleet.note(f"operator: version {document['version']} "
                                f"acknowledged by way of {node.name}")
                return acked
            if 400 <= call.status < 500 and call.status not in (408, 429):
                raise CannotRun(f"a valid configuration got {call.status}")
            turn += 1
            time.sleep(pause)
            pause = min(2 * pause, 1)
        raise CannotRun("no acknowledgement of a configuration")

    def _follow(self, ip, method, path, body):
        port = self.fleet.ports["control"]
        for _ in range(3):
            call = Call(ip, port, method, path, body)
            if call.status != 307 or not call.location:
                return call
            address = call.location.split("//")[1].split("/")[0]
            ip, port = address.split(":")[0], int(address.split(":")[1])
        return call


class Target:
    """An application target beside an agent."""

    def __init__(self, fleet, name, service, machine, target_id, slots=2,
                 work_s=0.015):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.machine = machine
        self.id = target_id
        self.slots = slots
        self.work_s = work_s
        self.alive = False
        self.state = "ready"
        self.flows = {}
        self.ended = {}
        self.queue = []
        self.busy = 0
        self.sequence = 0
        self.socket = None
        self.listener = None
        self.beats = None
        self.stamp = ""
        self.born = 0
        self.on_taken_syn = lambda packet: None

    # its life

    def start(self):
        ports = self.fleet.ports
        self.flows, self.ended, self.queue, self.busy = {}, {}, [], 0
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.stamp = f"{self.id}-{self.born}"
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.machine.ip, ports["app"]))
        self.listener.listen(64)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.machine.ip, ports["app"]))
        self.socket.setblocking(False)
        self.alive = True
        mine, listening = self.socket, self.listener
        self.fleet.loop.watch(mine, lambda: self._receive(mine))
        self.fleet.loop.watch(listening, lambda: self._health(listening))
        self.fleet.note(f"target {self.name} starts as {self.id}, "
                        f"born {self.born}")
        self.beats = threading.Thread(target=self._beat_all,
                                      args=(self.born,), daemon=True)
        self.beats.start()

    def crash(self):
        """Ends without a word."""
        self.alive = False
        self.fleet.loop.unwatch(self.socket)
        self.fleet.loop.unwatch(self.listener)
        self.fleet.loop.call(self._forget)
        self.socket.close()
        self.listener.close()
        self.fleet.note(f"target {self.name} ends")

    def _forget(self):
        for stream in self.flows.values():
            if isinstance(stream, Stream):
                stream.close()
        self.flows = {}

    def _health(self, listening):
        """Accepts, answers GET of the health path, and closes."""
        try:
            connection, _ = listening.accept()
        except OSError:
            return

        def serve():
            connection.settimeout(1)
            try:
                if connection.recv(4096):
                    ready = self.state == "ready"
                    connection.sendall(
                        b"HTTP/1.1 " + (b"200 OK" if ready else
                                        b"503 Service Unavailable") +
                        b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            except OSError:
                pass
            finally:
                connection.close()

        threading.Thread(target=serve, daemon=True).start()

    # heartbeats

    def beat(self):
        self.sequence += 1
        body = json.dumps({
            "service": self.service,
            "address": f"{self.machine.ip}:{self.fleet.ports['app']}",
            "zone": self.machine.extra.get("zone", "praha-a"),
            "version": "v1", "slots": self.slots, "state": self.state,
            "warmup_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born})
        call = Call(self.machine.ip, self.fleet.ports["control"], "POST",
                    f"/targets/{self.id}/heartbeat", body)
        self.fleet.note(f"target {self.name} heartbeat {self.sequence} "
                        f"{self.state}: {call.status or 'no answer'}")
        return 200 <= call.status < 300

    def _beat_all(self, born):
        due = time.monotonic()
        while self.alive and self.born == born and not self.fleet.finished:
            self.beat()
            due += BEAT_S
            time.sleep(max(due - time.monotonic(), 0))

    # packets

    def _send(self, packet):
        if self.alive:
            self.socket.sendto(packet.encode(), (
                self.machine.ip, self.fleet.ports["outbound"]))

    def _receive(self, mine):
        while self.alive:
            try:
                datagram, _ = mine.recvfrom(4096)
            except (BlockingIOError, OSError):
                return
            packet = decode(datagram)
            if packet is None or not packet.is_written_by_an_end():
                self.fleet.broken("UNASKED", f"target {self.name} got a packet "
                                  "that its sender did not write so")
                continue
            self._take(packet)

    def _bounce(self, packet, why):
        self.fleet.note(f"target {self.name} hands back {packet}: {why}")
        packet.flags |= BOUNCED
        packet.pad = 0
        self._send(packet)

    def _take(self, packet):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        held = self.flows.get(key)
        if packet.flags & SYN:
            self._take_syn(key, held, packet)
            return
        if held is None:
            if key in self.ended:
                self._after_end(packet)
            else:
                self._bounce(packet, "not held")
            return
        if isinstance(held, tuple):
            own = held[0]
            if not packet.flags & ACK or packet.ack != after(own, 1):
                self._bounce(packet, "another answer was taken")
                return
            held = self._open(key, held)
        if packet.flags & RST:
            held.close()
            self.flows.pop(key, None)
            return
        held.take(packet)

    def _take_syn(self, key, held, packet):
        if isinstance(held, Stream):
            if after(packet.seq, 1) == held.first_from_peer:
                return
            # The client has begun anew on the same port.
            held.close()
            held = None
        if held is None:
            if len(self.flows) >= 2000:
                self._bounce(packet, "full")
                return
            own = random.getrandbits(32)
            self.flows[key] = held = (own, after(packet.seq, 1))
            self.fleet.note(f"target {self.name} takes opening {packet} "
                            f"(copy {packet.ack})")
            self.on_taken_syn(packet)
        self._send(Packet(SYN | ACK, packet.src, packet.sport, packet.dst,
                          packet.dport, held[0], held[1]))

    def _open(self, key, held):
        src, sport, dst, dport = key

        def send(flags, seq, ack, data):
            self._send(Packet(flags, src, sport, dst, dport, seq, ack, data))

        taken = bytearray()
        stream = Stream(self.fleet.loop, send, after(held[0], 1), held[1],
                        lambda data: self._on_data(key, taken, data),
                        lambda: self._on_fin(key),
                        lambda: self.flows.pop(key, None))
        stream.first_from_peer = held[1]
        self.flows[key] = stream
        self.fleet.note(f"target {self.name} holds flow "
                        f"{address_of(src)}:{sport}")
        return stream

    def _after_end(self, packet):
        """A flow that has ended: a FIN is acknowledged, data are reset."""
        if packet.flags & FIN:
            flags, length = ACK, 1
        elif packet.data:
            flags, length = RST, len(packet.data)
        else:
            return
        self._send(Packet(flags, packet.src, packet.sport, packet.dst,
                          packet.dport, packet.ack, after(packet.seq, length)))

    def _on_fin(self, key):
        stream = self.flows.get(key)
        if stream is not None:
            stream.finish()
            self.fleet.loop.later(0.5, lambda: self._end(key))

    def _end(self, key):
        stream = self.flows.pop(key, None)
        if stream is not None:
            stream.close()
            self.ended[key] = True

    # requests

    def _on_data(self, key, taken, data):
        taken += data
        while True:
            end = taken.find(b"\r\n\r\n")
            if end < 0:
                return
            head = taken[:end].decode()
            length = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            if len(taken) < end + 4 + length:
                return
            del taken[:end + 4 + length]
            self.queue.append((key, head))
            self._work()

    def _work(self):
        while self.busy < self.slots and self.queue:
            key, head = self.queue.pop(0)
            request = next(line.split(": ")[1] for line in head.split("\r\n")
                           if line.startswith("Request-Id: "))
            self.busy += 1
            self.fleet.note(f"target {self.name} ({self.service}) runs "
                            f"{request}")
            self.fleet.runs.append((request, self.service, self.name))
            self.fleet.loop.later(
                self.work_s, lambda k=key, r=request: self._answer(k, r))

    def _answer(self, key, request):
        self.busy -= 1
        stream = self.flows.get(key)
        if self.alive and isinstance(stream, Stream) and not stream.closed:
            body = (f"{request} done by {self.stamp} " + "x" * 500).encode()
            stream.write(
                f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.stamp}\r\n"
                f"Request-Id: {request}\r\nContent-Length: {len(body)}"
                "\r\n\r\n".encode() + body)
            if self.state == "draining":
                stream.finish()
        if self.alive:
            self._work()


class Flow:
    """A client's flow."""

    def __init__(self, client, port, route_port, balancer=None):
        self.client = client
        self.port = port
        self.route_port = route_port
        self.balancer = balancer
        self.first = random.getrandbits(32)
        self.last_ack = 0
        self.stream = None
        self.state = "opening"
        self.answers = {}
        self.pending = []
        self.received = bytearray()
        self.opened_by = None
        self.reset = None
        self.began = time.monotonic()
        self.sent_at = {}

    def name(self):
        return f"{self.client.ip}:{self.port}"

    def is_open(self):
        return self.state == "open"

    # in the loop's thread

    def begin(self):
        self._send_syn(0)
        for copy, pause in enumerate(SYN_COPIES_S, start=1):
            self.client.fleet.loop.later(
                pause, lambda c=copy: self._send_syn(c))
        self.client.fleet.loop.later(OPENING_LIFE_S, self._give_up)

    def _send_syn(self, copy):
        if self.state == "opening":
            self.client.fleet.note(f"client {self.name()} sends SYN, copy "
                                   f"{copy}, for port {self.route_port}")
            self.sent_at[copy] = time.monotonic()
            self.send(SYN, self.first, copy, b"")

    def _give_up(self):
        if self.state == "opening":
            self.state = "given up"
            self.client.fleet.note(f"client {self.name()} gives up: no answer")

    def send(self, flags, seq, ack, data):
        if not flags & SYN:
            self.last_ack = ack
        self.client.send(self, Packet(
            flags, number_of(ROUTE_HOST), self.route_port,
            number_of(self.client.ip), self.port, seq, ack, data))

    def request(self, name, size=300):
        body = "o" * size
        text = (f"POST /offer HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
                f"Request-Id: {name}\r\nContent-Length: {size}\r\n\r\n"
                f"{body}").encode()
        self.client.fleet.note(f"client {self.name()} sends request {name}")
        if self.stream is not None:
            self.stream.write(text)
        else:
            self.pending.append(text)

    def take(self, packet):
        if packet.flags & RST:
            self._take_reset(packet)
            return
        if not packet.is_written_by_an_end():
            self.client.fleet.broken(
                "MIXED", f"client {self.name()} got {packet}, which its "
                "sender did not write so")
            return
        if packet.flags & SYN:
            if self.state == "opening" and packet.ack == after(self.first, 1):
                self._open(packet)
            return
        if self.stream is not None:
            self.stream.take(packet)

    def _open(self, packet):
        self.state = "open"
        self.client.fleet.note(f"client {self.name()} flow is open")
        self.stream = Stream(self.client.fleet.loop, self.send,
                             after(self.first, 1), after(packet.seq, 1),
                             self._on_data, self._on_fin)
        if not self.pending:
            self.send(ACK, after(self.first, 1), after(packet.seq, 1), b"")
        for text in self.pending:
            self.stream.write(text)
        self.pending = []

    def _take_reset(self, packet):
        own = packet.checksum == 0 and not packet.data
        if self.state == "opening":
            self.state = "refused"
            self.client.fleet.note(f"client {self.name()} is refused")
        elif self.state == "open":
            gap = abs(distance(packet.seq, self.last_ack))
            if own and gap > WINDOW_BYTES:
                self.client.fleet.note(f"client {self.name()} ignores a reset "
                                       "out of its window")
                return
            self.state = "reset"
            self.reset = "the system" if own else "the target"
            self.client.fleet.note(f"client {self.name()} open flow is reset "
                                   f"by {self.reset}")
        if self.stream is not None:
            self.stream.close()

    def _on_data(self, data):
        self.received += data
        while True:
            end = self.received.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self.received[:end].decode()
            values = dict(line.split(": ", 1)
                          for line in head.split("\r\n")[1:])
            length = int(values["Content-Length"])
            if len(self.received) < end + 4 + length:
                return
            body = bytes(self.received[end + 4:end + 4 + length])
            del self.received[:end + 4 + length]
            name = values["Request-Id"]
            self.answers[name] = (values["Server-Stamp"], body)
            self.client.fleet.note(f"client {self.name()} gets the answer to "
                                   f"{name} from {values['Server-Stamp']}")

    def _on_fin(self):
        self.stream.finish()
        self.state = "closed"
        self.client.fleet.note(f"client {self.name()} flow is closed")

    def close(self):
        if self.stream is not None and self.state == "open":
            self.stream.finish()


class Client:
    def __init__(self, fleet, ip):
        self.fleet = fleet
        self.ip = ip
        self.flows = {}
        self.next_port = 40001
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, fleet.ports["packets"]))
        self.socket.setblocking(False)
        fleet.loop.watch(self.socket, self._receive)

    def open(self, route_port, balancer=None, port=None):
        """Begins a flow. Without a balancer, the platform's router chooses."""
        if port is None:
            port = self.next_port
            self.next_port += 1
        flow = Flow(self, port, route_port, balancer)

        def begin():
            self.flows[(port, route_port)] = flow
            flow.begin()

        self.fleet.loop.call(begin)
        return flow

    def request(self, flow, name):
        self.fleet.loop.call(lambda: flow.request(name))

    def close(self, flow):
        self.fleet.loop.call(flow.close)

    def send(self, flow, packet):
        self.fleet.router.forward(flow, packet)

    def _receive(self):
        while True:
            try:
                datagram, _ = self.socket.recvfrom(4096)
            except BlockingIOError:
                return
            packet = decode(datagram)
            if packet is None:
                self.fleet.broken("MIXED", f"client {self.ip} got no packet")
                continue
            flow = self.flows.get((packet.dport, packet.sport))
            if flow is not None:
                flow.take(packet)


class Router:
    """The platform's routers: rendezvous hashing over the balancers that
    answer their probes, as `hash = "steady"` says."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.misses = {machine: 2 for machine in fleet.balancers}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((fleet.ip(250), 0))
        threading.Thread(target=self._probe, daemon=True).start()

    def in_rotation(self):
        return [machine for machine, missed in self.misses.items()
                if missed < 2]

    def choose(self, flow):
        able = self.in_rotation()
        if 2 * len(able) < len(self.misses):
            able = list(self.misses)
        key = (flow.client.ip, flow.port, ROUTE_HOST, flow.route_port)
        return max(able, key=lambda machine: hash((machine.name, key)))

    def forward(self, flow, packet):
        machine = flow.balancer or self.choose(flow)
        self.socket.sendto(packet.encode(), (
            machine.ip, self.fleet.ports["packets"]))

    def _probe(self):
        while not self.fleet.finished:
            for machine in list(self.misses):
                call = Call(machine.ip, self.fleet.ports["readiness"], "GET",
                            "/ready", seconds=0.4)
                self.misses[machine] = (0 if call.status == 200
                                        else self.misses[machine] + 1)
            time.sleep(PROBE_S)


class Fleet:
    """`run` is the case's own code; the exit status says what came of it."""

    def __init__(self, case_folder):
        self.case_folder = pathlib.Path(case_folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.case_folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review."))
        self.commands = self._commands()
        self.network = f"127.{random.randrange(20, 90)}.{random.randrange(256)}"
        self.ports = self._free_ports()
        self.finished = False
        self.breaks = []
        self.runs = []
        self.machines = []
        self.core_ips = [self.ip(1), self.ip(2), self.ip(3)]
        self.core = []
        self.balancers = []
        self.loop = Loop()
        self.router = None
        self.operator = Operator(self)
        atexit.register(self._end_all)

    def ip(self, last):
        return f"{self.network}.{last}"

    def note(self, text):
        self.record.note(text)

    def broken(self, rule, what):
        self.breaks.append((rule, what))
        self.note(f"BROKEN {rule}: {what}")

    @staticmethod
    def _commands():
        deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        commands = {}
        for name, role in deploy["roles"].items():
            command = role["run"].split(" ")
            if not (ROOT / command[0]).exists():
                raise CannotRun(f"{command[0]} has not been built")
            commands[name] = [str(ROOT / command[0]), *command[1:]]
        return commands

    def _free_ports(self):
        for _ in range(50):
            base = random.randrange(20000, 30000)
            names = ("packets", "readiness", "control", "outbound", "app")
            ports = {name: base + i for i, name in enumerate(names)}
            ports["inner"] = base + 10
            try:
                for last in range(1, 40):
                    for port in ports.values():
                        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((self.ip(last), port))
                return ports
            except OSError:
                continue
        raise CannotRun("no free ports")

    def machine(self, name, role, last, **extra):
        made = Machine(self, name, role, self.ip(last), extra)
        self.machines.append(made)
        return made

    def start_core_and_balancers(self, balancers=2, last_core_pause_s=0):
        zones = ("praha-a", "praha-b", "brno-a")
        for i in range(3):
            self.core.append(self.machine(f"core-{i + 1}", "control", i + 1,
                                          zone=zones[i]))
        for i in range(balancers):
            self.balancers.append(
                self.machine(f"frontend-{i + 1}", "balancer", 11 + i,
                             zone=zones[i % 3]))
        for machine in self.core[:2] + self.balancers:
            machine.start()
        time.sleep(last_core_pause_s)
        self.core[2].start()
        self.router = Router(self)

    def add_target(self, name, service, last, **options):
        """A machine beside it, and the target; neither is started."""
        machine = self.machine(f"side-{name}", "agent", last, service=service)
        return Target(self, name, service, machine, f"i-{name}", **options)

    @staticmethod
    def configuration(version, routes, services, idle_ms=15000):
        """`routes`: (name, port, service, type, timeout_ms)."""
        return {
            "version": version,
            "routes": [
                {"name": name, "host": ROUTE_HOST, "path_prefix": f"/{port}/",
                 "type": kind, "timeout_ms": timeout, "aim_ms": timeout // 5,
                 "priority": 1, "service": service, "max_attempts": 2}
                for name, port, service, kind, timeout in routes],
            "services": [
                {"name": service, "health_path": "/health",
                 "max_connections": 2000, "protocol": "h1", "tls": False}
                for service in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": idle_ms}}

    def wait_until(self, what, seconds, true):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if true():
                return
            time.sleep(0.02)
        raise CannotRun(f"in vain: {what}")

    def wait_ready(self):
        self.wait_until("balancers are ready", 15, lambda: len(
            self.router.in_rotation()) == len(self.balancers))

    def _end_all(self):
        self.finished = True
        for machine in self.machines:
            if machine.runs():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.terminate()
        for machine in self.machines:
            if machine.process is not None:
                try:
                    machine.process.wait(6)
                except subprocess.TimeoutExpired:
                    machine.process.kill()
                    machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def check_processes(self):
        for machine in self.machines:
            if machine.process is not None and not machine.runs():
                self.broken("Fault", f"{machine.name} has ended by itself: "
                            f"{machine.process.returncode}")

    def finish(self):
        """The exit status: 1 where a rule was broken."""
        if self.loop.failure is not None:
            raise CannotRun(f"stand-ins failed: {self.loop.failure!r}")
        self.note("result: " + ("; ".join(f"{rule}: {what}" for rule, what
                                          in self.breaks) or "held"))
        return 1 if self.breaks else 0


def main(case_folder, run):
    """Runs the case; the process's exit status, which case.sh translates."""
    fleet = None
    try:
        fleet = Fleet(case_folder)
        run(fleet)
        status = fleet.finish()
    except CannotRun as failure:
        print(f"could not run: {failure}")
        if fleet is not None:
            fleet.note(f"could not run: {failure}")
        return COULD_NOT_RUN
    for rule, what in fleet.breaks[:5]:
        print(f"{rule}: {what}")
    print("broken" if status else "held")
    return BROKEN if status else HELD
