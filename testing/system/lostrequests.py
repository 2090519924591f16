#!/usr/bin/env python3
"""System test for requests that callers have written whole and that get neither a response nor a refusal, beside plan changes,
pauses and planned stops. Guards against connections that are closed unread, and against refusals of requests that were run."""
import argparse
import asyncio
import collections
import contextlib
import datetime
import itertools
import json
import pathlib
import random
import re
import signal
import sys
import tempfile
import time

from lostledger import Attempt, Caller, Ledger, Request
from processes import System, free_network
from routedhosts import GATEWAY, SETTINGS

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from forwarder import Forwarder, Partition  # noqa: E402
from messages import call, encode, read_message, split  # noqa: E402

TARGETS = 6  # So many that fail in one zone show that the fault is on the gateway's side.
GATEWAYS = 3
HEARTBEAT_S = 0.5
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 20
DEADLINE_MS = 3000
MAX_WORK_S = 0.03
RETRY_S = 0.05
MAX_REST_S = 6.0
MAX_WAY_S = 0.02  # As over a network: the end of a connection and a request may cross.
PLAN_INTERVAL_S = (0.05, 0.8)
IDLE_S = (0.05, 2.5)
HEADER_S = (0.05, 0.5)
LARGE_PLAN_ROUTES = 800
PAUSE_S = (0.2, 3.0)
LOG_SPAN_S = 1.0
REGISTRY = """control_address: "{ip}:18080"
directory_address: "{ip}:18081"
data_folder: data-{name}
"""
LOOK_UP = Request("look-up", "GET", "/v1/entry?zone=north-a&region=north")
PLAN_READ = Request("plan read", "GET", "/v1/plan")
# Refused, whatever the plan is: its base is no version.
PLAN_TEST = Request("plan test", "PUT", "/v1/plan", b" " * 30_000 + b"{}", headers={"Saltvane-Plan-Base": "1000000000"})


class Plans:
    """Replaces the plan again and again, by requests that the ledger records, too."""

    def __init__(self, deployment: "Deployment", rng: random.Random):
        self.deployment = deployment
        self.rng = rng
        self.version = 0
        self.idle_s, self.header_s = 15.0, 3.0
        self.caller = Caller("plans", deployment.ledger, rng)

    def encode(self, version: int) -> bytes:
        paths = {"/reads/": "repeatable", "/orders/": "at_most_once"}
        if version % 2 == 0:
            paths["/seldom/"] = "at_most_once"
        names = random.Random(version)
        count = LARGE_PLAN_ROUTES if version % 3 == 0 else 0
        paths.update({f"/{names.getrandbits(64):x}/": "repeatable" for _ in range(count)})
        routes = [{"name": "r" + path, "host": "prices.example", "path_prefix": path, "kind": kind, "timeout_ms": DEADLINE_MS,
                   "objective_ms": 100, "rank": 0, "service": "quotes", "attempts": 2, "affinity": False}
                  for path, kind in paths.items()]
        services = [{"name": "quotes", "probe_path": "/health", "connections": 200, "slow_start_s": 0, "slow_start_per_s": 100}]
        limits = {"idle_timeout_ms": round(self.idle_s * 1000), "header_timeout_ms": round(self.header_s * 1000)}
        return json.dumps({"version": version, "routes": routes, "services": services, "limits": limits}).encode()

    async def run(self):
        while not self.deployment.is_ending:
            await asyncio.sleep(self.rng.uniform(*PLAN_INTERVAL_S))
            self.idle_s = self.rng.uniform(IDLE_S[0], self.rng.uniform(*IDLE_S))  # Mostly short.
            self.header_s = self.rng.uniform(*HEADER_S)
            await self.replace()

    async def replace(self) -> bool:
        version = self.version + 1
        request = Request("plan", "PUT", "/v1/plan", self.encode(version), headers={"Saltvane-Plan-Base": str(self.version)})
        self.deployment.ledger.note(f"plan {version} idle {self.idle_s:.2f} header {self.header_s:.2f}")
        address = self.rng.choice(self.deployment.controls)
        for _ in range(3):
            attempt = await self.caller.send(address, request)
            if attempt is None or attempt.status != 307:
                break
            address = attempt.headers["location"].removeprefix("http://").partition("/")[0]
        if attempt is not None and attempt.status == 200:
            self.version = version
            return True
        response = await call(self.rng.choice(self.deployment.controls), "GET", "/v1/plan")
        if response is not None and response.status == 200:
            self.version = json.loads(response.body)["version"]
        return False


