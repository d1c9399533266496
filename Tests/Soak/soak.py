#!/usr/bin/env python3
"""Randomized fault soak: runs real instances between stand-ins, injects faults and checks the guarantees to callers.

Faults follow each other and overlap: connections to targets and to the store are delayed, reset, blocked in one or
both directions; instances are paused, killed, stopped and restarted; the store is down, slow, loses responses or its
history; targets drain and return; tables change. The seed fixes the sequence of random numbers, but how many are drawn
and for what depends on wall-clock time, so runs with the same seed make only approximately the same plan."""
import argparse
import collections
import pathlib
import random
import signal
import socket
import sys
import threading
import time

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS / "Processes"), str(TESTS.parent / "Meta")]
import fleet as fleets  # noqa: E402
from platform_stand_in import (  # noqa: E402
    ForwardingInstance, PlatformStore, TargetStandIn, TcpServer, make_manifest, make_route, make_target_entry,
    read_http_message)
from seeded_runs import run_seeds  # noqa: E402

LISTENERS = ("callers", "readiness", "addresses", "peers", "metrics")
ROUTES = [make_route("read", "safe", "s", 1.5), make_route("write", "unsafe", "s", 1.5),
          make_route("pay", "unsafe", "t", 1.5)]
DRAIN_BOUND_S = 2.0  # A draining target gets no new requests after this time.
IN_FORCE_BOUND_S = 4.0
RECOVERY_S = 6.0  # After the last fault: the longest silence that membership tolerates, and a retry.
TIMING_TOLERANCE_S = 0.5  # The stand-ins and the callers share the machine with the instances.


