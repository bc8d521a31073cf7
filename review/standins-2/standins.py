"""Stand-ins for the cases of review/6 to review/10: the platform, discovery, feed servers and clients.

Only the Python standard library is used. Every address is a loopback address, every port a free one.
"""

import json
import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MAX_RUNTIME_S = 110
MS = 1_000_000


class CannotRun(Exception):
    """The case could not run: it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        with self.lock:
            line = f"{self.now():8.3f} {text}"
            self.file.write(line + "\n")
            print(line, flush=True)


class Case:
    """A run of a case: its record, its temporary folder and the processes that it has started."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.processes = []

    def end(self):
        for process in self.processes:
            try:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
            except OSError:
                pass
            process.wait()
        for name in os.listdir(self.temp):
            try:
                os.unlink(os.path.join(self.temp, name))
            except OSError:
                pass
        os.rmdir(self.temp)


def run_case(folder, body):
    """Runs a case. `body(case)` returns the list of breaches of the rule. Exits with 0, 1 or 2."""
    case = Case(folder)
    status = 2

    def give_up(*_):
        case.record("result: could not run: the time is over")
        case.end()
        os._exit(2)

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    signal.alarm(MAX_RUNTIME_S)
    try:
        breaches = body(case)
        for breach in breaches:
            case.record(f"BREACH {breach}")
        status = 1 if breaches else 0
        case.record(f"result: {'the rule was broken' if breaches else 'the rule held'}, trouble={case.trouble}")
    except CannotRun as error:
        case.record(f"result: could not run: {error}")
    except Exception as error:  # the rig failed, not the rule
        case.record(f"result: could not run: {type(error).__name__}: {error}")
    finally:
        signal.alarm(0)
        case.end()
    sys.stdout.flush()
    os._exit(status)


