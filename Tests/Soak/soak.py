#!/usr/bin/env python3
"""Randomized fault soak: real instances between stand-ins, faults from outside, promises checked from outside.

Faults come in series and overlap: connections to targets and to the store that are delayed, reset, cut one way or
silenced; instances that are paused, killed, stopped and started; a store that is down, slow, loses answers or its
history; targets that leave and come back; new tables meanwhile. A run with the same seed makes the same plan."""
import argparse
import collections
import json
import pathlib
import random
import signal
import socket
import sys
import tempfile
import threading
import time

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS / "Processes"), str(TESTS.parent / "Meta")]
import fleet as fleets  # noqa: E402
from platform_stand_in import Forwarder, Server, Store, Target, entry, manifest, read_message, route  # noqa: E402

NAMES = ("callers", "readiness", "addresses", "peers", "metrics")
ROUTES = [route("read", "safe", "s", 1.5), route("write", "unsafe", "s", 1.5), route("pay", "unsafe", "t", 1.5)]
DRAIN_BOUND_S = 2.0  # A leaving target gets nothing new after this.
IN_FORCE_BOUND_S = 4.0
RECOVERY_S = 6.0  # After the last fault: the membership's longest silence and a retry.
SLACK_S = 0.5  # The stand-ins and the callers share the machine with the instances.


