"""Stand-ins for the platform's store, servers and requesters, and a starter of the project's own
programs, for the scripts of the review. Only Python's standard library; loopback only."""

import json
import os
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
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "mastweird")
HOST = "site.example"
KEY = "key-of-north"
START = time.monotonic()
# Exit codes of a case, none of which Python itself uses; `run.sh` turns them into 0, 1 and 2.
HELD, BROKEN, COULD_NOT_RUN = 40, 41, 42


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - START:8.3f} {text}\n")
            self.file.flush()


def read_head(stream):
    """Reads an HTTP head. Returns the first line and the headers, or None at the end."""
    first = stream.readline(65536)
    while first in (b"\r\n", b"\n"):
        first = stream.readline(65536)
    if not first.endswith(b"\n"):
        return None
    headers = {}
    while True:
        line = stream.readline(65536)
        if not line.endswith(b"\n"):
            return None
        line = line.strip()
        if not line:
            return first.decode("latin-1").strip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_body(stream, headers):
    """Reads the body of a message that has a length or chunks. Returns None if it is cut."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = stream.readline(1024)
            if not size.endswith(b"\n"):
                return None
            size = int(size.split(b";")[0].strip() or b"0", 16)
            chunk = stream.read(size + 2)
            if len(chunk) < size + 2:
                return None
            if size == 0:
                return body
            body += chunk[:size]
    length = int(headers.get("content-length", "0"))
    body = stream.read(length)
    return body if len(body) == length else None


class Listener:
    """Accepts connections at an address and serves each on a thread."""

    def __init__(self, ip, port=0):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((ip, port))
        self.socket.listen(512)
        self.address = self.socket.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def text(self):
        return f"{self.address[0]}:{self.address[1]}"

    def _accept(self):
        while True:
            try:
                connection, peer = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(connection, peer), daemon=True).start()

    def _run(self, connection, peer):
        try:
            self.serve(connection, peer)
        except (OSError, ValueError):
            pass
        finally:
            try:
                connection.close()
            except OSError:
                pass

    def serve(self, connection, peer):
        raise NotImplementedError


class Store(Listener):
    """The platform's store: objects by kind and name, lists, watches, conditional writes."""

    def __init__(self, ip):
        self.objects = {}
        self.events = []
        self.revision = 100
        self.changed = threading.Condition()
        super().__init__(ip)

    def put(self, kind, name, spec):
        """Writes an object as the operator or a server does."""
        with self.changed:
            self.revision += 1
            old = self.objects.get((kind, name), {})
            obj = {
                "metadata": {"name": name, "revision": self.revision,
                             "created": old.get("metadata", {}).get("created", self.revision),
                             "finalizers": [], "deleting": False},
                "spec": spec, "status": old.get("status", {}),
            }
            self.objects[(kind, name)] = obj
            self.events.append((self.revision, kind, {"object": obj, "deleted": False}))
            self.changed.notify_all()
            return obj

    def delete(self, kind, name):
        with self.changed:
            old = self.objects.pop((kind, name), None)
            if old is not None:
                self.revision += 1
                self.events.append((self.revision, kind, {"object": old, "deleted": True}))
                self.changed.notify_all()

    def serve(self, connection, peer):
        stream = connection.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            first, headers = head
            body = read_body(stream, headers)
            if body is None:
                return
            method, target, _ = first.split(" ", 2)
            status, answer = self.answer(method, target, body)
            data = json.dumps(answer).encode()
            connection.sendall(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode() + data)

    def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = [part for part in parts.path.split("/") if part]
        if len(path) < 2 or path[0] != "objects":
            return 404, {}
        kind, name = path[1], (path[2] if len(path) > 2 else None)
        if method == "GET" and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        with self.changed:
            if method == "GET" and name is None:
                after = query.get("after_rev", "")
                items = [obj for (of, key), obj in sorted(self.objects.items())
                         if of == kind and key > after]
                return 200, {"items": items, "has_more": False, "timestamp": self.revision}
            if method == "GET":
                obj = self.objects.get((kind, name))
                return (200, obj) if obj else (404, {})
            sent = json.loads(body) if body else {}
            meta = sent.get("metadata", {})
            name = name or meta.get("name")
            old = self.objects.get((kind, name))
            wanted = meta.get("revision", query.get("revision"))
            if method == "POST" and old is not None:
                return 409, old
            if method in ("PUT", "DELETE") and old is None:
                return 404, {}
            if wanted is not None and old and int(wanted) != old["metadata"]["revision"]:
                return 409, old
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        return 200, self.put(kind, name, sent.get("spec", {}))

    def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                events = [event for revision, of, event in self.events
                          if of == kind and revision > since]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "timestamp": self.revision}
                self.changed.wait(left)