def run_command():
    """The `run` line of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        match = re.search(r'^run\s*=\s*"([^"]*)"', file.read(), re.M)
    if match is None:
        raise CannotRun("deploy/balancer.toml has no run line")
    return match.group(1)


def listener(backlog=128):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    return sock


def port_of(sock):
    return sock.getsockname()[1]


def free_port():
    sock = listener()
    port = port_of(sock)
    sock.close()
    return port


def wait_for(what, condition, timeout):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.01)
    raise CannotRun(f"{what} did not happen within {timeout} s")


def profile(name, effect="read_like", deadline_ms=1200, scope="all", window_ms=5000):
    return {
        "Name": name, "Effect": effect, "DedupScope": scope, "Stream": True, "Worth": 2.0, "LateShare": 0.0,
        "ObjectiveNs": 300 * MS, "HardLimitNs": deadline_ms * MS, "WindowNs": window_ms * MS,
    }


def settings(profiles, zones=("hall-a", "hall-b", "hall-c"), connections=156.0, **limits):
    """Settings of a small deployment that asks discovery. `connections` is what the shares of all tenants allow."""
    return {
        "Instances": 3, "Me": 0, "Zone": 0, "Zones": list(zones), "Discovery": "ask", "Family": "conn",
        "FamilyInfo": {"Mode": "proxy", "Groups": True, "MessageAimNs": [100 * MS] * len(profiles),
                       "TenantQuotaConnections": [connections]},
        "Feedback": {"Fields": [], "Source": "off"},
        "Limits": {"MaxAttempts": 3, "MayCancel": True, "RetryAfter": True, "MaxRetryAfterNs": 600 * MS,
                   "DialTimeoutNs": 250 * MS, "Probes": False, "Peers": False, "SecondCopies": False, **limits},
        "Parties": [{"Name": "acme", "QuotaPerS": 7.0, "Share": 1.0}],
        "Profiles": profiles, "WeightSource": "rough", "WorthBy": "request",
        "Rules": {"AnswerSlackNs": 20 * MS, "AskWithinNs": 10_000 * MS, "ColdFrom": 0.12, "ColdNs": 23_000 * MS,
                  "FallMultiple": 3.0, "StopSendingWithinNs": 250 * MS, "TipAfterNs": 2_000 * MS},
    }


class Discovery:
    """Discovery as the protocol page describes it: the whole list, and watches on its changes."""

    def __init__(self, record):
        self.record = record
        self.sock = listener()
        self.port = port_of(self.sock)
        self.lock = threading.Condition()
        self.generation = 1
        self.entries = {}
        self.changes = []
        threading.Thread(target=self.accept, daemon=True).start()

    def add(self, name, port, zone="hall-a", cell=0, lifecycle="ready"):
        entry = {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": zone, "machineType": "m1",
                 "cell": cell, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0}
        with self.lock:
            self.generation += 1
            self.entries[name] = entry
            self.changes.append((self.generation, entry))
            self.lock.notify_all()

    def document(self):
        return {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}

    def accept(self):
        while True:
            conn, _ = self.sock.accept()
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        try:
            request = b""
            while b"\r\n\r\n" not in request:
                data = conn.recv(4096)
                if not data:
                    return
                request += data
            match = re.search(rb"watch=1&from=(\d+)", request)
            if match is None:
                body = json.dumps(self.document()).encode()
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            with self.lock:
                known, first = self.generation, json.dumps(self.document()).encode() + b"\n"
            self.chunk(conn, first)
            while True:
                with self.lock:
                    self.lock.wait(2.0)
                    changed = [entry for generation, entry in self.changes if generation > known]
                    known = self.generation
                text = b"\r\n"
                if changed:
                    text = json.dumps({"generation": known, "reset": False, "instances": changed}).encode() + b"\n"
                self.chunk(conn, text)
        except OSError:
            pass
        finally:
            conn.close()

    def chunk(self, conn, text):
        conn.sendall(b"%x\r\n" % len(text) + text + b"\r\n")


class Node:
    """One process of the project's program, started by the deploy file's `run` line."""

    def __init__(self, case, name, discovery_port, settings_document, known, amqp=None, operator=None,
                 listen=None, passed=None, memory_mb=192, sockets=1024, options=""):
        self.case = case
        self.listen = listen or free_port()
        config = {
            "name": "n1", "listen": f"127.0.0.1:{self.listen}", "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "7", "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known, "settings": settings_document,
        }
        if operator:
            config["operator"] = f"127.0.0.1:{operator}"
        path = os.path.join(case.temp, f"{name}.json")
        with open(path, "w") as file:
            json.dump(config, file)
        environment = dict(os.environ, NODE_CONFIG=path, TMPDIR=case.temp)
        for variable in ("NODE_NAME", "NODE_LISTEN", "NODE_OPERATOR", "NODE_DISCOVERY", "NODE_PASSED_SOCKET"):
            environment.pop(variable, None)
        command = run_command() + options
        self.amqp_port = None
        if amqp is not None:
            self.amqp_port = free_port()
            amqp_path = os.path.join(case.temp, f"{name}-amqp.json")
            with open(amqp_path, "w") as file:
                json.dump({"listen": f"127.0.0.1:{self.amqp_port}", **amqp}, file)
            command += f" --amqp {amqp_path}"
        prepare = None
        if passed is not None:
            environment["NODE_PASSED_SOCKET"] = "3"
            fd = passed.fileno()

            def prepare():
                os.dup2(fd, 3, inheritable=True)

        self.log_path = os.path.join(case.temp, f"{name}.log")
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, preexec_fn=prepare, pass_fds=(3,) if passed is not None else (), start_new_session=True)
        case.processes.append(self.process)
        case.record(f"{name}: started, pid {self.process.pid}: {command.replace(case.temp, 'TMP')}")

    def log(self):
        with open(self.log_path, errors="replace") as file:
            return file.read()

    def wait_ready(self):
        """As the front does: `PING` is answered `PONG`."""
        def is_ready():
            if self.process.poll() is not None:
                raise CannotRun(f"the node has ended: {self.log()[-400:]}")
            try:
                with socket.create_connection(("127.0.0.1", self.listen), 1) as sock:
                    sock.settimeout(1)
                    sock.sendall(b"PING\r\n")
                    return sock.recv(64) == b"PONG\r\n"
            except OSError:
                return False
        wait_for("PONG", is_ready, 30)

    def signal(self, number):
        os.kill(self.process.pid, number)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                return int(re.search(r"VmRSS:\s+(\d+) kB", file.read()).group(1)) / 1024
        except (OSError, AttributeError):
            return 0.0


def call(port, method, path, timeout=2.0):
    """One call to the operators' address. Returns the status code, or 0 if there was no answer."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout) as sock:
            sock.settimeout(timeout)
            sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n".encode())
            data = b""
            while b"\r\n" not in data:
                part = sock.recv(4096)
                if not part:
                    return 0
                data += part
            return int(data.split()[1])
    except (OSError, ValueError, IndexError):
        return 0