class Deployment:
    def __init__(self, system: System, options: argparse.Namespace, registries: int):
        self.system = system
        self.rng = random.Random(f"{options.case}-{options.seed}")
        self.ledger = Ledger()
        self.options = options
        self.ending = asyncio.Event()
        network = free_network()
        self.hosts = {f"registry-{number}": f"{network}.{1 + number}" for number in range(registries)}
        self.hosts.update({f"gateway-{number}": f"{network}.{11 + number}" for number in range(GATEWAYS)})
        self.gateways = [name for name in self.hosts if name.startswith("gateway")]
        self.registries = [name for name in self.hosts if name.startswith("registry")]
        self.fronts = [f"{self.hosts[name]}:18080" for name in self.gateways]
        self.controls = [f"{self.hosts[name]}:18080" for name in self.registries]
        self.directories = [f"{self.hosts[name]}:18081" for name in self.registries]
        # As callers know a target, and where it listens.
        self.targets = [(f"{network}.{101 + number}:18080", f"{network}.{151 + number}:18080") for number in range(TARGETS)]
        self.forwarders = [Forwarder(*target) for target in self.targets]
        self.plans = Plans(self, self.rng)
        self.tasks: list[asyncio.Task] = []
        self.servers: list[asyncio.Server] = []

    @property
    def is_ending(self) -> bool:
        return self.ending.is_set()

    async def rest(self, seconds: float):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.ending.wait()

    def launch(self, name: str, is_first: bool = False):
        role = name.partition("-")[0]
        seeds = ", ".join(f'"{self.hosts[registry]}:19000"' for registry in self.registries)
        settings = (SETTINGS.replace('seeds: ["{seed}:19000"]', "seeds: [{seed}]")
                    .replace("stop_time_limit_s: 6", "stop_time_limit_s: 2")
                    .replace("first_start: true", f"first_start: {str(is_first).lower()}"))
        text = (settings + (GATEWAY if role == "gateway" else REGISTRY)).format(
            role=role, ip=self.hosts[name], seed=seeds, key="l" * 40, name=name)
        (self.system.folder / f"{name}.yaml").write_text(text)
        self.system.start_host(name)

    async def start(self):
        for name in self.hosts:
            self.launch(name, is_first=True)
        for number, (_, backend) in enumerate(self.targets):
            await self.forwarders[number].start()
            self.servers.append(await asyncio.start_server(self._serve_target, *split(backend)))
            self.tasks.append(asyncio.create_task(self._report(number)))
        await self._wait("the first plan", self.plans.replace)
        for front in self.fronts:
            await self._wait(f"service at {front}", lambda front=front: self._is_served(front))
        self.ledger.attempts.clear()

    async def _wait(self, description: str, condition):
        end = time.monotonic() + START_TIMEOUT_S
        while not await condition():
            assert time.monotonic() < end, f"timed out waiting for {description}"
            await asyncio.sleep(0.1)

    async def _is_served(self, front: str) -> bool:
        headers = {"Host": "prices.example", "Saltvane-Request-Id": f"first-{time.monotonic_ns()}"}
        response = await call(front, "GET", "/reads/", headers=headers)
        return response is not None and response.status == 200

    async def _serve_target(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        try:
            while request := await read_message(reader):
                request_id = request.headers.get("saltvane-request-id", "")
                if not request.start[1].startswith("/health"):
                    self.ledger.runs[request_id] += 1
                    await asyncio.sleep(self.rng.uniform(0, MAX_WORK_S))
                writer.write(encode("HTTP/1.1 200 OK", {"Saltvane-Request-Id": request_id}, b"ok"))
        except OSError:
            pass  # The gateway closed the connection.
        finally:
            writer.transport.abort()

    async def _report(self, number: int):
        for sequence in itertools.count(1):
            body = json.dumps({"service": "quotes", "address": self.targets[number][0], "zone": "north-a", "slots": 100,
                               "state": "ready", "slow_start_left_ms": 0, "sequence": sequence}).encode()
            for control in random.sample(self.controls, len(self.controls)):
                response = await call(control, "POST", f"/v1/targets/t-{number}/heartbeat", body, timeout_s=1)
                if response is not None and response.status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def restart(self, name: str, is_paused: bool):
        """A planned stop, with pauses meanwhile or not, and a start when it has ended."""
        process = self.system.processes.pop(name)
        self.ledger.note(f"SIGTERM {name}")
        process.send_signal(signal.SIGTERM)
        try:
            while is_paused and process.poll() is None:
                await asyncio.sleep(self.rng.uniform(0, 0.4))
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.05, 0.5))
                process.send_signal(signal.SIGCONT)
            await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)
        finally:
            process.kill()
        self.ledger.note(f"ended {name} with {process.returncode}")
        await asyncio.sleep(self.rng.uniform(0, 0.3))
        self.launch(name)

    async def stop_in_turns(self, names: list[str], is_paused: bool = False):
        for name in itertools.cycle(names):
            await asyncio.sleep(self.rng.uniform(0.1, 1))
            if self.is_ending:
                return
            await self.restart(name, is_paused)
            await self._wait_until_back(name)

    async def _wait_until_back(self, name: str):
        """Registry hosts stop one at a time, so that most of them always run."""
        ip = self.hosts[name]
        path = "/v1/plan" if name in self.registries else "/v1/ready"
        port = 18080 if name in self.registries else 18081
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end and not self.is_ending:
            response = await call(f"{ip}:{port}", "GET", path, timeout_s=1, redirects=0)
            if response is not None and response.status == 200:
                return
            await asyncio.sleep(0.05)

    async def pause_in_turns(self):
        for name in itertools.cycle(self.gateways):
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            if self.is_ending:
                return
            process = self.system.processes[name]
            self.ledger.note(f"SIGSTOP {name}")
            process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            finally:
                process.send_signal(signal.SIGCONT)
                self.ledger.note(f"SIGCONT {name}")

    async def send_reloads(self):
        while not self.is_ending:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            name = self.rng.choice(self.gateways)
            self.ledger.note(f"SIGHUP {name}")
            self.system.processes[name].send_signal(signal.SIGHUP)

    def isolate(self, name: str):
        partition = Partition(lambda: [self.system.processes[name].pid] if name in self.system.processes else [],
                              self.rng.choice(["reset", "hang"]))
        self.ledger.note(f"{name} isolated by {partition.kind}")
        for forwarder in self.forwarders:
            forwarder.begin(partition)