class FaultProxy(TcpServer):
    """A TCP proxy for one server. `mode` may change at any time and also applies to open connections."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.mode = "pass"
        super().__init__()

    def serve(self, connection, stream):
        host, port = self.upstream.rsplit(":", 1)
        with socket.create_connection((host, int(port)), 5) as server:
            upstream_thread = threading.Thread(
                target=self.forward_bytes, args=(connection, server, "cut_up"), daemon=True)
            upstream_thread.start()
            self.forward_bytes(server, connection, "cut_down")
            upstream_thread.join()

    def forward_bytes(self, source, sink, cut_mode):
        try:
            while data := source.recv(65536):
                if self.mode == "delay":
                    time.sleep(0.1)
                if self.mode == "reset":
                    sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    break
                if self.mode not in ("silent", cut_mode):
                    sink.sendall(data)
        except OSError:
            pass  # One of the ends closed the connection.
        for connection in (source, sink):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class RequestRecord:
    def __init__(self, number, path, instance, generation):
        self.id = f"q{number}"
        self.path = path
        self.instance = instance
        self.generation = generation
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None
        self.headers = {}
        self.body = b""


class Soak:
    def __init__(self, seed, seconds, folder):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.started_at = time.monotonic()
        self.problems = []
        self.event_log = []
        self.requests = []
        self.lock = threading.Lock()
        self.running = True
        self.version = 3
        self.store = PlatformStore()
        self.store_proxy = FaultProxy(self.store.address)
        self.store.put("op", "config", make_manifest(self.version, ROUTES, ["s", "t"]))
        self.targets = [TargetStandIn(f"i-{i}", faults_enabled=False) for i in range(7)]
        self.target_proxies = [FaultProxy(target.address) for target in self.targets]
        self.draining_since = {}  # Target number to the time at which it was listed as draining.
        self.disturbance_periods = []  # Periods in which updates may reach an instance late.
        for i in range(len(self.targets)):
            self.publish_target(i, "ready")
        self.ports = {name: fleets.free_port() for name in LISTENERS}
        self.instances = [None] * 4
        self.generations = [0] * 4
        self.instance_faults = {}
        for i in range(len(self.instances)):
            self.start_instance(i)
        for instance in self.instances:
            instance.wait_until_ready()

    def log_event(self, text):
        self.event_log.append(f"{time.monotonic() - self.started_at:7.2f} {text}")

    def report_problem(self, text):
        self.log_event("FAILED " + text)
        self.problems.append(text)

    def publish_target(self, i, state):
        target_entry = make_target_entry(self.target_proxies[i], "s" if i < 4 else "t", state)
        self.store.put("servers", self.targets[i].name, target_entry)

    def start_instance(self, i):
        seeds = ",".join(f"127.0.1.{j + 1}:1" for j in range(len(self.instances)) if j != i)
        self.generations[i] += 1
        self.instances[i] = ForwardingInstance(f"127.0.1.{i + 1}", self.ports, self.store_proxy, self.folder, seeds)

    # Callers

    def run_caller(self, number):
        random_source = random.Random(number)
        connection, connected_to = None, None
        while self.running:
            i = random_source.randrange(len(self.instances))
            with self.lock:
                request = RequestRecord(len(self.requests), random_source.choice(["/read/x", "/write/x", "/pay/x"]),
                                        i, self.generations[i])
                self.requests.append(request)
            try:
                if connection is None or connected_to != (i, request.generation):
                    connection = socket.create_connection((self.instances[i].host, self.ports["callers"]), 1)
                    connection.settimeout(4)
                    connected_to = (i, request.generation)
                request.sent_at = time.monotonic()
                method = "GET" if request.path.startswith("/read") else "POST"
                connection.sendall(f"{method} {request.path} HTTP/1.1\r\nHost: a.example\r\n"
                                   f"Request-Id: {request.id}\r\n"
                                   "Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n".encode())
                message = read_http_message(connection.makefile("rb"))
                if message is None:
                    connection = None
                else:
                    request.status, request.headers, request.body = int(message[0][1]), message[1], message[2]
            except OSError:
                connection = None  # The instance was killed or paused, or is starting; the request has no status.
            request.ended_at = time.monotonic()
            time.sleep(0.01)

    # Faults. Each returns its description and the function that ends it (None if it needs no end), or None if it was
    # not started.

    def disturb_target_path(self):
        i = self.random.randrange(len(self.target_proxies))
        if self.target_proxies[i].mode != "pass":
            return None
        mode = self.random.choice(["delay", "reset", "silent", "cut_up", "cut_down"])
        self.target_proxies[i].mode = mode
        return f"{mode} to i-{i}", lambda: setattr(self.target_proxies[i], "mode", "pass")

    def disturb_store_path(self):
        if self.store_proxy.mode != "pass":
            return None
        mode = self.random.choice(["delay", "reset", "silent", "cut_down"])
        self.store_proxy.mode = mode
        return f"{mode} to the store", lambda: setattr(self.store_proxy, "mode", "pass")

    def disturb_store(self):
        kind = self.random.choice(["down", "lose", "late_s", "history"])
        if kind == "history":
            self.store.drop_history()
            return "the store drops its history", None
        field = {"down": "down", "lose": "dropped_response_path", "late_s": "response_delay_s"}[kind]
        if getattr(self.store, field):
            return None
        setattr(self.store, field, {"down": True, "lose": "rows-", "late_s": 0.3}[kind])
        return f"the store: {kind}", lambda: setattr(self.store, field, {"down": False, "lose": "", "late_s": 0}[kind])

    def pick_instance(self):
        undisturbed = [i for i in range(len(self.instances)) if i not in self.instance_faults]
        return self.random.choice(undisturbed) if len(undisturbed) > 2 else None

    def pause(self):
        if (i := self.pick_instance()) is None:
            return None
        child = self.instances[i].child
        self.instance_faults[i] = "pause"
        child.send_signal(signal.SIGSTOP)

        def resume():
            child.send_signal(signal.SIGCONT)
            del self.instance_faults[i]
        return f"pause {i}", resume

    def kill(self):
        if (i := self.pick_instance()) is None:
            return None
        self.instance_faults[i] = "kill"
        self.instances[i].kill()

        def restart():
            self.start_instance(i)
            del self.instance_faults[i]
        return f"kill {i}", restart

    def stop(self):
        i = self.pick_instance()
        # SIGTERM kills a process that has not yet installed its handler; it has served no request by then.
        if i is None or not self.instances[i].log_path.read_text():
            return None
        self.instance_faults[i] = "stop"
        signal_sent_at, generation = time.monotonic(), self.generations[i]
        exit_codes = []
        waiter = threading.Thread(target=lambda: exit_codes.append(self.instances[i].stop()))
        waiter.start()

        def restart():
            waiter.join()
            if exit_codes != [0]:
                self.report_problem(f"planned stop of instance {i} exited with {exit_codes}")
            # Requests sent before the signal get a response, since the grace period is longer than the route's timeout.
            for request in list(self.requests):
                no_response = request.ended_at and request.status is None and request.ended_at >= signal_sent_at
                if (request.instance == i and request.generation == generation
                        and request.sent_at < signal_sent_at - 0.02 and no_response):
                    self.report_problem(f"{request.id}, sent before the stop of instance {i}, got no response")
            self.start_instance(i)
            del self.instance_faults[i]
        return f"stop {i}", restart

    def drain_target(self):
        i = self.random.randrange(len(self.targets))
        if i in self.draining_since:
            return None
        self.publish_target(i, "draining")
        self.draining_since[i] = time.monotonic()

        def restore():
            draining_since, restored_at = self.draining_since[i], time.monotonic()
            late_requests = [request_id for request_id, at in list(self.targets[i].arrivals)
                             if draining_since + DRAIN_BOUND_S + TIMING_TOLERANCE_S < at < restored_at]
            updates_may_be_late = any(period_start < restored_at and draining_since - 1 < period_end
                                      for period_start, period_end in self.disturbance_periods)
            if late_requests and not updates_may_be_late:
                self.report_problem(f"draining target i-{i} got requests {late_requests[:5]}")
            self.publish_target(i, "ready")
            del self.draining_since[i]
        return f"i-{i} leaves", restore

    def change_tables(self):
        self.version += 1
        extra = make_route(f"v{self.version}", "safe", "s", 1.5)
        self.store.put("op", "config", make_manifest(self.version, [*ROUTES, extra], ["s", "t"]))
        return f"tables {self.version}", None

    # Run and checks

    def run_faults(self):
        fault_kinds = [self.disturb_target_path] * 4 + [
            self.disturb_store_path, self.disturb_store, self.pause, self.kill, self.stop, self.drain_target,
            self.drain_target, self.change_tables, self.change_tables]
        active_faults = []
        update_delaying_faults = {"disturb_store_path", "disturb_store", "pause", "kill", "stop"}
        end = time.monotonic() + self.seconds
        while time.monotonic() < end or active_faults:
            now = time.monotonic()
            for fault in [fault for fault in active_faults if fault[0] <= now]:
                active_faults.remove(fault)
                self.log_event("over: " + fault[1])
                fault[2]()
                if fault[3] in update_delaying_faults:
                    self.disturbance_periods.append((fault[4], time.monotonic() + RECOVERY_S))
            if now < end:
                start_fault = self.random.choice(fault_kinds)
                duration = (self.random.uniform(2.8, 4) if start_fault == self.drain_target
                            else self.random.uniform(0.3, 2.5))
                if started := start_fault():
                    self.log_event(started[0])
                    if started[1]:
                        active_faults.append((now + duration, started[0], started[1], start_fault.__name__, now))
                        if start_fault.__name__ in update_delaying_faults:
                            self.disturbance_periods.append((now, now + duration + RECOVERY_S))
                    elif start_fault == self.disturb_store:
                        self.disturbance_periods.append((now, now + RECOVERY_S))
            for i, instance in enumerate(self.instances):
                if i not in self.instance_faults and instance.child.poll() is not None:
                    self.report_problem(f"instance {i} exited unexpectedly with {instance.child.returncode}")
                    self.start_instance(i)
            time.sleep(self.random.uniform(0.1, 0.8))

    def check_recovery(self):
        deadline = time.monotonic() + RECOVERY_S + IN_FORCE_BOUND_S
        for i, instance in enumerate(self.instances):
            for path in ["/read/x", "/write/x", "/pay/x", f"/v{self.version}/x" if self.version > 3 else "/read/x"]:
                consecutive_successes = 0
                while consecutive_successes < 5:
                    try:
                        status = instance.send_request(path, f"after-{i}-{time.monotonic_ns()}")[0]
                    except (OSError, TypeError):
                        status = None
                    consecutive_successes = consecutive_successes + 1 if status == 200 else 0
                    if time.monotonic() > deadline:
                        self.report_problem(f"instance {i} responds to {path} with {status} after the last fault")
                        return
                    time.sleep(0.02)

    def check_requests(self):
        execution_counts = collections.Counter(
            request_id for target in self.targets for request_id in target.executed_ids)
        for request in self.requests:
            if not request.path.startswith("/read") and execution_counts[request.id] > 1:
                self.report_problem(f"{request.id} ran {execution_counts[request.id]} times")
            if request.status == 503 and (execution_counts[request.id] and not request.path.startswith("/read")):
                self.report_problem(f"{request.id} was reported as not run but ran")
            if request.status == 503 and not float(request.headers.get("retry-after", 0)) > 0:
                self.report_problem(f"{request.id} was refused without a Retry-After time")
            if request.status == 200 and (request.body.decode().split()[1:] != [request.id]
                                          or not execution_counts[request.id]):
                self.report_problem(f"{request.id} got the response {request.body!r}")
            if request.status not in (None, 200, 502, 503, 504):
                self.report_problem(f"{request.id} got the status {request.status}")

    def run(self):
        callers = [threading.Thread(target=self.run_caller, args=(n,)) for n in range(12)]
        for caller in callers:
            caller.start()
        self.run_faults()
        self.check_recovery()
        self.running = False
        for caller in callers:
            caller.join()
        for i, instance in enumerate(self.instances):
            if instance.child.poll() is None and instance.stop() != 0:
                self.report_problem(f"the last stop of instance {i} exited with {instance.child.returncode}")
        self.check_requests()
        statuses = collections.Counter(request.status for request in self.requests)
        return {"calls": len(self.requests), "statuses": {str(k): v for k, v in statuses.items()},
                "faults": len(self.event_log), "problems": self.problems}

    def kill_instances(self):
        self.running = False
        for instance in self.instances:
            if instance is not None:
                instance.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20, help="how long faults are injected, 1 to 3600")
    parser.add_argument("--seed", type=int, action="append",
                        help="may be repeated; by default seeds are taken from the clock")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds to run when none is given")
    parser.add_argument("--keep", help="folder for the logs of failed runs")
    options = parser.parse_args()
    seeds = options.seed or [time.time_ns() % 10**9 + i for i in range(options.seeds)]
    return run_seeds(seeds, options.seconds, options.keep, lambda seed, folder: Soak(seed, options.seconds, folder),
                     lambda soak: print("\n".join(soak.event_log), flush=True))


if __name__ == "__main__":
    sys.exit(main())