class TextServer:
    """A feed server of the text protocol. `answer(server, line, conn)` may return the first answer of a request."""

    def __init__(self, case, name, answer=None):
        self.case, self.name, self.answer = case, name, answer
        self.sock = listener()
        self.port = port_of(self.sock)
        self.opened = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            conn, _ = self.sock.accept()
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        reader = conn.makefile("rb")
        try:
            line = reader.readline()
            if not line.endswith(b"\r\n"):
                return
            text = line.decode().strip()
            self.opened.append((time.monotonic(), text))
            self.case.record(f"{self.name}: got {text}")
            answer = self.answer(self, text, conn) if self.answer else "UP r1"
            if answer is None:
                while reader.readline():
                    pass
                self.case.record(f"{self.name}: the node ended the attempt")
                return
            conn.sendall(answer.encode() + b"\r\n")
            self.case.record(f"{self.name}: answered {answer}")
            if not answer.startswith("UP"):
                return
            for line in reader:
                conn.sendall(line)
        except OSError:
            pass
        finally:
            conn.close()


# AMQP 1.0, as far as the stand-ins need it.

class Symbol(str):
    pass


class Uint(int):
    pass


class Ubyte(int):
    pass


class Ulong(int):
    pass


class Ushort(int):
    pass


class Described:
    def __init__(self, code, value):
        self.code, self.value = code, value

    def __repr__(self):
        return f"{self.code:#x}{self.value!r}"


def encode(value):
    if value is None:
        return b"\x40"
    if value is True:
        return b"\x41"
    if value is False:
        return b"\x42"
    if isinstance(value, Described):
        return b"\x00" + b"\x53" + bytes([value.code]) + encode(value.value)
    if isinstance(value, Ubyte):
        return b"\x50" + bytes([value])
    if isinstance(value, Ushort):
        return b"\x60" + struct.pack(">H", value)
    if isinstance(value, Ulong):
        return b"\x80" + struct.pack(">Q", value)
    if isinstance(value, int):
        return b"\x70" + struct.pack(">I", value)
    if isinstance(value, Symbol):
        return b"\xb3" + struct.pack(">I", len(value)) + value.encode()
    if isinstance(value, str):
        data = value.encode()
        return b"\xb1" + struct.pack(">I", len(data)) + data
    if isinstance(value, bytes):
        return b"\xb0" + struct.pack(">I", len(value)) + value
    if isinstance(value, list):
        body = b"".join(map(encode, value))
        return b"\xd0" + struct.pack(">II", len(body) + 4, len(value)) + body
    if isinstance(value, dict):
        body = b"".join(encode(key) + encode(item) for key, item in value.items())
        return b"\xd1" + struct.pack(">II", len(body) + 4, 2 * len(value)) + body
    raise TypeError(type(value))