def draw_rest(rng: random.Random, plans: Plans, kept_s: int | None) -> float:
    """Up to, at and beyond the time that the last response named, and where the host closes the connection."""
    kept_s = kept_s or 0
    closes_s = max(kept_s, plans.idle_s) + plans.header_s
    rest = rng.choice([rng.uniform(0, 0.3), rng.uniform(0, kept_s), kept_s + rng.uniform(-0.02, 0.1),
                       closes_s + rng.uniform(-0.02, 0.03), closes_s + rng.uniform(-0.02, 0.03)])
    return min(max(rest, 0.0), MAX_REST_S)


def draw_request(rng: random.Random, pieces: int) -> Request:
    headers = {"Saltvane-Deadline-Ms": str(DEADLINE_MS)}
    if rng.random() < 0.4:
        return Request("read", "GET", f"/reads/{rng.randrange(100)}", headers=headers)
    path = "/seldom/" if rng.random() < 0.1 else "/orders/"
    size = rng.choice([1, 100, 20_000] if pieces > 1 else [1, 100])
    return Request("order", "POST", f"{path}{rng.randrange(100)}", rng.randbytes(size), is_once=True, headers=headers)


async def call_gateways(deployment: Deployment, caller: Caller, fronts: list[str], is_resting: bool):
    """`is_resting`: else it comes back at once after each response."""
    rng = caller.rng
    address = rng.choice(fronts)
    while not deployment.is_ending:
        rest_s = draw_rest(rng, deployment.plans, caller.kept_s) if is_resting else 0
        await deployment.rest(rest_s)
        attempt = await caller.send(address, draw_request(rng, caller.pieces), rest_s)
        if attempt is None:
            await asyncio.sleep(RETRY_S if rng.random() < 0.5 else 0)
            address = rng.choice(fronts)


