#!/usr/bin/env python3
"""System test of callers that don't behave: a crowd of them, at a registry host and a gateway with little memory and few descriptors.
Guards against a process that ends or exceeds its memory, and against ordinary callers without an answer."""
import argparse
import asyncio
import collections
import contextlib
import itertools
import json
import multiprocessing
import pathlib
import subprocess
import sys
import tempfile
import time

from crowdclients import BODY_BYTES, CROWDS, REQUEST_TIMEOUT_S, run_crowd, run_ordinary_caller, send_request
from processes import System, free_network
from routedhosts import GATEWAY, REGISTRY, SETTINGS

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from messages import call, encode, split  # noqa: E402

MEMORY_MB = 64
DESCRIPTORS = 256
FREE_DESCRIPTORS = 16  # For links, targets, the disk and the operators' addresses.
LOWERED = f"memory_mb: {MEMORY_MB}\n"
HEADER_TIMEOUT_MS = 2000
IDLE_TIMEOUT_MS = 3000
LARGE_ANSWER = b"x" * BODY_BYTES
TARGETS = 2
SLOW_S = 3
HEARTBEAT_S = 0.5
WATCH_INTERVAL_S = 0.02
KILL_ABOVE_MB = 1500  # Protects the machine that runs the test.
START_TIMEOUT_S = 30
CROWD_TIMEOUT_S = 10  # Until the crowd counts as complete in any case.
MIN_CROWD_S = 2  # From then on; memory and descriptors are watched meanwhile.
ANSWER_TIMEOUT_S = 30  # Only a bound against hanging: a loaded machine may take long.
ONE_BODY = "one-body"  # No crowd, and one request of the longest legal length.
# A request that gets one of these has not run and will not.
NOT_RUN = {408, 413, 421, 429, 431, 503}
STATUSES = {200, 400, 404, 405, 502, 504} | NOT_RUN


def plan() -> bytes:
    def route(name: str, service: str) -> dict:
        return {"name": name, "host": "prices.example", "path_prefix": f"/{name}/", "kind": "at_most_once",
                "timeout_ms": REQUEST_TIMEOUT_S * 1000, "objective_ms": 500, "rank": 0, "service": service, "attempts": 2,
                "affinity": False}

    services = [{"name": name, "probe_path": "/health", "connections": 1000, "slow_start_s": 0, "slow_start_per_s": 100}
                for name in ("quotes", "empty")]
    return json.dumps({"version": 1, "services": services,
                       "routes": [route("quotes", "quotes"), route("slow", "quotes"), route("large", "quotes"), route("empty", "empty")],
                       "limits": {"header_bytes": 16384, "body_bytes": BODY_BYTES, "header_timeout_ms": HEADER_TIMEOUT_MS,
                                  "idle_timeout_ms": IDLE_TIMEOUT_MS}}).encode()


class Target:
    """Answers each request with the length of its body, after SLOW_S or with a large body if its path says so, and records its id."""

    def __init__(self, name: str, address: str, runs: collections.Counter):
        self.name = name
        self.address = address
        self.runs = runs

    async def serve(self):
        return await asyncio.start_server(self._on_connection, *split(self.address))

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        # Cancelled at the end of the test.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
                request_id = headers.get("saltvane-request-id", "")
                path = lines[0].split(" ")[1]
                if not path.startswith("/health"):
                    self.runs[request_id] += 1
                length = left = int(headers.get("content-length", 0))
                while left > 0 and (block := await reader.read(min(left, 64 * 1024))):
                    left -= len(block)
                if left > 0:
                    break
                if "slow" in path:
                    await asyncio.sleep(SLOW_S)
                answer = LARGE_ANSWER if path.startswith("/large/") else str(length).encode()
                writer.write(encode("HTTP/1.1 200 OK", {"Saltvane-Request-Id": request_id}, answer))
                await writer.drain()
        writer.transport.abort()

    async def report(self, control: str):
        for sequence in itertools.count(1):
            body = json.dumps({"service": "quotes", "address": self.address, "zone": "north-a", "slots": 100,
                               "state": "ready", "slow_start_left_ms": 0, "sequence": sequence}).encode()
            await call(control, "POST", f"/v1/targets/{self.name}/heartbeat", body)
            await asyncio.sleep(HEARTBEAT_S)