FIXED = {0x50: "B", 0x51: "b", 0x52: "B", 0x53: "B", 0x54: "b", 0x55: "b", 0x56: "?", 0x60: ">H", 0x61: ">h",
         0x70: ">I", 0x71: ">i", 0x72: ">f", 0x80: ">Q", 0x81: ">q", 0x82: ">d", 0x83: ">q"}


def decode(data, at=0):
    """Decodes a value. Returns it and the position after it."""
    code = data[at]
    at += 1
    if code == 0x00:
        descriptor, at = decode(data, at)
        value, at = decode(data, at)
        return Described(descriptor, value), at
    if code in (0x40, 0x41, 0x42, 0x43, 0x44, 0x45):
        return {0x40: None, 0x41: True, 0x42: False, 0x43: 0, 0x44: 0, 0x45: []}[code], at
    if code in FIXED:
        size = struct.calcsize(FIXED[code])
        return struct.unpack(FIXED[code], data[at:at + size])[0], at + size
    if code == 0x98:
        return data[at:at + 16], at + 16
    if code in (0xa0, 0xa1, 0xa3, 0xb0, 0xb1, 0xb3):
        if code < 0xb0:
            size, at = data[at], at + 1
        else:
            size, at = struct.unpack(">I", data[at:at + 4])[0], at + 4
        raw = data[at:at + size]
        kind = code & 0x0f
        return (raw if kind == 0 else raw.decode() if kind == 1 else Symbol(raw.decode())), at + size
    if code in (0xc0, 0xc1, 0xd0, 0xd1):
        if code < 0xd0:
            size, count = data[at], data[at + 1]
            end, at = at + 1 + size, at + 2
        else:
            size, count = struct.unpack(">II", data[at:at + 8])
            end, at = at + 4 + size, at + 8
        items = []
        for _ in range(count):
            item, at = decode(data, at)
            items.append(item)
        if code & 0x0f:
            return dict(zip(items[::2], items[1::2])), end
        return items, end
    raise ValueError(f"format code {code:#x}")


OPEN, BEGIN, ATTACH, FLOW, TRANSFER, DISPOSITION, DETACH, END, CLOSE = range(0x10, 0x19)
NAMES = {OPEN: "open", BEGIN: "begin", ATTACH: "attach", FLOW: "flow", TRANSFER: "transfer",
         DISPOSITION: "disposition", DETACH: "detach", END: "end", CLOSE: "close"}
ACCEPTED, REJECTED, RELEASED, MODIFIED = 0x24, 0x25, 0x26, 0x27
HEADER = b"AMQP\x00\x01\x00\x00"
SASL_HEADER = b"AMQP\x03\x01\x00\x00"


def accepted():
    return Described(ACCEPTED, [])


def source(address=None):
    return Described(0x28, [address])


def target(address=None, timeout=None):
    return Described(0x29, [address, None, None, None if timeout is None else Uint(timeout)])


def message(body, ttl_ms=None, **properties):
    """A message with its header, its application properties, and one data section."""
    out = b""
    if ttl_ms is not None:
        out += encode(Described(0x70, [None, None, Uint(ttl_ms)]))
    if properties:
        out += encode(Described(0x74, properties))
    return out + encode(Described(0x75, body))


def field(fields, index, default=None):
    return fields[index] if index < len(fields) and fields[index] is not None else default


class Frame:
    def __init__(self, channel, code, fields, payload):
        self.channel, self.code, self.fields, self.payload = channel, code, fields, payload

    def get(self, index, default=None):
        return field(self.fields, index, default)

    def __repr__(self):
        return f"{NAMES.get(self.code, hex(self.code))} {self.fields}"