async def call_registries(deployment: Deployment, caller: Caller, is_resting: bool):
    rng = caller.rng
    request, addresses = rng.choice([(LOOK_UP, deployment.directories), (PLAN_READ, deployment.controls),
                                     (PLAN_TEST, deployment.controls)])
    address = rng.choice(addresses)
    while not deployment.is_ending:
        rest_s = rng.choice([0, rng.uniform(0, 0.1), rng.uniform(0, 1.5)]) if is_resting else 0
        await deployment.rest(rest_s)
        attempt = await caller.send(address, request, rest_s)
        if attempt is None or attempt.status == 503:
            await asyncio.sleep(0 if attempt else RETRY_S)
            address = rng.choice(addresses)


class Callers:
    """Starts callers of all sorts: on the way for some time or not, with requests in pieces or whole."""

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.tasks: list[asyncio.Task] = []

    def start(self, count: int, eager: int, fronts: list[str]):
        for number in range(count + eager):
            caller = self._make(number, "at-once" if number >= count else "")
            self.tasks.append(asyncio.create_task(call_gateways(self.deployment, caller, fronts, number < count)))

    def start_at_registries(self, count: int, eager: int):
        for number in range(count + eager):
            caller = self._make(number, "registry")
            self.tasks.append(asyncio.create_task(call_registries(self.deployment, caller, number < count)))

    def _make(self, number: int, kind: str) -> Caller:
        rng = random.Random(f"{self.deployment.options.case}-{self.deployment.options.seed}-{kind}-{number}")
        way_s = MAX_WAY_S if number % 2 == 1 else 0
        pieces = 3 if number % 4 >= 2 else 1
        name = f"{kind or 'resting'}{number}{'-way' if way_s > 0 else ''}{'-pieces' if pieces > 1 else ''}"
        caller = Caller(name, self.deployment.ledger, rng, way_s, pieces, rng.choice([0.01, 0.3]))
        caller.is_keeping = kind == "" or number % 8 < 4
        return caller


