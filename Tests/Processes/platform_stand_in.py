"""Small stand-ins of the users' platform for the process tests: its store, targets with faults, a caller."""
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import threading
import time
import urllib.parse

BUILD = pathlib.Path(os.environ.get("POMELOSPREAD_BUILD", pathlib.Path(__file__).resolve().parents[2] / "build"))
START_LIMIT_S = 20


def read_message(stream):
    """The first line, the fields in lower case and the body of one HTTP message, or None at the end."""
    first = stream.readline()
    if not first:
        return None
    fields = {}
    while True:
        line = stream.readline().strip()
        if not line:
            break
        name, _, value = line.partition(b":")
        fields[name.decode().lower()] = value.strip().decode()
    body = stream.read(int(fields.get("content-length", 0)))
    return first.decode().split(), fields, body


class Server:
    """Accepts on loopback; a thread for each connection."""

    def __init__(self, address="127.0.0.1"):
        self.listener = socket.create_server((address, 0))
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve_quietly, args=(connection,), daemon=True).start()

    def serve_quietly(self, connection):
        try:
            with connection, connection.makefile("rb") as stream:
                self.serve(connection, stream)
        except OSError:
            pass  # The other end closed, which the tests do on purpose.

    def close(self):
        self.listener.close()


class Store(Server):
    """Rows with one version counter; enough of the platform's store for one table scan and one feed."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}
        self.version = 0
        self.down = False
        self.oddity = {}  # Fields of a wrong type in every answer and row.
        self.lose = ""  # Answers to calls with this in their target are lost after the call ran.
        self.late_s = 0  # Answers come this much later.
        self.history_from = 0  # Feeds from before this version are answered 410.
        self.feeds = 0
        self.calls = 0
        super().__init__()

    def put(self, table, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.put_encoded(table, key, base64.b64encode(raw).decode())

    def put_encoded(self, table, key, value):
        with self.lock:
            self.version += 1
            self.rows[table, key] = {"table": table, "part": "", "key": key, "value": value, "ver": self.version}
            self.lock.notify_all()

    def remove(self, table, key):
        with self.lock:
            self.version += 1
            self.rows.pop((table, key), None)
            self.lock.notify_all()

    def of_table(self, table, after=0):
        return [row | self.oddity for (name, _), row in sorted(self.rows.items()) if name == table and row["ver"] > after]

    def answer(self, verb, target, body):
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        with self.lock:
            self.calls += 1
            if self.down:
                return 503, {}
            if path.endswith("rows-tx"):
                for row in json.loads(body)["puts"]:
                    self.put_encoded(row["table"], row["key"], row["value"])
                for row in json.loads(body)["remove"]:
                    self.remove(row["table"], row["key"])
                return 200, {"ver": self.version, "now_s": 1.0}
            if path.endswith("rows-feed"):
                self.feeds += 1
                after = int(asked["after"])
                if after < self.history_from:
                    return 410, {}
                self.lock.wait_for(lambda: self.down or self.of_table(asked["table"], after),
                                   int(asked["wait_ms"]) / 1000)
                rows = self.of_table(asked["table"], after)
                return (503, {}) if self.down else (200, {"rows": rows, "ver": self.version, "now_s": 1.0})
            if path.endswith("rows-get"):
                return 200, {"rows": self.of_table(asked["table"]), "truncated": False, "ver": self.version,
                             "now_s": 1.0} | self.oddity
            return 200, {}

    def serve(self, connection, stream):
        while message := read_message(stream):
            (verb, target, _), _, body = message
            status, document = self.answer(verb, target, body)
            if self.lose and self.lose in target:
                return
            time.sleep(self.late_s)
            text = json.dumps(document).encode()
            connection.sendall(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)

    def drop_history(self):
        """Forgets what happened so far: every wait for changes ends in 410."""
        with self.lock:
            self.version += 1
            self.history_from = self.version

    def stop_answering(self):
        with self.lock:
            self.down = True
            self.lock.notify_all()


class Target(Server):
    """Runs requests; the last part of the path names how it behaves."""

    def __init__(self, name, faulty=True):
        self.name = name
        self.faulty = faulty
        self.ran = []
        self.seen = []
        self.cut = []
        super().__init__()

    def respond(self, connection, request_id, status="200 OK", extra="", body=None):
        body = body or f"{self.name} {request_id}".encode()
        connection.sendall((f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nServer-Signature: s.{self.name}\r\n"
                            f"Backend-Load: 0,0,6,100\r\n{extra}Content-Length: {len(body)}\r\n\r\n").encode() + body)

    def serve(self, connection, stream):
        while message := read_message(stream):
            (verb, path, _), fields, body = message
            if path == "/health":
                connection.sendall(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\nBackend-Load: 0,0,6,100\r\n"
                                   "Content-Length: 0\r\n\r\n".encode())
                continue
            request_id = fields["request-id"]
            self.seen.append((request_id, time.monotonic()))
            if fields["expect-instance"] != self.name:
                connection.sendall(b"HTTP/1.1 421 M\r\nInstance-Id: x\r\nContent-Length: 0\r\n\r\n")
                continue
            behaviour = path.rsplit("/", 1)[1] if self.faulty else "plain"
            if behaviour == "shed":
                self.respond(connection, request_id, "503 Full", "Not-Executed: 1\r\n")
                continue
            self.ran.append(request_id)
            if behaviour == "die":
                return
            if behaviour == "cut":
                connection.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: s\r\n"
                                   "Content-Length: 1000\r\n\r\npart".encode())
                return
            if behaviour == "unmarked":
                connection.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nContent-Length: 2\r\n\r\nno".encode())
                continue
            if behaviour == "foreign":
                self.respond(connection, "another-request")
            if behaviour.startswith("slow"):
                connection.settimeout(float(behaviour[4:] or 1))
                try:
                    if not connection.recv(1, socket.MSG_PEEK):
                        self.cut.append(request_id)
                        return
                except TimeoutError:
                    pass
                connection.settimeout(None)
            if behaviour == "unframed":
                connection.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Signature: s\r\n\r\n"
                                   "until the end".encode())
                return
            self.respond(connection, request_id, body=body if behaviour == "echo" else None)


def manifest(version, routes, pools):
    return {"version": f"r{version}",
            "services": [{"name": pool, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": False}
                         for pool in pools],
            "limits": {"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_s": 1, "idle_timeout_s": 5},
            "hosts": [{"host": "a.example", "paths": routes}]}


def route(name, kind, service, timeout=2):
    return {"name": name, "prefix": f"/{name}/", "kind": kind, "timeout_s": timeout, "target_latency_s": 1.0,
            "priority": 1, "max_attempts": 2, "service": service}


def entry(target, service, state="ready"):
    return {"service": service, "addr": target.address, "zone": "z", "version": "v1", "slots": 6, "state": state,
            "warmup_left_s": 0, "seq": 1, "born": 1700000000000}


class Forwarder:
    """One forwarding instance with an address of its own on loopback."""

    def __init__(self, host, ports, store, folder, seeds=""):
        self.host = host
        self.ports = ports
        self.log = pathlib.Path(folder) / f"{host}-{time.monotonic_ns()}.log"
        flags = {name: f"{host}:{port}" for name, port in ports.items()}
        flags |= {"store": store.address, "own_zone": "z", "seeds": seeds, "stop_grace_s": 3}
        settings = self.log.with_suffix(".settings")
        settings.write_text("".join(f"--{name}={value}\n" for name, value in flags.items()))
        with open(self.log, "wb") as output:
            self.child = subprocess.Popen([BUILD / "Programs/pomelospread", "forward"], stdin=subprocess.DEVNULL,
                                          stdout=output, stderr=subprocess.STDOUT,
                                          env=os.environ | {"POMELOSPREAD_SETTINGS": str(settings)})

    def ask(self, listener, request, timeout=5):
        with socket.create_connection((self.host, self.ports[listener]), timeout) as connection:
            connection.sendall(request)
            with connection.makefile("rb") as stream:
                return read_message(stream)

    def call(self, path, request_id, verb="GET", body=b"", deadline=1500):
        head = (f"{verb} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: {deadline}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode()
        first, fields, answer = self.ask("callers", head + body)
        return int(first[1]), fields, answer

    def is_ready(self):
        try:
            first, _, _ = self.ask("readiness", b"GET /pomelospread/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1)
        except OSError:
            return False
        return first[1] == "200"

    def wait_ready(self, limit=START_LIMIT_S):
        end = time.monotonic() + limit
        while not self.is_ready():
            assert time.monotonic() < end and self.child.poll() is None, self.log.read_text()[-2000:]
            time.sleep(0.05)

    def stop(self):
        self.child.send_signal(signal.SIGTERM)
        return self.child.wait(10)

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait(10)