class Proxy(Server):
    """Stands before one server; `mode` may change at any time and holds for open connections too."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.mode = "pass"
        super().__init__()

    def serve(self, connection, stream):
        host, port = self.upstream.rsplit(":", 1)
        with socket.create_connection((host, int(port)), 5) as server:
            up = threading.Thread(target=self.pump, args=(connection, server, "cut_up"), daemon=True)
            up.start()
            self.pump(server, connection, "cut_down")
            up.join()

    def pump(self, source, sink, cut):
        try:
            while data := source.recv(65536):
                if self.mode == "delay":
                    time.sleep(0.1)
                if self.mode == "reset":
                    sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    break
                if self.mode not in ("silent", cut):
                    sink.sendall(data)
        except OSError:
            pass  # Either end went away.
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Call:
    def __init__(self, number, path, instance, generation):
        self.id = f"q{number}"
        self.path = path
        self.instance = instance
        self.generation = generation
        self.sent = time.monotonic()
        self.ended = None
        self.status = None
        self.fields = {}
        self.body = b""


class Soak:
    def __init__(self, seed, seconds, folder):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.begin = time.monotonic()
        self.problems = []
        self.log = []
        self.calls = []
        self.lock = threading.Lock()
        self.running = True
        self.version = 3
        self.store = Store()
        self.store_path = Proxy(self.store.address)
        self.store.put("op", "config", manifest(self.version, ROUTES, ["s", "t"]))
        self.targets = [Target(f"i-{i}", faulty=False) for i in range(7)]
        self.paths = [Proxy(target.address) for target in self.targets]
        self.left = {}  # Target number to the time at which it was declared leaving.
        self.disturbed = []  # Spans in which an instance or the store may have been blind.
        for i in range(len(self.targets)):
            self.list_target(i, "ready")
        self.ports = {name: fleets.free_port() for name in NAMES}
        self.nodes = [None] * 4
        self.generations = [0] * 4
        self.stopping = {}
        for i in range(len(self.nodes)):
            self.start(i)
        for node in self.nodes:
            node.wait_ready()

    def note(self, text):
        self.log.append(f"{time.monotonic() - self.begin:7.2f} {text}")

    def fail(self, text):
        self.note("FAILED " + text)
        self.problems.append(text)

    def list_target(self, i, state):
        described = entry(self.paths[i], "s" if i < 4 else "t", state)
        self.store.put("servers", self.targets[i].name, described)

    def start(self, i):
        seeds = ",".join(f"127.0.1.{j + 1}:1" for j in range(len(self.nodes)) if j != i)
        self.generations[i] += 1
        self.nodes[i] = Forwarder(f"127.0.1.{i + 1}", self.ports, self.store_path, self.folder, seeds)

    # Callers

    def call_loop(self, number):
        draw = random.Random(number)
        connection, at = None, None
        while self.running:
            i = draw.randrange(len(self.nodes))
            with self.lock:
                call = Call(len(self.calls), draw.choice(["/read/x", "/write/x", "/pay/x"]), i, self.generations[i])
                self.calls.append(call)
            try:
                if connection is None or at != (i, call.generation):
                    connection = socket.create_connection((self.nodes[i].host, self.ports["callers"]), 1)
                    connection.settimeout(4)
                    at = (i, call.generation)
                call.sent = time.monotonic()
                verb = "GET" if call.path.startswith("/read") else "POST"
                connection.sendall(f"{verb} {call.path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {call.id}\r\n"
                                   "Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n".encode())
                message = read_message(connection.makefile("rb"))
                if message is None:
                    connection = None
                else:
                    call.status, call.fields, call.body = int(message[0][1]), message[1], message[2]
            except OSError:
                connection = None  # Its instance was killed, paused or is starting; the call has no status.
            call.ended = time.monotonic()
            time.sleep(0.01)

    # Faults; each returns what ends it, or nothing.

    def disturb_path(self):
        i = self.random.randrange(len(self.paths))
        if self.paths[i].mode != "pass":
            return None
        mode = self.random.choice(["delay", "reset", "silent", "cut_up", "cut_down"])
        self.paths[i].mode = mode
        return f"{mode} to i-{i}", lambda: setattr(self.paths[i], "mode", "pass")

    def disturb_store_path(self):
        if self.store_path.mode != "pass":
            return None
        mode = self.random.choice(["delay", "reset", "silent", "cut_down"])
        self.store_path.mode = mode
        return f"{mode} to the store", lambda: setattr(self.store_path, "mode", "pass")

    def disturb_store(self):
        kind = self.random.choice(["down", "lose", "late_s", "history"])
        if kind == "history":
            self.store.drop_history()
            return "the store drops its history", None
        if getattr(self.store, kind):
            return None
        setattr(self.store, kind, {"down": True, "lose": "rows-", "late_s": 0.3}[kind])
        return f"the store: {kind}", lambda: setattr(self.store, kind, {"down": False, "lose": "", "late_s": 0}[kind])

    def pick_node(self):
        free = [i for i in range(len(self.nodes)) if i not in self.stopping]
        return self.random.choice(free) if len(free) > 2 else None

    def pause(self):
        if (i := self.pick_node()) is None:
            return None
        child = self.nodes[i].child
        self.stopping[i] = "pause"
        child.send_signal(signal.SIGSTOP)

        def resume():
            child.send_signal(signal.SIGCONT)
            del self.stopping[i]
        return f"pause {i}", resume

    def kill(self):
        if (i := self.pick_node()) is None:
            return None
        self.stopping[i] = "kill"
        self.nodes[i].kill()

        def restart():
            self.start(i)
            del self.stopping[i]
        return f"kill {i}", restart

    def stop(self):
        i = self.pick_node()
        # A signal that comes before the program has set its handler ends it; nothing was served by then.
        if i is None or not self.nodes[i].log.read_text():
            return None
        self.stopping[i] = "stop"
        began, generation = time.monotonic(), self.generations[i]
        code = []
        waiter = threading.Thread(target=lambda: code.append(self.nodes[i].stop()))
        waiter.start()

        def restart():
            waiter.join()
            if code != [0]:
                self.fail(f"planned stop of {i} ended with {code}")
            # What was sent before the signal has an answer, since the grace is longer than the route's time.
            for call in list(self.calls):
                cut = call.ended and call.status is None and call.ended >= began
                if call.instance == i and call.generation == generation and call.sent < began - 0.02 and cut:
                    self.fail(f"{call.id}, sent before the stop of {i}, got no answer")
            self.start(i)
            del self.stopping[i]
        return f"stop {i}", restart

    def leave(self):
        i = self.random.randrange(len(self.targets))
        if i in self.left:
            return None
        self.list_target(i, "draining")
        self.left[i] = time.monotonic()

        def come_back():
            began, ended = self.left[i], time.monotonic()
            late = [request for request, at in list(self.targets[i].seen) if began + DRAIN_BOUND_S + SLACK_S < at < ended]
            blind = any(start < ended and began - 1 < end for start, end in self.disturbed)
            if late and not blind:
                self.fail(f"leaving i-{i} got {late[:5]}")
            self.list_target(i, "ready")
            del self.left[i]
        return f"i-{i} leaves", come_back

    def change_tables(self):
        self.version += 1
        extra = route(f"v{self.version}", "safe", "s", 1.5)
        self.store.put("op", "config", manifest(self.version, [*ROUTES, extra], ["s", "t"]))
        return f"tables {self.version}", None

    # The run

    def run_faults(self):
        kinds = [self.disturb_path] * 4 + [self.disturb_store_path, self.disturb_store, self.pause, self.kill,
                                           self.stop, self.leave, self.leave, self.change_tables, self.change_tables]
        ends = []
        blinding = {"disturb_store_path", "disturb_store", "pause", "kill", "stop"}
        until = time.monotonic() + self.seconds
        while time.monotonic() < until or ends:
            now = time.monotonic()
            for due in [each for each in ends if each[0] <= now]:
                ends.remove(due)
                self.note("over: " + due[1])
                due[2]()
                if due[3] in blinding:
                    self.disturbed.append((due[4], time.monotonic() + RECOVERY_S))
            if now < until:
                kind = self.random.choice(kinds)
                length = self.random.uniform(2.8, 4) if kind == self.leave else self.random.uniform(0.3, 2.5)
                if started := kind():
                    self.note(started[0])
                    if started[1]:
                        ends.append((now + length, started[0], started[1], kind.__name__, now))
                        if kind.__name__ in blinding:
                            self.disturbed.append((now, now + length + RECOVERY_S))
                    elif kind == self.disturb_store:
                        self.disturbed.append((now, now + RECOVERY_S))
            for i, node in enumerate(self.nodes):
                if i not in self.stopping and node.child.poll() is not None:
                    self.fail(f"instance {i} ended by itself with {node.child.returncode}")
                    self.start(i)
            time.sleep(self.random.uniform(0.1, 0.8))

    def check_recovery(self):
        deadline = time.monotonic() + RECOVERY_S + IN_FORCE_BOUND_S
        for i, node in enumerate(self.nodes):
            for path in ["/read/x", "/write/x", "/pay/x", f"/v{self.version}/x" if self.version > 3 else "/read/x"]:
                good = 0
                while good < 5:
                    try:
                        status = node.call(path, f"after-{i}-{time.monotonic_ns()}")[0]
                    except (OSError, TypeError):
                        status = None
                    good = good + 1 if status == 200 else 0
                    if time.monotonic() > deadline:
                        self.fail(f"instance {i} answers {path} with {status} after the last fault")
                        return
                    time.sleep(0.02)

    def check_calls(self):
        ran = collections.Counter(request for target in self.targets for request in target.ran)
        for call in self.calls:
            if not call.path.startswith("/read") and ran[call.id] > 1:
                self.fail(f"{call.id} ran {ran[call.id]} times")
            if call.status == 503 and (ran[call.id] and not call.path.startswith("/read")):
                self.fail(f"{call.id} was said not to have run, and ran")
            if call.status == 503 and not float(call.fields.get("retry-after", 0)) > 0:
                self.fail(f"{call.id} was refused without a time to come back")
            if call.status == 200 and (call.body.decode().split()[1:] != [call.id] or not ran[call.id]):
                self.fail(f"{call.id} got {call.body!r}")
            if call.status not in (None, 200, 502, 503, 504):
                self.fail(f"{call.id} got {call.status}")

    def run(self):
        callers = [threading.Thread(target=self.call_loop, args=(n,)) for n in range(12)]
        for caller in callers:
            caller.start()
        self.run_faults()
        self.check_recovery()
        self.running = False
        for caller in callers:
            caller.join()
        for i, node in enumerate(self.nodes):
            if node.child.poll() is None and node.stop() != 0:
                self.fail(f"the last stop of {i} ended with {node.child.returncode}")
        self.check_calls()
        statuses = collections.Counter(call.status for call in self.calls)
        return {"calls": len(self.calls), "statuses": {str(k): v for k, v in statuses.items()}, "faults": len(self.log),
                "problems": self.problems}

    def end(self):
        self.running = False
        for node in self.nodes:
            if node is not None:
                node.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20, help="length of the faults, 1 to 3600")
    parser.add_argument("--seed", type=int, action="append", help="may be given more than once; else the clock's")
    parser.add_argument("--seeds", type=int, default=1, help="fresh seeds to run when none is given")
    parser.add_argument("--keep", help="folder that keeps the logs of failed runs")
    given = parser.parse_args()
    seeds = given.seed or [time.time_ns() % 10**9 + i for i in range(given.seeds)]
    failed = 0
    for seed in seeds:
        folder = tempfile.TemporaryDirectory()
        soak = Soak(seed, given.seconds, folder.name)
        try:
            result = soak.run()
        finally:
            soak.end()
        print(json.dumps({"seed": seed, "seconds": given.seconds, **result}), flush=True)
        if result["problems"]:
            failed += 1
            print("\n".join(soak.log), flush=True)
            if given.keep:
                kept = pathlib.Path(given.keep) / str(seed)
                kept.mkdir(parents=True, exist_ok=True)
                for log in pathlib.Path(folder.name).glob("*.log"):
                    (kept / log.name).write_bytes(log.read_bytes())
        folder.cleanup()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