def start_case(deployment: Deployment, callers: Callers) -> list[asyncio.Task]:
    """Starts callers, and what happens around them."""
    count, eager = deployment.options.callers, 12
    disturbances = [deployment.plans.run()]
    match deployment.options.case:
        case "limits":
            callers.start(count, 0, deployment.fronts)
            disturbances.append(deployment.send_reloads())
        case "isolation":
            callers.start(count, eager, deployment.fronts[:1])
            deployment.isolate(deployment.gateways[0])
            disturbances.append(deployment.stop_in_turns(deployment.gateways[1:]))
        case "registries":
            callers.start_at_registries(count, eager)
            callers.start(count // 4, 0, deployment.fronts)
            disturbances.append(deployment.stop_in_turns(deployment.registries))
        case "pauses":
            callers.start(count, 0, deployment.fronts)
            disturbances.append(deployment.pause_in_turns())
        case "stops":
            callers.start(count, 2 * eager, deployment.fronts)
            disturbances.append(deployment.stop_in_turns(deployment.gateways))
        case "pausedstops":
            callers.start(count, 2 * eager, deployment.fronts)
            disturbances.append(deployment.stop_in_turns(deployment.gateways, is_paused=True))
    return [asyncio.create_task(disturbance) for disturbance in disturbances]


CASES = ("limits", "isolation", "registries", "pauses", "stops", "pausedstops")
STEADY_CASES = ("limits", "stops")


def close_lines(folder: pathlib.Path, attempts: list[Attempt]) -> list[str]:
    """What the hosts logged of connections that they closed, at the time of these attempts."""
    lines = []
    for log in sorted(folder.glob("*.log")):
        for line in log.read_text(errors="replace").splitlines():
            match = re.match(r"time=(\S+) ", line)
            if match is None or "event=connection_closed" not in line:
                continue
            at = datetime.datetime.fromisoformat(match[1]).replace(tzinfo=datetime.timezone.utc).timestamp()
            if any(abs(at - attempt.written_at) < LOG_SPAN_S for attempt in attempts):
                lines.append(f"{log.stem}: {line}")
    return lines


async def run(system: System, options: argparse.Namespace) -> Ledger:
    deployment = Deployment(system, options, registries=3 if options.case == "registries" else 1)
    callers = Callers(deployment)
    try:
        await deployment.start()
        disturbances = start_case(deployment, callers)
        await asyncio.sleep(options.seconds)
        deployment.ending.set()
        await asyncio.gather(*callers.tasks, *disturbances)
        await asyncio.sleep(0.5)  # Logs are written some times a second.
    finally:
        for task in (*deployment.tasks, *callers.tasks):
            task.cancel()
        for forwarder in deployment.forwarders:
            await forwarder.stop()
        for server in deployment.servers:
            server.close()
        await asyncio.sleep(0.1)  # Connections of the targets end.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*deployment.tasks, return_exceptions=True)
    return deployment.ledger


def report(options: argparse.Namespace, ledger: Ledger, folder: pathlib.Path) -> int:
    findings = ledger.findings()
    for finding in findings[:options.shown]:
        print(f"  {finding}")
    for line in close_lines(folder, ledger.lost())[:options.shown]:
        print(f"  {line}")
    statuses = collections.Counter((attempt.status, attempt.headers.get("saltvane-reason", "")) for attempt in ledger.attempts)
    kept = sum(attempt.is_kept for attempt in ledger.attempts)
    events = collections.Counter(event.split(" ")[0] for _, event in ledger.events)
    print(f"{options.case}, seed {options.seed}: {len(ledger.attempts)} requests written whole, {kept} of them on kept connections, "
          f"{len(ledger.lost())} lost, {len(findings)} findings; ended at rest {ledger.ended_at_rest}, not written whole "
          f"{ledger.not_whole}; by status: {dict(statuses)}; events: {dict(events)}", flush=True)
    return len(findings)


def play(options: argparse.Namespace) -> int:
    with tempfile.TemporaryDirectory() as folder:
        system = System(options.binaries.resolve(), pathlib.Path(folder))
        try:
            ledger = asyncio.run(run(system, options))
            return report(options, ledger, system.folder)
        except BaseException:
            system.print_logs()
            raise
        finally:
            system.end()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binaries", type=pathlib.Path)
    parser.add_argument("--case", action="append", choices=CASES, help="default: the steady ones")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=4, help="for each case")
    parser.add_argument("--callers", type=int, default=120)
    parser.add_argument("--shown", type=int, default=20, help="findings and lines of logs that are printed")
    options = parser.parse_args()
    findings = 0
    for case in options.case or STEADY_CASES:
        findings += play(argparse.Namespace(**{**vars(options), "case": case}))
    print(f"lost requests: {findings} findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