class AmqpConnection:
    """One end of an AMQP connection, on a blocking socket. Writing is guarded by a lock, reading is not."""

    def __init__(self, sock):
        self.sock = sock
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lock = threading.Lock()
        self.buffer = b""
        self.gate = None

    def send_raw(self, data):
        with self.lock:
            self.sock.sendall(data)

    def send(self, code, fields, payload=b"", channel=0, kind=0):
        body = encode(Described(code, fields)) + payload
        self.send_raw(struct.pack(">IBBH", len(body) + 8, 2, kind, channel) + body)

    def heartbeat(self):
        self.send_raw(struct.pack(">IBBH", 8, 2, 0, 0))

    def take(self, count, timeout):
        end = time.monotonic() + timeout
        while len(self.buffer) < count:
            left = end - time.monotonic()
            if left <= 0:
                raise TimeoutError
            if not select.select([self.sock], [], [], min(left, 0.02 if self.gate else left))[0]:
                continue
            if self.gate and not self.gate.is_set():
                self.gate.wait()
                continue
            data = self.sock.recv(65536)
            if not data:
                raise ConnectionError("the peer has closed the connection")
            self.buffer += data
        taken, self.buffer = self.buffer[:count], self.buffer[count:]
        return taken

    def receive(self, timeout=5.0):
        """The next frame that is no heartbeat."""
        end = time.monotonic() + timeout
        while True:
            if len(self.buffer) < 8:
                head = self.take(8, max(0.0, end - time.monotonic()))
                self.buffer = head + self.buffer
            size, offset, _, channel = struct.unpack(">IBBH", self.buffer[:8])
            frame = self.take_frame(size, max(0.0, end - time.monotonic()))
            body = frame[offset * 4:]
            if body:
                described, at = decode(body)
                return Frame(channel, described.code, described.value, body[at:])

    def take_frame(self, size, timeout):
        saved = self.buffer
        try:
            return self.take(size, timeout)
        except TimeoutError:
            if len(self.buffer) < len(saved):
                self.buffer = saved
            raise

    def close(self):
        self.sock.close()


class AmqpClient(AmqpConnection):
    """A client's connection with one session. The frames that it receives are handled by the caller."""

    def __init__(self, port, container, window=2048, max_segment=None):
        sock = socket.socket()
        if max_segment:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, max_segment)
        sock.settimeout(5)
        sock.connect(("127.0.0.1", port))
        sock.settimeout(None)
        super().__init__(sock)
        self.send_raw(HEADER)
        self.send(OPEN, [container, None, Uint(65536), Ushort(15), Uint(60000)])
        self.send(BEGIN, [None, Uint(0), Uint(window), Uint(2048), Uint(255)])
        if self.take(8, 5) != HEADER:
            raise CannotRun("the node does not speak AMQP")
        self.expect(OPEN)
        self.expect(BEGIN)
        self.next_delivery = 0

    def expect(self, code, timeout=5.0):
        while True:
            frame = self.receive(timeout)
            if frame.code == code:
                return frame

    def attach_sender(self, name, address, handle=0, timeout=None, unsettled=None):
        self.send(ATTACH, [name, Uint(handle), False, Ubyte(0), Ubyte(0), source(), target(address, timeout),
                           unsettled, None, Uint(0)])

    def attach_receiver(self, name, address, handle=0, settled=False, properties=None):
        self.send(ATTACH, [name, Uint(handle), True, Ubyte(1 if settled else 0), Ubyte(0), source(address), target(),
                           None, None, None, None, None, None, properties])

    def grant(self, handle, credit, next_incoming=0, window=2048, delivery_count=0):
        self.send(FLOW, [Uint(next_incoming), Uint(window), Uint(0), Uint(2048), Uint(handle), Uint(delivery_count),
                         Uint(credit)])

    def transfer(self, tag, payload, handle=0, settled=False, resume=False):
        """Sends a delivery, in frames of the node's size."""
        number = self.next_delivery
        self.next_delivery += 1
        rest, first = payload, True
        while rest or first:
            part, rest = rest[:16000], rest[16000:]
            self.send(TRANSFER, [Uint(handle), Uint(number), tag, Uint(0), settled, bool(rest), None, None, resume], part)
            first = False
        return number