class Door(Store):
    """An address of its own for a store, which may turn away who uses it."""

    def __init__(self, ip, store):
        Listener.__init__(self, ip)
        self.store = store
        self.is_shut = False
        self.asked = []

    def answer(self, method, target, body):
        self.asked.append(f"{method} {target}")
        answer = self.store.answer(method, target, body)
        while self.is_shut:
            time.sleep(0.05)
        return answer


class Server(Listener):
    """A server of a plain service. `plan(server, request)` returns (status, headers, body)."""

    def __init__(self, ip, record, name, plan, store=None, service="desk", zone="hall-a"):
        self.id = name
        self.record = record
        self.plan = plan
        self.service, self.zone = service, zone
        self.runs = []
        self.run_times = {}
        self.ended = False
        self.open = set()
        self.lock = threading.Lock()
        super().__init__(ip)
        if store is not None:
            self.list(store)

    def list(self, store, state="ready"):
        store.put("servers", self.id, {
            "service": self.service, "address": self.text, "zone": self.zone, "version": "v1",
            "slots": 12, "state": state, "warmup_left_ms": 0, "seq": 1})

    def crash(self):
        """Crashes: refuses connections, and resets those that are open."""
        self.ended = True
        # Wakes the thread that accepts, so that the port is closed at once.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        with self.lock:
            for connection in self.open:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
                connection.close()

    def serve(self, connection, peer):
        with self.lock:
            self.open.add(connection)
        try:
            self.serve_requests(connection)
        finally:
            with self.lock:
                self.open.discard(connection)

    def serve_requests(self, connection):
        stream = connection.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            first, headers = head
            body = read_body(stream, headers)
            if body is None:
                return
            method, path, _ = first.split(" ", 2)
            request_id = headers.get("request-id", "")
            if self.ended:
                return
            if path == "/healthz":
                connection.sendall(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n"
                                   f"Content-Length: 0\r\n\r\n".encode())
                continue
            expected = headers.get("expect-instance", self.id)
            if expected != self.id:
                self.record(f"{self.id} answers 421 to {request_id}")
                connection.sendall(f"HTTP/1.1 421 Misdirected\r\nRequest-Id: {request_id}\r\n"
                                   f"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                continue
            with self.lock:
                self.runs.append(request_id)
                self.run_times[request_id] = time.monotonic()
            self.record(f"{self.id} runs {request_id} ({method} {path}, {len(body)} bytes, "
                        f"deadline {headers.get('request-deadline')})")
            answer = self.plan(self, {"id": request_id, "method": method, "path": path,
                                      "headers": headers, "body": body,
                                      "connection": connection})
            if answer is None:
                return
            status, more, data = answer
            lines = [f"HTTP/1.1 {status} X", f"Request-Id: {request_id}",
                     f"Response-Signature: sig.{self.id}.{request_id}",
                     f"Content-Length: {len(data)}", *more]
            connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            self.record(f"{self.id} has answered {request_id}: {status}, {len(data)} bytes")


def route(prefix, kind, **more):
    """A route of the desired state."""
    return {"name": prefix, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 8000,
            "target_latency_ms": 300, "priority": 1, "service": "desk", "max_attempts": 2,
            "public": False, "stream_resume": False, "gap_aim_ms": 120, **more}


def config(version, routes, **more):
    """A desired state."""
    return {"version": version, "routes": routes,
            "services": [{"name": "desk", "health_path": "/healthz", "max_connections": 110}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "north", "api_keys": [KEY]}], **more}


