"""Stand-ins for the platform, targets and clients, as the users' pages describe them.

A site lives on addresses of its own in 127.0.0.0/8, with a temporary folder for
settings, disks and logs. Only the Python standard library is used.
"""
import hashlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/bin/cardamomroute"
ROLES = {"frontend": "site-balancer", "side": "site-agent", "core": "site-control"}

SYN, ACK, FIN, RST, BOUNCED = 128, 4, 8, 2, 64
HEAD = struct.Struct("<HIBBIHIHIII")

# The bounds of the small deployments.
CONTACT_WINDOW_S = 4.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0

# In seconds; a script may run for 120.
LONGEST_RUN_S = 115


class CannotRun(Exception):
    """The case could not be set up."""


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


class Packet:
    def __init__(self, src, dst, flags, seq, ack=0, data=b"", pad=0, echo=0, total=None):
        self.src, self.dst, self.flags, self.seq, self.ack = src, dst, flags, seq, ack
        self.data, self.pad, self.echo, self.total = data, pad, echo, total

    def signed(self):
        self.total = self.sum_of()
        return self

    def sum_of(self):
        """The keyed sum over all fields but echo, pad and BOUNCED."""
        covered = repr((self.src, self.dst, self.flags & ~BOUNCED, self.seq, self.ack, self.data))
        digest = hashlib.blake2b(covered.encode(), key=b"stand-in", digest_size=4).digest()
        return struct.unpack("<I", digest)[0] or 1

    def is_genuine(self):
        return self.total == self.sum_of()

    def encode(self):
        return HEAD.pack(len(self.data), self.total, self.flags, self.pad, ip_number(self.dst[0]), self.dst[1],
                         ip_number(self.src[0]), self.src[1], self.seq, self.ack, self.echo) + self.data

    @staticmethod
    def decode(raw):
        (length, total, flags, pad, dst, dport, src, sport, seq, ack, echo) = HEAD.unpack(raw[:HEAD.size])
        return Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq, ack,
                      raw[HEAD.size:HEAD.size + length], pad, echo, total)


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.begun

    def note(self, what, **fields):
        line = f"{self.now():8.3f} {what} " + " ".join(f"{k}={v}" for k, v in fields.items())
        with self.lock:
            self.file.write(line.rstrip() + "\n")
            self.file.flush()
        return self.now()


