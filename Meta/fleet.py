"""Starts and stops whole fleets on loopback, for Meta/run, Meta/bench and the process tests.

Every process is a child of this one and is ended by its process id.
"""
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("POMELOSPREAD_BUILD", ROOT / "build"))
ZONES = ["civic-hall", "depot-north", "market-annex"]
START_TIMEOUT_S = 20


def free_port(used=set()):
    """Returns a port that was free when probed. No port is returned twice by this process."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in used:
            used.add(port)
            return port


class ChildProcess:
    """A child process whose output goes to a log file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self.log_file = open(self.log_path, "ab")
        self.child = subprocess.Popen(
            [str(argument) for argument in arguments],
            stdout=self.log_file,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

    def signal(self, number):
        self.child.send_signal(number)

    def wait(self, timeout):
        code = self.child.wait(timeout)
        self.log_file.close()
        return code

    def kill(self):
        if self.child.poll() is None:
            # A process paused by SIGSTOP handles no other signal until it resumes.
            self.child.send_signal(signal.SIGKILL)
        self.child.wait(10)
        self.log_file.close()

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_bytes(self):
        for line in pathlib.Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024
        return 0


def http_exchange(address, path, method="GET", body=None, headers=None, timeout=5):
    """Sends one HTTP request; returns (status, headers, body as text)."""
    request = urllib.request.Request(
        f"http://{address}{path}", method=method, data=body, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read().decode()


def wait_until(condition, timeout=START_TIMEOUT_S, interval=0.02, description="a condition"):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, ValueError, KeyError):
            value = condition()
            if value:
                return value
        time.sleep(interval)
    raise TimeoutError(f"timed out after {timeout} s waiting for {description}")


class Instance:
    def __init__(self, process, caller_address, peer_address, admin_address, zone):
        self.process, self.zone = process, zone
        self.caller_address, self.peer_address, self.admin_address = caller_address, peer_address, admin_address

    def status(self):
        return json.loads(http_exchange(self.admin_address, "/status")[2])

    def metrics(self):
        values = {}
        for line in http_exchange(self.admin_address, "/metrics")[2].splitlines():
            if not line.startswith("#") and "{" not in line:
                name, value = line.split()
                values[name] = float(value)
        return values


class Fleet:
    """A platform stand-in, targets and instances, with their tables."""

    def __init__(self, folder=None):
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="pomelospread-"))
        self.platform = None
        self.platform_address = f"127.0.0.1:{free_port()}"
        self.targets = {}
        self.instances = []
        self.pools = {}
        self.routes = []
        self.process_count = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill_all()

    def start_platform(self, list_lag_ms=500):
        self.platform = ChildProcess(
            f"platform-{self.process_count}",
            [BUILD / "StandIns/platform_stand_in", f"--listen={self.platform_address}",
             f"--list_lag_ms={list_lag_ms}"],
            self.folder,
        )
        self.process_count += 1
        wait_until(lambda: http_exchange(self.platform_address, "/counts")[0] == 200,
                   description="the platform stand-in to answer")

    def set_platform_faults(self, **faults):
        http_exchange(self.platform_address, "/faults", "POST", json.dumps(faults).encode())

    def start_target(self, pool, zone, slots=2, service_ms=2.0, address=None, **flags):
        address = address or f"127.0.0.1:{free_port()}"
        extra = [f"--{name}={value}" for name, value in flags.items()]
        process = ChildProcess(
            f"target-{self.process_count}",
            [BUILD / "StandIns/target_stand_in", f"--listen={address}", f"--slots={slots}",
             f"--service_ms={service_ms}", *extra],
            self.folder,
        )
        self.process_count += 1
        self.targets[address] = process
        self.pools.setdefault(pool, {"slots": slots, "targets": []})["targets"].append((address, zone))
        return address

    def wait_for_targets(self):
        for address in self.targets:
            wait_until(lambda: http_exchange(address, "/.stand-in/executions")[0] == 200,
                       description="a target to answer")

    def execution_counts(self):
        """Returns how often each idempotency key was executed, over all running targets."""
        total = {}
        for address, process in self.targets.items():
            if process.child.poll() is not None:
                continue
            for key, count in json.loads(http_exchange(address, "/.stand-in/executions")[2])["executions"].items():
                total[key] = total.get(key, 0) + count
        return total

    def start_instance(self, zone=None, **settings):
        zone = zone or ZONES[len(self.instances) % len(ZONES)]
        caller_address, peer_address, admin_address = (f"127.0.0.1:{free_port()}" for _ in range(3))
        defaults = {"threads": 1, "keep_ms": 1000, "drain_ms": 1500, "log_level": "warning"}
        flags = [f"--{name}={value}" for name, value in {**defaults, **settings}.items()]
        process = ChildProcess(
            f"instance-{self.process_count}",
            [BUILD / "Programs/pomelospread", f"--listen={caller_address}", f"--peer_listen={peer_address}",
             f"--admin_listen={admin_address}", f"--zone={zone}", f"--platform={self.platform_address}", *flags],
            self.folder,
        )
        self.process_count += 1
        instance = Instance(process, caller_address, peer_address, admin_address, zone)
        self.instances.append(instance)
        return instance

    def add_route(self, name, prefix, pool, idempotent, methods=None, deadline_ms=2000, hedge=True,
                  customer_concurrency=10000):
        self.routes.append({
            "name": name, "path_prefix": prefix, "pool": pool, "idempotent": idempotent,
            "methods": methods or (["GET"] if idempotent else ["POST"]), "deadline_ms": deadline_ms,
            "hedge": hedge, "customer_concurrency": customer_concurrency,
        })

    def write_tables(self, homes=0):
        routes = "".join(
            "[[route]]\n" + "".join(f"{field} = {json.dumps(value)}\n" for field, value in route.items()) + "\n"
            for route in self.routes
        )
        pools = ""
        for name, pool in self.pools.items():
            pools += f"[[pool]]\nname = \"{name}\"\nslots_per_target = {pool['slots']}\nhomes = {homes}\n"
            for address, zone in pool["targets"]:
                leaving = "true" if address in pool.get("leaving", []) else "false"
                pools += f"[[pool.target]]\naddress = \"{address}\"\nzone = \"{zone}\"\nleaving = {leaving}\n"
        (self.folder / "routes.toml").write_text(routes)
        (self.folder / "pools.toml").write_text(pools)

    def run_ctl(self, *arguments, check=True, timeout=60):
        """Runs pomelospreadctl on this fleet's files; returns the completed process."""
        command = [BUILD / "Programs/pomelospreadctl", f"--platform={self.platform_address}",
                   f"--routes={self.folder}/routes.toml", f"--pools={self.folder}/pools.toml",
                   f"--lock={self.folder}/tables.lock", *arguments]
        completed = subprocess.run([str(word) for word in command], capture_output=True, text=True, timeout=timeout)
        if check and completed.returncode != 0:
            raise RuntimeError(f"pomelospreadctl {arguments} exited with {completed.returncode}: {completed.stderr}")
        return completed

    def apply_tables(self, homes=0, wait=True):
        self.write_tables(homes)
        return self.run_ctl("apply", "--output=json", "--wait=true" if wait else "--wait=false")

    def wait_for_members(self, count=None, timeout=START_TIMEOUT_S):
        running = [instance for instance in self.instances if instance.process.child.poll() is None]
        count = count or len(running)

        def all_known():
            return all(
                sum(member["status"] == "alive" for member in instance.status()["members"]) >= count
                for instance in running
            )

        wait_until(all_known, timeout, description="every instance to know the others")

    def primary_and_witness(self, path):
        """Returns the current primary and witness of callers' non-idempotent requests to a path, by role."""
        running = [instance for instance in self.instances if instance.process.child.poll() is None]
        placement = json.loads(
            http_exchange(running[0].caller_address, f"/.pomelospread/addresses?path={path}&method=POST")[2])
        _, primary, witness, _ = placement["key_prefix"].split("-")
        by_id = {instance.status()["id"]: instance for instance in running}
        return {"primary": by_id[primary], "witness": by_id[witness]}

    def start_caller(self, name="caller", addresses=None, **settings):
        """Starts the caller stand-in; `wait_for_caller_summary` returns its summary."""
        addresses = addresses or [instance.caller_address for instance in self.instances]
        flags = [f"--{key}={value}" for key, value in settings.items()]
        self.process_count += 1
        return ChildProcess(
            f"{name}-{self.process_count}",
            [BUILD / "StandIns/caller_stand_in", f"--ask={','.join(addresses)}", f"--customer={name}", *flags],
            self.folder,
        )

    def stop_instance(self, instance, timeout=60):
        """Stops an instance with SIGTERM; returns its exit code."""
        instance.process.signal(signal.SIGTERM)
        return instance.process.wait(timeout)

    def stop_all(self):
        """Stops all processes with SIGTERM, instances first; returns the exit code of each by its name."""
        exit_codes = {}
        running = [instance.process for instance in self.instances if instance.process.child.poll() is None]
        for process in running:
            process.signal(signal.SIGTERM)
        for process in running:
            exit_codes[process.name] = process.wait(60)
        for process in [*self.targets.values(), self.platform]:
            if process.child.poll() is None:
                process.signal(signal.SIGTERM)
                exit_codes[process.name] = process.wait(60)
        return exit_codes

    def kill_all(self):
        for process in [*(instance.process for instance in self.instances), *self.targets.values(), self.platform]:
            if process is not None:
                process.kill()


def wait_for_caller_summary(process, timeout=120):
    """Waits for a caller stand-in to exit; returns the JSON summary from the last line of its output."""
    process.wait(timeout)
    return json.loads(process.log_path.read_text().splitlines()[-1])


def start_sample_fleet(fleet, instances=3, small=True, **settings):
    """Starts the Trading Office's pools, at full size or with a few targets each, and its lookup and payment routes."""
    fleet.start_platform()
    for pool, count in (("badge-register", 3 if small else 13), ("fees-ledger", 3 if small else 7)):
        for number in range(count):
            fleet.start_target(pool, ZONES[number % 3], slots=6)
    fleet.wait_for_targets()
    for _ in range(instances):
        fleet.start_instance(**settings)
    fleet.add_route("badge-lookup", "/badges", "badge-register", True)
    fleet.add_route("renewal-payment", "/renewals", "fees-ledger", False)
    fleet.wait_for_members()
    fleet.apply_tables()