class Watch:
    """Records the peak of a process's memory and open descriptors, and ends it far above its memory limit."""

    def __init__(self, name: str, process: subprocess.Popen):
        self.name = name
        self._process = process
        self._folder = pathlib.Path(f"/proc/{process.pid}")
        self.peak_mb = 0.0
        self.descriptors = 0
        self.is_ended_here = False

    async def run(self):
        while self._process.poll() is None:
            self.observe()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def observe(self):
        with contextlib.suppress(OSError):
            status = dict(line.split(":", 1) for line in (self._folder / "status").read_text().splitlines())
            if "VmHWM" not in status:  # The process has ended.
                return
            self.peak_mb = max(self.peak_mb, int(status["VmHWM"].split()[0]) / 1024)
            self.descriptors = max(self.descriptors, sum(1 for _ in (self._folder / "fd").iterdir()))
            if int(status["VmRSS"].split()[0]) / 1024 > KILL_ABOVE_MB:
                self.is_ended_here = True
                self._process.kill()

    def findings(self) -> list[str]:
        self.observe()
        findings = []
        if self.is_ended_here:
            findings.append(f"{self.name} was ended by this test above {KILL_ABOVE_MB} MB")
        elif self._process.poll() is not None:
            findings.append(f"{self.name} ended with {self._process.returncode}")
        if self.peak_mb > MEMORY_MB:
            findings.append(f"{self.name} had {self.peak_mb:.0f} MB of memory, {MEMORY_MB} allowed")
        if self.descriptors > DESCRIPTORS - FREE_DESCRIPTORS:
            findings.append(f"{self.name} had {self.descriptors} open descriptors, {DESCRIPTORS - FREE_DESCRIPTORS} allowed")
        return findings


class Client:
    """A process that runs one of the functions of crowdclients."""

    def __init__(self, function, *arguments):
        context = multiprocessing.get_context("spawn")
        self.control, other = context.Pipe()
        self.process = context.Process(target=function, args=(*arguments, other), daemon=True)
        self.process.start()
        other.close()

    async def receive(self, end: float):
        """What the process says next; none: nothing until then."""
        while not self.control.poll():
            if time.monotonic() >= end:
                return None
            await asyncio.sleep(0.01)
        return self.control.recv()

    def end(self):
        self.process.kill()
        self.process.join()


class Deployment:
    def __init__(self, system: System):
        self.system = system
        network = free_network()
        registry, gateway = f"{network}.1", f"{network}.2"
        self.addresses = {"control": f"{registry}:18080", "directory": f"{registry}:18081", "front": f"{gateway}:18080",
                          "readiness": f"{gateway}:18081", "metrics": f"{gateway}:18082"}
        self.runs: collections.Counter[str] = collections.Counter()
        self.targets = [Target(f"t-{number}", f"{network}.{101 + number}:18080", self.runs) for number in range(TARGETS)]
        self.watches: list[Watch] = []
        self.bodies = 0
        for name, ip, settings in (("registry", registry, REGISTRY), ("gateway", gateway, GATEWAY)):
            text = (SETTINGS + settings + LOWERED).format(role=name, ip=ip, seed=registry, key="l" * 40)
            (system.folder / f"{name}.yaml").write_text(text)

    async def start(self):
        for name in ("registry", "gateway"):
            self.watches.append(Watch(name, self.system.start_host(name, descriptors=DESCRIPTORS)))
        end = time.monotonic() + START_TIMEOUT_S
        while (response := await call(self.addresses["control"], "PUT", "/v1/plan", plan(), {"Saltvane-Plan-Base": "0"})) is None \
                or response.status != 200:
            assert time.monotonic() < end, f"the plan is not accepted: {response}"
            await asyncio.sleep(0.1)

    async def is_body_answered(self, length: int, end: float) -> bool:
        """Whether a request with a body of that length is answered; it is sent again until then."""
        while time.monotonic() < end:
            self.bodies += 1
            response = await send_request(self.addresses["front"], "/quotes/1", f"body-{self.bodies}", b"x" * length,
                                          REQUEST_TIMEOUT_S)
            if response == (200, str(length).encode()):
                return True
            await asyncio.sleep(0.1)
        return False