class AmqpServer:
    """A feed server that speaks AMQP. The handlers run on the thread of the connection that got the frame:
    `on_delivery(link, delivery)` for a message, `on_receiver(link)` for a node's receiving link."""

    def __init__(self, case, name, on_delivery=None, on_receiver=None, before_answer=None, receive_buffer=None,
                 beat_ms=1000, credit=100, limits=(15, 255), max_segment=None):
        self.case, self.name = case, name
        self.on_delivery, self.on_receiver, self.before_answer = on_delivery, on_receiver, before_answer
        self.beat_ms, self.credit = beat_ms, credit
        self.channel_max, self.handle_max = limits
        self.sock = listener()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        if max_segment:
            # The segments of an Ethernet. Those of the loopback interface are 45 times as long, and let the kernel
            # buffer some megabytes from the start, as it does on no real network.
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, max_segment)
        self.port = port_of(self.sock)
        self.connections = []
        self.running = threading.Event()
        self.running.set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            sock, _ = self.sock.accept()
            connection = AmqpServerConnection(self, sock)
            self.connections.append(connection)
            threading.Thread(target=connection.serve, daemon=True).start()


class ServerLink:
    def __init__(self, connection, channel, handle, frame):
        self.connection, self.channel, self.handle = connection, channel, handle
        self.name = frame.get(0)
        self.node_receives = frame.get(2, False)
        self.snd_settle_mode = frame.get(3, 2)
        self.frame = frame
        self.credit = 0
        self.sent = 0
        self.credit_changed = threading.Event()
        self.ended = False

    def send_message(self, payload, settled=True, max_frame=16384):
        """Sends a message to the node, in frames of the node's size."""
        self.sent += 1
        number = self.connection.next_delivery_id()
        rest, first = payload, True
        while rest or first:
            part, rest = rest[:max_frame - 256], rest[max_frame - 256:]
            self.connection.take_window()
            fields = [Uint(self.handle), Uint(number), b"%d" % number, Uint(0), settled, bool(rest)]
            self.connection.send(TRANSFER, fields, part, self.channel)
            first = False

    def detach(self, error=None):
        self.ended = True
        fields = [Uint(self.handle), True]
        if error:
            fields.append(Described(0x1d, [Symbol(error), "the server ends the link"]))
        self.connection.send(DETACH, fields, channel=self.channel)

    def settle(self, delivery_id, state):
        fields = [True, Uint(delivery_id), None, True, state]
        self.connection.send(DISPOSITION, fields, channel=self.channel)


