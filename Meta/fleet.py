"""Starts and stops whole fleets on loopback: the driver of Meta/run, Meta/bench and the process tests.

Every process is a child of this one and is ended by its id.
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
START_LIMIT_S = 20


def free_port(used=set()):
    """A port that was free a moment ago; each is handed out once by this process."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in used:
            used.add(port)
            return port


class Process:
    """A child process with its log in a file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.output = open(self.log, "ab")
        self.child = subprocess.Popen(
            [str(argument) for argument in arguments],
            stdout=self.output,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

    def signal(self, number):
        self.child.send_signal(number)

    def wait(self, timeout):
        code = self.child.wait(timeout)
        self.output.close()
        return code

    def kill(self):
        if self.child.poll() is None:
            # A stopped process takes no other signal until it goes on.
            self.child.send_signal(signal.SIGKILL)
        self.child.wait(10)
        self.output.close()

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_bytes(self):
        for line in pathlib.Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024
        return 0


def get(address, path, method="GET", body=None, headers=None, timeout=5):
    """One HTTP exchange; answers (status, headers, text)."""
    request = urllib.request.Request(
        f"http://{address}{path}", method=method, data=body, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read().decode()
    except urllib.error.HTTPError as failure:
        return failure.code, failure.headers, failure.read().decode()


def wait_until(check, limit=START_LIMIT_S, pause=0.02, what="a condition"):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        with contextlib.suppress(OSError, ValueError, KeyError):
            value = check()
            if value:
                return value
        time.sleep(pause)
    raise TimeoutError(f"{what} did not come true within {limit} s")


class Instance:
    def __init__(self, process, caller, peer, admin, zone):
        self.process, self.caller, self.peer, self.admin, self.zone = process, caller, peer, admin, zone

    def status(self):
        return json.loads(get(self.admin, "/status")[2])

    def metrics(self):
        values = {}
        for line in get(self.admin, "/metrics")[2].splitlines():
            if not line.startswith("#") and "{" not in line:
                name, value = line.split()
                values[name] = float(value)
        return values


class Fleet:
    """A platform stand-in, targets and entry instances, with their tables."""

    def __init__(self, folder=None):
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="pomelospread-"))
        self.platform = None
        self.platform_address = f"127.0.0.1:{free_port()}"
        self.targets = {}
        self.instances = []
        self.pools = {}
        self.routes = []
        self.started = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill_all()

    def start_platform(self, lag_ms=500):
        self.platform = Process(
            f"platform-{self.started}",
            [BUILD / "StandIns/platform_stand_in", f"--listen={self.platform_address}", f"--list_lag_ms={lag_ms}"],
            self.folder,
        )
        self.started += 1
        wait_until(lambda: get(self.platform_address, "/counts")[0] == 200, what="the platform's start")

    def faults(self, **wanted):
        get(self.platform_address, "/faults", "POST", json.dumps(wanted).encode())

    def start_target(self, pool, zone, slots=2, service_ms=2.0, address=None, **flags):
        address = address or f"127.0.0.1:{free_port()}"
        extra = [f"--{name}={value}" for name, value in flags.items()]
        process = Process(
            f"target-{self.started}",
            [BUILD / "StandIns/target_stand_in", f"--listen={address}", f"--slots={slots}",
             f"--service_ms={service_ms}", *extra],
            self.folder,
        )
        self.started += 1
        self.targets[address] = process
        self.pools.setdefault(pool, {"slots": slots, "targets": []})["targets"].append((address, zone))
        return address

    def wait_for_targets(self):
        for address in self.targets:
            wait_until(lambda: get(address, "/.stand-in/executions")[0] == 200, what="a target's start")

    def executions(self):
        """How often each key ran, over all live targets."""
        total = {}
        for address, process in self.targets.items():
            if process.child.poll() is not None:
                continue
            for key, count in json.loads(get(address, "/.stand-in/executions")[2])["executions"].items():
                total[key] = total.get(key, 0) + count
        return total

    def start_instance(self, zone=None, **settings):
        zone = zone or ZONES[len(self.instances) % len(ZONES)]
        caller, peer, admin = (f"127.0.0.1:{free_port()}" for _ in range(3))
        defaults = {"threads": 1, "keep_ms": 1000, "drain_ms": 1500, "log_level": "warning"}
        flags = [f"--{name}={value}" for name, value in {**defaults, **settings}.items()]
        process = Process(
            f"instance-{self.started}",
            [BUILD / "Programs/pomelospread", f"--listen={caller}", f"--peer_listen={peer}",
             f"--admin_listen={admin}", f"--zone={zone}", f"--platform={self.platform_address}", *flags],
            self.folder,
        )
        self.started += 1
        instance = Instance(process, caller, peer, admin, zone)
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

    def control(self, *arguments, check=True, timeout=60):
        """Runs pomelospreadctl on this fleet's files; answers the finished process."""
        command = [BUILD / "Programs/pomelospreadctl", f"--platform={self.platform_address}",
                   f"--routes={self.folder}/routes.toml", f"--pools={self.folder}/pools.toml",
                   f"--lock={self.folder}/tables.lock", *arguments]
        done = subprocess.run([str(word) for word in command], capture_output=True, text=True, timeout=timeout)
        if check and done.returncode != 0:
            raise RuntimeError(f"pomelospreadctl {arguments} ended with {done.returncode}: {done.stderr}")
        return done

    def apply(self, homes=0, wait=True):
        self.write_tables(homes)
        return self.control("apply", "--output=json", "--wait=true" if wait else "--wait=false")

    def wait_for_members(self, count=None, limit=START_LIMIT_S):
        live = [one for one in self.instances if one.process.child.poll() is None]
        count = count or len(live)

        def all_known():
            return all(
                sum(member["status"] == "alive" for member in one.status()["members"]) >= count for one in live
            )

        wait_until(all_known, limit, what="every instance knowing the others")

    def deciding_pair(self, path):
        """The instances that decide on callers' non-idempotent requests to a path now, by role."""
        live = [one for one in self.instances if one.process.child.poll() is None]
        asked = json.loads(get(live[0].caller, f"/.pomelospread/addresses?path={path}&method=POST")[2])
        _, primary, witness, _ = asked["key_prefix"].split("-")
        by_id = {one.status()["id"]: one for one in live}
        return {"primary": by_id[primary], "witness": by_id[witness]}

    def caller(self, name="caller", ask=None, **settings):
        """Starts the caller stand-in; its summary is read with `summary`."""
        addresses = ask or [one.caller for one in self.instances]
        flags = [f"--{key}={value}" for key, value in settings.items()]
        self.started += 1
        return Process(
            f"{name}-{self.started}",
            [BUILD / "StandIns/caller_stand_in", f"--ask={','.join(addresses)}", f"--customer={name}", *flags],
            self.folder,
        )

    def stop_instance(self, instance, timeout=60):
        """A planned stop; answers the exit code."""
        instance.process.signal(signal.SIGTERM)
        return instance.process.wait(timeout)

    def stop_all(self):
        """A planned stop of everything; answers each process's exit code by its name."""
        codes = {}
        running = [one.process for one in self.instances if one.process.child.poll() is None]
        for process in running:
            process.signal(signal.SIGTERM)
        for process in running:
            codes[process.name] = process.wait(60)
        for process in [*self.targets.values(), self.platform]:
            if process.child.poll() is None:
                process.signal(signal.SIGTERM)
                codes[process.name] = process.wait(60)
        return codes

    def kill_all(self):
        for process in [*(one.process for one in self.instances), *self.targets.values(), self.platform]:
            if process is not None:
                process.kill()


def summary(process, timeout=120):
    """Waits for a caller stand-in and reads the JSON line that it printed last."""
    process.wait(timeout)
    return json.loads(process.log.read_text().splitlines()[-1])


def trading_office(fleet, instances=3, small=True, **settings):
    """The Trading Office's pools, in full or a few targets each, with its lookups and payments."""
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
    fleet.apply()