async def is_answered_since(ordinary: Client, moment: float) -> bool:
    """Whether an ordinary request that was sent after that moment is answered."""
    end = time.monotonic() + ANSWER_TIMEOUT_S
    while message := await ordinary.receive(end):
        sent_at, _, response = message
        if sent_at >= moment and response == (200, b"1"):
            return True
    return False


async def play(deployment: Deployment, name: str) -> list[str]:
    """Plays a crowd beside an ordinary caller."""
    findings = []
    ordinary = Client(run_ordinary_caller, deployment.addresses["front"], CROWDS[name].ordinary_timeout_s)
    crowd = Client(run_crowd, name, deployment.addresses)
    try:
        if await crowd.receive(time.monotonic() + CROWD_TIMEOUT_S) is None:
            print("  the crowd is not complete")
        await asyncio.sleep(MIN_CROWD_S)
        if not await is_answered_since(ordinary, time.monotonic()):
            findings.append(f"no ordinary request was answered for {ANSWER_TIMEOUT_S} s beside the crowd")
        crowd.control.send("end")
        while not isinstance(seen := await crowd.receive(time.monotonic() + CROWD_TIMEOUT_S), dict) and seen is not None:
            pass
        if not await is_answered_since(ordinary, time.monotonic()):
            findings.append(f"no ordinary request was answered for {ANSWER_TIMEOUT_S} s after the crowd")
        ordinary.control.send("end")
        while not isinstance(statuses := await ordinary.receive(time.monotonic() + 2 * REQUEST_TIMEOUT_S), dict) \
                and statuses is not None:
            pass
    finally:
        crowd.end()
        ordinary.end()
    if seen is None or statuses is None:
        return [*findings, "the test's own callers did not end"]
    responses = seen["responses"]
    print(f"  crowd: {seen['connections']} connections, {seen['mib_sent']} MiB sent, at most "
          f"{seen['most_mib']} on one, "
          f"statuses {dict(collections.Counter(status for _, status in responses))}; ordinary: {statuses}", flush=True)
    findings += seen["errors"]
    findings += [f"{request_id} got {status}, but ran" for request_id, status in responses
                 if status in NOT_RUN and deployment.runs[request_id] > 0]
    findings += [f"{request_id} got {status}" for request_id, status in responses if status not in STATUSES]
    findings += [f"{request_id} ran {runs} times" for request_id, runs in deployment.runs.items() if runs > 1]
    return findings


async def run(system: System, name: str) -> list[str]:
    deployment = Deployment(system)
    await deployment.start()
    servers = [await target.serve() for target in deployment.targets]
    tasks = [asyncio.create_task(activity)
             for activity in (*(target.report(deployment.addresses["control"]) for target in deployment.targets),
                              *(watch.run() for watch in deployment.watches))]
    assert await deployment.is_body_answered(1, time.monotonic() + START_TIMEOUT_S), "no request is answered in calm"
    calm = {watch.name: round(watch.peak_mb) for watch in deployment.watches}
    findings = [] if name == ONE_BODY else await play(deployment, name)
    if not await deployment.is_body_answered(BODY_BYTES, time.monotonic() + ANSWER_TIMEOUT_S):
        findings.append("a body of the longest legal length is not answered")
    for watch in deployment.watches:
        findings += watch.findings()
        print(f"  {watch.name}: {watch.peak_mb:.0f} MB at its peak, {calm[watch.name]} before, "
              f"{watch.descriptors} descriptors", flush=True)
    for task in tasks:
        task.cancel()
    for server in servers:
        server.close()
    return findings


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binaries", type=pathlib.Path)
    parser.add_argument("case", choices=[ONE_BODY, *CROWDS])
    options = parser.parse_args()
    start = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        system = System(options.binaries.resolve(), pathlib.Path(folder))
        try:
            findings = asyncio.run(run(system, options.case))
            if findings:
                system.print_logs()
        finally:
            system.end()
    for finding in findings[:20]:
        print(f"  {finding}")
    print(f"crowd {options.case}: {len(findings)} findings, {time.monotonic() - start:.1f} s")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