class AmqpServerConnection(AmqpConnection):
    def __init__(self, server, sock):
        super().__init__(sock)
        self.gate = server.running
        self.server = server
        self.links = {}
        self.partial = {}
        self.window = 0
        self.window_changed = threading.Condition()
        self.received = 0
        self.next_out = 0
        self.deliveries = 0

    def next_delivery_id(self):
        with self.window_changed:
            self.deliveries += 1
            return self.deliveries

    def take_window(self):
        with self.window_changed:
            if not self.window_changed.wait_for(lambda: self.window > 0, 30):
                raise ConnectionError("no session window")
            self.window -= 1
            self.next_out += 1

    def serve(self):
        record, name = self.server.case.record, self.server.name
        try:
            self.handshake()
            threading.Thread(target=self.beat, daemon=True).start()
            while True:
                self.server.running.wait()
                frame = self.receive(60)
                self.server.running.wait()
                self.handle(frame)
        except (OSError, TimeoutError, ConnectionError) as error:
            record(f"{name}: connection ended: {error}")
        finally:
            self.sock.close()

    def beat(self):
        try:
            while True:
                time.sleep(self.server.beat_ms / 1000)
                self.server.running.wait()
                self.heartbeat()
        except OSError:
            pass

    def handshake(self):
        header = self.take(8, 30)
        if header == SASL_HEADER:
            self.send_raw(SASL_HEADER)
            self.send(0x40, [Symbol("ANONYMOUS")], kind=1)
            self.receive(30)
            self.send(0x44, [Ubyte(0)], kind=1)
            header = self.take(8, 30)
        if header != HEADER:
            raise ConnectionError("no AMQP")
        self.send_raw(HEADER)

    def handle(self, frame):
        server = self.server
        if server.before_answer:
            server.before_answer(self, frame)
        if frame.code == OPEN:
            self.send(OPEN, [server.name, None, Uint(65536), Ushort(server.channel_max), Uint(60000)])
        elif frame.code == BEGIN:
            self.window = frame.get(2, 0)
            self.send(BEGIN, [Ushort(frame.channel), Uint(0), Uint(2048), Uint(2048), Uint(server.handle_max)],
                      channel=frame.channel)
        elif frame.code == ATTACH:
            self.on_attach(frame)
        elif frame.code == FLOW:
            self.on_flow(frame)
        elif frame.code == TRANSFER:
            self.on_transfer(frame)
        elif frame.code == DETACH:
            link = self.links.pop((frame.channel, frame.get(0)), None)
            if link and not link.ended:
                link.ended = True
                self.send(DETACH, [Uint(link.handle), frame.get(1, False)], channel=frame.channel)
        elif frame.code == CLOSE:
            self.send(CLOSE, [])
            raise ConnectionError("the node has closed it")

    def on_attach(self, frame):
        link = ServerLink(self, frame.channel, frame.get(1), frame)
        self.links[(frame.channel, link.handle)] = link
        if link.node_receives:
            if self.server.on_receiver:
                threading.Thread(target=self.run, args=(self.server.on_receiver, link), daemon=True).start()
            return
        self.accept(link)
        self.grant(link)

    def run(self, handler, link):
        try:
            handler(link)
        except (OSError, ConnectionError) as error:
            self.server.case.record(f"{self.server.name}: link {link.name} ended: {error}")

    def accept(self, link):
        """Answers the node's attach."""
        fields = link.frame.fields
        mode = Ubyte(link.snd_settle_mode)
        role = not link.node_receives
        answer = [link.name, Uint(link.handle), role, mode, Ubyte(0), field(fields, 5), field(fields, 6)]
        if not role:
            answer += [None, None, Uint(0)]
        self.send(ATTACH, answer, channel=link.channel)

    def grant(self, link):
        link.credit = self.server.credit
        link.sent = getattr(link, "sent", 0)
        self.send(FLOW, [Uint(self.received), Uint(2048), Uint(0), Uint(2048), Uint(link.handle), Uint(link.sent),
                         Uint(link.credit)], channel=link.channel)

    def on_flow(self, frame):
        with self.window_changed:
            next_incoming = frame.get(0)
            window = frame.get(1, 0)
            self.window = window if next_incoming is None else next_incoming + window - self.next_out
            self.window_changed.notify_all()
        link = self.links.get((frame.channel, frame.get(4)))
        if link and link.node_receives:
            link.credit = frame.get(5, 0) + frame.get(6, 0)
            link.credit_changed.set()

    def on_transfer(self, frame):
        self.received += 1
        key = (frame.channel, frame.get(0))
        link = self.links.get(key)
        if link is None:
            return
        delivery_id, parts = self.partial.pop(key, (None, []))
        delivery_id = frame.get(1, delivery_id)
        parts.append(frame.payload)
        if frame.get(9, False):
            return
        if frame.get(5, False):
            self.partial[key] = (delivery_id, parts)
        else:
            payload = b"".join(parts)
            link.sent += 1
            link.credit -= 1
            if link.credit <= self.server.credit // 2:
                self.grant(link)
            self.server.on_delivery(link, delivery_id, payload)
        if self.received % 512 == 0:
            self.grant(link)


def parse_message(payload):
    """The application properties and the body of a message."""
    at, properties, body = 0, {}, b""
    while at < len(payload):
        section, at = decode(payload, at)
        if section.code == 0x74:
            properties = section.value
        elif section.code == 0x75:
            body += section.value
    return properties, body