class Node:
    def __init__(self, site, name, machine_class, ip, extra):
        self.site, self.name, self.machine_class, self.ip, self.extra = site, name, machine_class, ip, extra
        self.process = None
        self.starts = 0
        self.path = site.folder / f"{name}.toml"

    def at(self, port):
        return (self.ip, self.site.ports[port])

    def address(self, port):
        return "%s:%d" % self.at(port)

    def write_settings(self, seeds):
        lines = [f'node_name = "{self.name}"', f'role = "{self.machine_class}"',
                 f'machine_class = "{self.machine_class}"', f'ip = "{self.ip}"', 'zone = "z1"', 'region = "r1"',
                 f'serves = ["{"control_plane" if self.machine_class == "core" else self.machine_class}"]',
                 f'internal_ports = [{self.site.ports["inner"]},{self.site.ports["inner2"]}]',
                 "seeds = " + json.dumps(seeds), f'bootstrap = {"true" if self.is_first_start() else "false"}',
                 f'in_tolerance = {"true" if self.machine_class == "core" else "false"}',
                 'discovery = "local"', 'entry = "announcement"',
                 f"heartbeat_interval_ms = {self.site.beat_ms}",
                 'contracts = ["base","drain","config","cost","recover","flows"]', 'config_mode = "highest"',
                 'hash = "steady"', 'deployment_mode = "agent"']
        if self.machine_class == "core":
            lines.append(f'data_dir = "{self.disk()}"')
        if self.machine_class == "side":
            lines += [f'app = "{self.address("app")}"', f'service = "{self.extra["service"]}"']
        listens = {"frontend": ["packets", "readiness"], "core": ["control"],
                   "side": ["packets", "outbound", "readiness", "control"]}[self.machine_class]
        lines += ["[zones]", 'z1 = "r1"', "[listen_addresses]"]
        lines += [f'{port} = "{self.address(port)}"' for port in listens]
        lines += ["[limits]", "cpu_share = 1.0", "cores = 1", "memory_mb = 256", "max_fds = 4096",
                  "link_mbps = 1000.0", f"disk_mb = {128 if self.machine_class == 'core' else 0}",
                  "[fault_tolerance]", "machines = 1", "zones = 0", "regions = 0",
                  "[bounds]", "seed_lag_s = 3", "address_reuse_s = 2", "contact_window_ms = 4000",
                  "ack_timeout_ms = 5000", "catch_up_s = 4", "drain_ms = 3000", "grace_s = 6",
                  "loss_slack_ms = 200", "config_apply_ms = 3000", "downgrade_slack_ms = 250",
                  "max_stretch_ms = 12000", "recovery_s = 12", "flow_ms = 2000", "flow_ttl_s = 60"]
        self.path.write_text("\n".join(lines) + "\n")

    def is_first_start(self):
        """True only when the whole system starts for the first time, with empty disks."""
        return self.starts == 0 and self.extra.get("bootstrap", True)

    def disk(self):
        return self.site.folder / f"disk-{self.name}"

    def start(self):
        if self.machine_class == "core":
            self.disk().mkdir(exist_ok=True)
        self.write_settings(self.site.seeds())
        self.starts += 1
        log = open(self.site.folder / f"{self.name}.{self.starts}.log", "wb")
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = subprocess.Popen([str(ROOT / PROGRAM), ROLES[self.machine_class]], cwd=ROOT, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL,
                                        env={**kept, "CARDAMOMROUTE_NODE_FILE": str(self.path)})
        log.close()
        self.site.record.note("start", node=self.name, pid=self.process.pid)

    def send_signal(self, number):
        self.site.record.note("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def wait(self, seconds=6.0):
        self.process.wait(seconds)
        self.site.record.note("ended", node=self.name, status=self.process.returncode)

    def stop(self):
        """As the platform stops a process: SIGTERM, and SIGKILL after grace_s."""
        self.send_signal(signal.SIGTERM)
        try:
            self.wait(6.0)
        except subprocess.TimeoutExpired:
            self.kill()

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.wait()

    def is_alive(self):
        return self.process is not None and self.process.poll() is None


class Site:
    def __init__(self, record, cores=3, fronts=1, sides=(), beat_ms=1200):
        self.record, self.beat_ms = record, beat_ms
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.net = None
        self.nodes = []
        self.closers = []
        self._choose_addresses()
        self.cores = [self.add(f"core-{i + 1}", "core", 11 + i) for i in range(cores)]
        self.fronts = [self.add(f"frontend-{i + 1}", "frontend", 31 + i) for i in range(fronts)]
        self.sides = [self.add(f"side-{i + 1}", "side", 61 + i, service=service)
                      for i, service in enumerate(sides)]

    def _choose_addresses(self):
        draw = random.SystemRandom()
        names = ("control", "packets", "readiness", "outbound", "app", "inner", "inner2")
        for _ in range(50):
            net = f"127.{draw.randrange(20, 250)}.{draw.randrange(1, 250)}"
            base = draw.randrange(12000, 28000)
            ports = {name: base + i for i, name in enumerate(names)}
            try:
                for host in (11, 31, 61, 101):
                    for port in ports.values():
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{host}", port))
            except OSError:
                continue
            self.net, self.ports = net, ports
            return
        raise CannotRun("no free addresses")

    def add(self, name, machine_class, host, **extra):
        node = Node(self, name, machine_class, f"{self.net}.{host}", extra)
        self.nodes.append(node)
        return node

    def seeds(self):
        return [core.address("control") for core in self.cores[:3]]

    def start(self):
        for node in self.nodes:
            if node.process is None:
                node.start()

    def close(self):
        for closer in self.closers:
            closer()
        for node in self.nodes:
            if node.is_alive():
                try:
                    node.process.send_signal(signal.SIGCONT)
                except OSError:
                    pass
                node.process.kill()
                node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    def call(self, core, method, path, body=None, timeout=1.0):
        """Status and body, after at most two redirects; (None, b"") without an answer."""
        host, port = core.at("control")
        for _ in range(3):
            try:
                connection = http.client.HTTPConnection(host, port, timeout=timeout)
                connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
                answer = connection.getresponse()
                read = answer.read()
                connection.close()
            except (OSError, http.client.HTTPException):
                return None, b""
            if answer.status != 307:
                return answer.status, read
            host, port = answer.getheader("Location").split("/")[2].split(":")
            port = int(port)
        return None, b""

    def put(self, configuration, seconds=15.0):
        """Sends a configuration until it is acknowledged; when that was."""
        body = json.dumps(configuration, separators=(",", ":"))
        deadline = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < deadline:
            core = self.cores[turn % len(self.cores)]
            turn += 1
            status, _ = self.call(core, "POST", "/config/put", body)
            self.record.note("put", node=core.name, version=configuration["version"], status=status)
            if status == 200:
                return time.monotonic()
            if status is not None and 400 <= status < 500 and status not in (408, 429):
                raise CannotRun(f"configuration refused with {status}")
            time.sleep(0.1)
        raise CannotRun("configuration not acknowledged")

    def configuration(self, version, routes, services):
        listed = []
        for name, port, service in routes:
            listed.append({"name": name, "host": f"{self.net}.201", "path_prefix": f"/{port}/", "type": "unsafe",
                           "timeout_ms": 2500, "aim_ms": 250, "priority": 1, "service": service, "max_attempts": 2})
        return {"version": version, "routes": listed,
                "services": [{"name": name, "health_path": "/health", "max_connections": 2000, "protocol": "h1",
                              "tls": False} for name in services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}

    def wait_ready(self, front, seconds=15.0):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.is_ready(front):
                self.record.note("ready", node=front.name)
                return
            time.sleep(0.05)
        raise CannotRun(f"{front.name} is not ready")

    def is_ready(self, front):
        try:
            connection = http.client.HTTPConnection(*front.at("readiness"), timeout=0.5)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False


class Target:
    """One target beside a side node: packets, health check and heartbeats."""

    def __init__(self, site, side, name, slots=5, work_s=0.0, born_ms=None, beats=True):
        self.site, self.side, self.name = site, side, name
        self.record = site.record
        self.born_ms = born_ms if born_ms is not None else int(time.time() * 1000)
        self.slots = threading.Semaphore(slots)
        self.slot_count = slots
        self.work_s = work_s
        self.openings = []
        self.sequence = 0
        self.state = "ready"
        self.flows = {}
        self.runs = []
        self.lock = threading.Lock()
        self.is_over = False
        self.beats_paused = False
        self.acked = []
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind(side.at("app"))
        self.tcp = socket.socket()
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind(side.at("app"))
        self.tcp.listen(16)
        site.closers.append(self.crash)
        self.began = time.monotonic()
        self.record.note("target_start", target=name, node=side.name, born=self.born_ms)
        for run in (self._serve_packets, self._serve_health):
            threading.Thread(target=run, daemon=True).start()
        if beats:
            threading.Thread(target=self._beat_always, daemon=True).start()

    def crash(self):
        if not self.is_over:
            self.is_over = True
            self.record.note("target_end", target=self.name)
            for held in (self.udp, self.tcp):
                try:
                    held.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                held.close()

    def beat(self, **changes):
        self.sequence += 1
        body = {"service": self.side.extra["service"], "address": self.side.address("app"), "zone": "z1",
                "version": "v1", "slots": self.slot_count, "state": self.state, "warmup_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born_ms}
        body.update(changes)
        return self.send("heartbeat", body)

    def send(self, what, body=None):
        try:
            connection = http.client.HTTPConnection(*self.side.at("control"), timeout=1.0)
            connection.request("POST", f"/targets/{self.name}/{what}", json.dumps(body) if body else None,
                               {"Content-Type": "application/json"} if body else {})
            status = connection.getresponse().status
            connection.close()
        except (OSError, http.client.HTTPException):
            status = None
        fields = {"sequence": body["sequence"], "state": body["state"]} if body else {}
        self.record.note(what, target=self.name, status=status, **fields)
        if status == 200 and body:
            self.acked.append((time.monotonic(), body["state"], body["sequence"]))
        return status

    def pause_beats(self):
        self.beats_paused = True

    def _beat_always(self):
        due = self.began
        while not self.is_over:
            time.sleep(max(0.0, due - time.monotonic()))
            if self.is_over or self.beats_paused:
                return
            self.beat()
            due += self.site.beat_ms / 1000

    def _serve_health(self):
        while not self.is_over:
            try:
                connection, _ = self.tcp.accept()
            except OSError:
                return
            threading.Thread(target=self._answer_health, args=(connection,), daemon=True).start()

    def _answer_health(self, connection):
        try:
            connection.settimeout(2.0)
            if connection.recv(4096):
                status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                connection.sendall(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
        except OSError:
            pass
        finally:
            connection.close()

    def _serve_packets(self):
        while not self.is_over:
            try:
                raw, _ = self.udp.recvfrom(2048)
            except OSError:
                return
            if len(raw) >= HEAD.size:
                with self.lock:
                    self._take(Packet.decode(raw), raw)

    def _out(self, packet):
        try:
            self.udp.sendto(packet.encode(), self.side.at("outbound"))
        except OSError:
            pass

    def _bounce(self, raw):
        back = bytearray(raw)
        back[6] |= BOUNCED
        back[7] = 0
        self.udp.sendto(bytes(back), self.side.at("outbound"))

    def _take(self, packet, raw):
        key = (packet.src, packet.dst)
        if not packet.is_genuine():
            self.record.note("foreign_packet", target=self.name, src=packet.src)
            return
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = {"own": random.randrange(1 << 31), "next": packet.seq + 1, "open": False, "ended": False,
                        "input": b"", "came": time.monotonic()}
                self.flows[key] = flow
                self.openings.append((packet.src, packet.dst[1], packet.ack, time.monotonic()))
                self.record.note("opening", target=self.name, flow=f"{packet.src[0]}:{packet.src[1]}",
                                 route=packet.dst[1], copy=packet.ack)
            if not flow["open"]:
                self._out(Packet(packet.dst, packet.src, SYN | ACK, flow["own"], packet.seq + 1).signed())
            return
        if flow is None or (not flow["open"] and packet.ack != (flow["own"] + 1) & 0xFFFFFFFF):
            self.record.note("bounced", target=self.name, flow=f"{packet.src[0]}:{packet.src[1]}")
            self._bounce(raw)
            return
        if not flow["open"]:
            flow["open"] = True
            flow["sent"] = flow["own"] + 1
        if packet.flags & RST:
            flow["ended"] = True
            return
        if packet.data and packet.seq == flow["next"]:
            flow["next"] += len(packet.data)
            flow["input"] += packet.data
            self._run_requests(key, flow)
        elif packet.data:
            self._answer(key, flow, b"")
        if packet.flags & FIN:
            flow["ended"] = True
            self._answer(key, flow, b"", ACK | FIN)

    def _run_requests(self, key, flow):
        while b"\r\n\r\n" in flow["input"]:
            head, flow["input"] = flow["input"].split(b"\r\n\r\n", 1)
            request = head.decode().split("Request-Id: ")[1].split("\r\n")[0]
            if self.work_s > 0:
                flow["last"] = b""
                threading.Thread(target=self._work, args=(key, flow, request), daemon=True).start()
                self._answer(key, flow, b"")
            else:
                self._run(key, flow, request)

    def _work(self, key, flow, request):
        with self.slots:
            self.record.note("begun", target=self.name, request=request)
            time.sleep(self.work_s)
        with self.lock:
            self._run(key, flow, request)

    def _run(self, key, flow, request):
        self.runs.append((request, time.monotonic()))
        self.record.note("run", target=self.name, request=request)
        body = f"{request} by {self.name}".encode()
        flow["last"] = (f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.name}\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        self._answer(key, flow, flow["last"])

    def _answer(self, key, flow, data, flags=ACK):
        (src, dst) = key
        if not data and flow.get("last"):
            # The answer may have been lost: sent again.
            self._out(Packet(dst, src, ACK, flow["last_at"], flow["next"], flow["last"]).signed())
        self._out(Packet(dst, src, flags, flow["sent"], flow["next"], data).signed())
        if data:
            flow["last_at"] = flow["sent"]
            flow["sent"] += len(data)


class DelayedCall:
    """A call on a connection that a target has open, held up by the network until it is delivered.

    It arrives also after its sender has ended: the kernel goes on sending what was written.
    """

    def __init__(self, site, target):
        self.site, self.name = site, target.name
        self.connection = socket.create_connection(target.side.at("control"), timeout=1.0)
        self.request = b""
        site.closers.append(self.connection.close)

    def send(self, what):
        self.request = f"POST /targets/{self.name}/{what} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n".encode()
        self.site.record.note("sent", target=self.name, call=what)

    def deliver(self):
        self.connection.sendall(self.request)
        self.connection.shutdown(socket.SHUT_WR)
        try:
            status = self.connection.recv(64).split(b" ")[1].decode()
        except (OSError, IndexError):
            status = None
        self.site.record.note("delivered", target=self.name, request=self.request.split(b" ")[1].decode(), status=status)


class Flow:
    def __init__(self, port, route):
        self.port, self.route = port, route
        self.seq = random.randrange(1 << 30)
        self.ack = 0
        self.is_open = False
        self.was_reset = False
        self.reset_is_systems = False
        self.input = b""
        self.sent_at = {}
        self.changed = threading.Condition()


class Client:
    """One client's machine; its packets go to the balancer that `router` names."""

    def __init__(self, site, router, host=101):
        self.site, self.router, self.record = site, router, site.record
        self.ip = f"{site.net}.{host}"
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((self.ip, site.ports["packets"]))
        self.flows = {}
        self.next_port = 40000
        site.closers.append(self.udp.close)
        threading.Thread(target=self._listen, daemon=True).start()

    def _listen(self):
        while True:
            try:
                raw, _ = self.udp.recvfrom(2048)
            except OSError:
                return
            packet = Packet.decode(raw) if len(raw) >= HEAD.size else None
            flow = self.flows.get(packet.dst[1]) if packet else None
            if flow is not None:
                with flow.changed:
                    self._take(flow, packet)
                    flow.changed.notify_all()

    def _take(self, flow, packet):
        if packet.flags & RST:
            flow.was_reset = True
            flow.reset_is_systems = packet.total == 0
            self.record.note("reset", flow=f"{self.ip}:{flow.port}",
                             sender="system" if packet.total == 0 else "target")
        elif not packet.is_genuine():
            self.record.note("foreign_packet", client=self.ip)
        elif packet.flags & SYN:
            if not flow.is_open:
                flow.is_open = True
                flow.ack = packet.seq + 1
        elif packet.data:
            if packet.seq == flow.ack:
                flow.ack += len(packet.data)
                flow.input += packet.data
            self._send(flow, ACK, b"")

    def _send(self, flow, flags, data, copy=None):
        packet = Packet((self.ip, flow.port), (f"{self.site.net}.201", flow.route), flags, flow.seq,
                        flow.ack if copy is None else copy, data).signed()
        front = self.router()
        try:
            self.udp.sendto(packet.encode(), front.at("packets"))
        except OSError:
            pass

    def open(self, route):
        """A flow, or None where it did not open."""
        flow = Flow(self.next_port, route)
        self.next_port += 1
        self.flows[flow.port] = flow
        begun = time.monotonic()
        with flow.changed:
            for copy, due in ((0, 0.0), (1, 0.2), (2, 0.6)):
                flow.changed.wait_for(lambda: flow.is_open or flow.was_reset, max(0.0, begun + due - time.monotonic()))
                if flow.is_open or flow.was_reset:
                    break
                flow.sent_at[copy] = time.monotonic()
                self._send(flow, SYN, b"", copy)
            flow.changed.wait_for(lambda: flow.is_open or flow.was_reset, max(0.0, begun + 1.4 - time.monotonic()))
        self.record.note("open", flow=f"{self.ip}:{flow.port}", route=route,
                         outcome="opened" if flow.is_open else "reset" if flow.was_reset else "silence")
        if not flow.is_open:
            del self.flows[flow.port]
            return None
        flow.seq += 1
        return flow

    def request(self, flow, request, deadline_s=2.5):
        """'answered', 'reset' or 'silence'."""
        data = f"POST /offers HTTP/1.1\r\nHost: x\r\nRequest-Id: {request}\r\n\r\n".encode()
        deadline = time.monotonic() + deadline_s
        pause = 0.2
        self.record.note("request", request=request, flow=f"{self.ip}:{flow.port}")
        with flow.changed:
            flow.input = b""
            while time.monotonic() < deadline:
                self._send(flow, ACK, data)
                done = flow.changed.wait_for(
                    lambda: flow.was_reset or request.encode() + b" by " in flow.input,
                    min(pause, max(0.0, deadline - time.monotonic())))
                if done:
                    break
                pause = min(2 * pause, 1.6)
            if flow.was_reset:
                outcome = "reset"
            elif request.encode() + b" by " in flow.input:
                outcome = "answered"
                flow.seq += len(data)
            else:
                outcome = "silence"
        self.record.note("outcome", request=request, outcome=outcome)
        return outcome


def give_up():
    raise CannotRun("the case took too long")


def run_case(script, case, trouble):
    """Runs case(record, trouble), which returns True where the rule held."""
    record = Record(pathlib.Path(script).resolve().parent / "record.txt")
    record.note("begin", trouble=int(trouble))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    signal.signal(signal.SIGALRM, lambda *_: give_up())
    signal.alarm(LONGEST_RUN_S)
    if not (ROOT / PROGRAM).exists():
        record.note("cannot_run", reason="the build of the deploy file is missing")
        return 2
    try:
        held = case(record, trouble)
    except CannotRun as reason:
        record.note("cannot_run", reason=reason)
        return 2
    except Exception:
        # An error of the stand-ins says nothing about the rule.
        record.note("cannot_run", reason=repr(traceback.format_exc()))
        return 2
    record.note("end", rule="held" if held else "broken")
    print("rule held" if held else "rule broken")
    return 0 if held else 1