class Site:
    """A small deployment on loopback: a store, and gateways of the project as processes."""

    def __init__(self, folder):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is missing; build it first")
        self.folder = tempfile.mkdtemp(prefix="mastweir-review-")
        self.case = folder
        self.processes = {}
        self.machines = {}
        self.ports = None
        self.seeds = (1, 2, 3)
        self._addresses()
        self.store = Store(self.ip(200))

    def _addresses(self):
        """Finds a block of loopback addresses on which the ports of all machines are free."""
        for _ in range(50):
            self.block = (random.randint(1, 254), random.randint(1, 254))
            try:
                self.ports = {name: self._free() for name in ("front", "ready", "control")}
                internal = self._free()
                self.ports["internal"] = internal
                with socket.socket() as probe:
                    probe.bind((self.ip(1), 9464))
                return
            except OSError:
                continue
        raise CannotRun("no loopback addresses are free")

    def _free(self):
        with socket.socket() as probe:
            probe.bind((self.ip(1), 0))
            return probe.getsockname()[1]

    def ip(self, number):
        return f"127.{self.block[0]}.{self.block[1]}.{number}"

    def settings(self, name, number, zone, role="gateway", app=None, store=None):
        ip = self.ip(number)
        seeds = ",".join(f'"{self.ip(n)}:{self.ports["control"]}"' for n in self.seeds)
        listen = (f'front = "{ip}:{self.ports["front"]}"\nready = "{ip}:{self.ports["ready"]}"\n'
                  f'control = "{ip}:{self.ports["control"]}"') if role == "gateway" else ""
        head = f'app = "{app}"\n' if app else ""
        machine, serves = ("front", '"front","control"') if role == "gateway" else ("side", '"side"')
        share, memory, files = (0.25, 260, 4100) if role == "gateway" else (0.15, 128, 2048)
        text = f"""node = "{name}"
role = "{role}"
machine_class = "{machine}"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "be-central"
internal_ports = [{self.ports['internal']},{self.ports['internal'] + 15}]
seeds = [{seeds}]
{head}bootstrap = true
counts_toward_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
[zones]
hall-a = "be-central"
hall-b = "be-central"
hall-c = "be-central"
[listen]
{listen}
[limits]
cpu_share = {share}
cores = 1
memory_mb = {memory}
max_fds = {files}
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 92
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
require_fencing = true
[platform]
address = "{store or self.store.text}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""
        path = os.path.join(self.folder, f"{name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start(self, name, number, zone="hall-a", role="gateway", **more):
        """Starts a program as the deploy file does."""
        path = self.settings(name, number, zone, role, **more)
        self.machines[name] = (number, zone, role, more)
        command = [PROGRAM, "gateway", "--metrics-port", "9464"]
        if role != "gateway":
            command = [PROGRAM, "sidecar"]
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "MASTWEIR_SETTINGS": path}
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        return self.processes[name]

    def front(self, name):
        return self.ip(self.machines[name][0]), self.ports["front"]

    def wait_ready(self, name, limit=20):
        address = (self.ip(self.machines[name][0]), self.ports["ready"])
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.processes[name].poll() is not None:
                raise CannotRun(f"{name} ended; see {self.folder}/{name}.log")
            try:
                with socket.create_connection(address, 1) as asked:
                    asked.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    if asked.recv(64).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun(f"{name} did not become ready")

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def end(self):
        """Ends all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a requester got: the status, the headers, the body and whether it is complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.error = 0, {}, b"", False, ""


def request_bytes(method, path, request_id, deadline_ms, body=b"", more=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}",
             f"Request-Deadline: {deadline_ms}", f"Authorization: Bearer {KEY}", *more]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stopped(_number, _frame):
    """The case takes too long, and is stopped."""
    raise CannotRun("stopped before its end")


def main(folder, case):
    """Runs `case(site, record, trouble)`, which returns whether the rule was broken."""
    folder = os.path.abspath(folder)
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")
    signal.signal(signal.SIGTERM, stopped)
    site, code = None, COULD_NOT_RUN
    try:
        site = Site(folder)
        broken = case(site, record, trouble)
    except CannotRun as error:
        record(f"could not run: {error}")
        print(f"could not run: {error}")
    else:
        code = BROKEN if broken else HELD
        record("the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
    finally:
        if site is not None:
            site.end()
    sys.stdout.flush()
    os._exit(code)
