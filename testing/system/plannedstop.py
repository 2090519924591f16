#!/usr/bin/env python3
"""System test of a planned stop: one of two gateways is stopped while callers may still keep its address and send requests.
Guards against requests that it takes too late, passes on to a target and leaves without the target's response, against
callers that get nothing where their request took longer than the stop, and against requests that arrive right before the
process ends and are not read."""
import argparse
import asyncio
import collections
import dataclasses
import itertools
import json
import pathlib
import random
import sys
import tempfile
import time

from processes import System, free_network
from routedhosts import GATEWAY, REGISTRY, SETTINGS

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from messages import Message, call, encode, read_message, split  # noqa: E402

TARGETS = 3  # Of each service.
CALLERS = 60
DEADLINE_S = 10.0
HEARTBEAT_S = 1.0
START_TIMEOUT_S = 30
BLOCKS = 10
BLOCK = 20_000
RETRY_S = 0.05
NOT_RUN_STATUSES = (408, 503)  # Callers repeat the request at the other gateway.
# Callers that come back at once after each refusal, until the gateway accepts no connection any more.
EAGER_CALLERS = 60
# Requests at most once that are sent right before the stop and take longer than it.
LONG_REQUESTS = 6
LONG_PATH = "/orders/long-"
LONG_WORK_S = 9.0
LONG_SENT_BEFORE_S = 0.5
# Requests that are sent this long after the stop was requested have time left.
EARLY_S = 1.0
# By path: method, kind of the route, service.
ROUTES = {"/reads/": ("GET", "repeatable", "quotes"), "/orders/": ("POST", "at_most_once", "quotes"),
          "/files/": ("GET", "large_read", "files")}


def plan(work_s: float) -> bytes:
    routes = [{"name": service + path, "host": "prices.example", "path_prefix": path, "kind": kind,
               "timeout_ms": round(DEADLINE_S * 1000), "objective_ms": round(work_s * 1000), "rank": 0, "service": service,
               "attempts": 2, "affinity": False} for path, (_, kind, service) in ROUTES.items()]
    services = [{"name": name, "probe_path": "/health", "connections": 1000, "slow_start_s": 0, "slow_start_per_s": 100}
                for name in ("quotes", "files")]
    return json.dumps({"version": 1, "routes": routes, "services": services}).encode()


class Target:
    """Answers each request after a random time up to `work_s`; files begin at once and take that long."""

    def __init__(self, name: str, service: str, address: str, work_s: float):
        self.name = name
        self.service = service
        self.address = address
        self.work_s = work_s
        self.rng = random.Random(name)
        self.runs: set[str] = set()

    async def serve(self):
        return await asyncio.start_server(self._on_connection, *split(self.address))

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        try:
            while request := await read_message(reader):
                request_id = request.headers.get("saltvane-request-id", "")
                if request.start[1].startswith("/health"):
                    writer.write(encode("HTTP/1.1 200 OK", {"Saltvane-Request-Id": request_id}))
                    continue
                self.runs.add(request_id)
                work_s = LONG_WORK_S if request.start[1].startswith(LONG_PATH) else self.rng.uniform(0, self.work_s)
                await self._respond(writer, request_id, work_s)
        except OSError:
            pass  # The gateway closed the connection.
        finally:
            writer.transport.abort()

    async def _respond(self, writer: asyncio.StreamWriter, request_id: str, work_s: float):
        if self.service != "files":
            await asyncio.sleep(work_s)
            writer.write(encode("HTTP/1.1 200 OK", {"Saltvane-Request-Id": request_id}, b"ok"))
            return
        writer.write(f"HTTP/1.1 200 OK\r\nSaltvane-Request-Id: {request_id}\r\nContent-Length: {BLOCKS * BLOCK}\r\n\r\n".encode())
        for _ in range(BLOCKS):
            await asyncio.sleep(work_s / BLOCKS)
            writer.write(b"x" * BLOCK)
            await writer.drain()

    async def report(self, control: str):
        for sequence in itertools.count(1):
            body = json.dumps({"service": self.service, "address": self.address, "zone": "north-a", "slots": 100,
                               "state": "ready", "slow_start_left_ms": 0, "sequence": sequence}).encode()
            await call(control, "POST", f"/v1/targets/{self.name}/heartbeat", body)
            await asyncio.sleep(HEARTBEAT_S)


@dataclasses.dataclass
class Attempt:
    """One request to the gateway that is stopped."""
    request_id: str
    path: str
    sent_at: float
    response: Message | None = None  # None: the connection closed before a complete response.

    @property
    def status(self) -> int:
        return self.response.status if self.response else 0


class Caller:
    """Sends one request after the other, on a kept connection while the gateway leaves it open."""

    def __init__(self, number: int, fronts: list[str]):
        self.number = number
        self.path = list(ROUTES)[number % len(ROUTES)]
        self.method = ROUTES[self.path][0]
        self.fronts = fronts  # The one that is stopped comes first.
        self.attempts: list[Attempt] = []
        self.unserved = 0
        self.sent = 0
        self.connection = None

    async def run(self):
        while True:
            if not await self._request():
                self.unserved += 1
                await asyncio.sleep(RETRY_S)

    async def run_eagerly(self):
        while (attempt := await self.send(self.fronts[0])) is not None:
            self.attempts.append(attempt)

    async def _request(self) -> bool:
        """False if no gateway served the request. Connections that closed without a response are judged by what ran."""
        attempt = await self.send(self.fronts[0])
        if attempt is not None:
            self.attempts.append(attempt)
            if attempt.status not in NOT_RUN_STATUSES:
                return attempt.status in (0, 200)
            await asyncio.sleep(RETRY_S if attempt.status == 408 else float(attempt.response.headers["retry-after"]))
        attempt = await self.send(self.fronts[1])
        return attempt is not None and attempt.status == 200

    async def send(self, front: str) -> Attempt | None:
        """None: the gateway accepts no connection."""
        self.sent += 1
        attempt = Attempt(f"try-{self.number}-{self.sent}", self.path, time.monotonic())
        headers = {"Host": "prices.example", "Saltvane-Request-Id": attempt.request_id,
                   "Saltvane-Deadline-Ms": str(round(DEADLINE_S * 1000))}
        kept, self.connection = self.connection, None
        if kept is not None and kept[0] == front:
            _, reader, writer = kept
        else:
            if kept is not None:
                kept[2].transport.abort()
            try:
                reader, writer = await asyncio.open_connection(*split(front))
            except OSError:
                return None
        is_kept = False
        try:
            writer.write(encode(f"{self.method} {self.path}{self.sent} HTTP/1.1", headers, b"x" if self.method == "POST" else b""))
            async with asyncio.timeout(DEADLINE_S + 1):
                attempt.response = await read_message(reader)
            is_kept = attempt.response is not None and attempt.response.headers.get("connection") != "close"
        except (OSError, TimeoutError):
            pass
        finally:
            if is_kept:
                self.connection = (front, reader, writer)
            else:
                writer.transport.abort()
        return attempt


class Deployment:
    def __init__(self, system: System, options: argparse.Namespace):
        self.system = system
        self.work_s = options.work_s
        network = free_network()
        self.control = f"{network}.1:18080"
        self.fronts = [f"{network}.{last}:18080" for last in (2, 3)]
        self.targets = [Target(f"t-{number}", "quotes" if number < TARGETS else "files", f"{network}.{101 + number}:18080",
                               options.work_s) for number in range(2 * TARGETS)]
        settings = SETTINGS.replace("look_up_ttl_s: 1", f"look_up_ttl_s: {options.ttl_s}")
        for name, role, ip, role_settings in (("registry", "registry", f"{network}.1", REGISTRY),
                                              ("stopping", "gateway", f"{network}.2", GATEWAY),
                                              ("other", "gateway", f"{network}.3", GATEWAY)):
            text = (settings + role_settings).format(role=role, ip=ip, seed=f"{network}.1", key="l" * 40)
            (system.folder / f"{name}.yaml").write_text(text)

    async def start(self):
        for name in ("registry", "stopping", "other"):
            self.system.start_host(name)
        end = time.monotonic() + START_TIMEOUT_S
        while (response := await call(self.control, "PUT", "/v1/plan", plan(self.work_s), {"Saltvane-Plan-Base": "0"})) is None \
                or response.status != 200:
            assert time.monotonic() < end, f"the plan is not accepted: {response}"
            await asyncio.sleep(0.1)

    async def wait_until_served(self):
        end = time.monotonic() + START_TIMEOUT_S
        for front in self.fronts:
            for path in ROUTES:
                for number in itertools.count():
                    headers = {"Host": "prices.example", "Saltvane-Request-Id": f"first-{number}"}
                    response = await call(front, ROUTES[path][0], path, headers=headers, timeout_s=DEADLINE_S)
                    if response is not None and response.status == 200:
                        break
                    assert time.monotonic() < end, f"{front} does not serve {path}"
                    await asyncio.sleep(0.1)


def send_long_requests(deployment: "Deployment") -> list[asyncio.Task]:
    tasks = []
    for number in range(LONG_REQUESTS):
        caller = Caller(CALLERS + number, deployment.fronts)
        caller.path, caller.method = LONG_PATH, "POST"
        tasks.append(asyncio.create_task(caller.send(deployment.fronts[0])))
    return tasks


def judge_long_requests(attempts: list[Attempt]) -> list[str]:
    reasons = [attempt.response.headers.get("saltvane-reason", "") if attempt.response else "" for attempt in attempts]
    outcomes = collections.Counter((attempt.status, reason) for attempt, reason in zip(attempts, reasons, strict=True))
    print(f"requests that took longer than the stop, by status and reason: {dict(outcomes)}", flush=True)
    return [f"a request that took longer than the stop got {outcome}" for outcome in outcomes
            if outcome != (502, "stop-time-limit")]


def judge(callers: list[Caller], targets: list[Target], stopped_at: float, exit_code: int) -> list[str]:
    runs = set().union(*(target.runs for target in targets))
    attempts = [attempt for caller in callers for attempt in caller.attempts]
    late = [attempt for attempt in attempts if attempt.sent_at >= stopped_at]
    lost = [attempt for attempt in attempts if attempt.request_id in runs and attempt.status != 200]
    early = [attempt for attempt in late if attempt.sent_at < stopped_at + EARLY_S]
    unanswered = [attempt for attempt in attempts if attempt.response is None and attempt.request_id not in runs]
    counts = collections.Counter(attempt.status for attempt in late)
    by_path = collections.Counter(attempt.path for attempt in lost)
    unserved = sum(caller.unserved for caller in callers)
    print(f"{len(attempts)} requests, {len(late)} after the stop was requested, by status {dict(sorted(counts.items()))}; "
          f"lost {len(lost)} {dict(by_path)}; without a response {len(unanswered)}; not served by any gateway {unserved}; "
          f"exit code {exit_code}", flush=True)
    findings = [f"{attempt.path} sent {attempt.sent_at - stopped_at:.2f} s after the stop was requested: "
                f"its target ran it, the caller got {attempt.status}" for attempt in lost]
    findings += [f"{attempt.path} got 408 that does not say that it was not run" for attempt in attempts
                 if attempt.status == 408 and attempt.response.headers.get("saltvane-outcome") != "not-run"]
    findings += [f"{attempt.path} sent {attempt.sent_at - stopped_at:.2f} s after the stop was requested: not run, but its "
                 "caller got neither a response nor a refusal" for attempt in unanswered]
    if not any(attempt.status == 200 for attempt in early):
        findings.append("no request was served though there was time")
    if unserved > 0:
        findings.append(f"{unserved} requests were served by no gateway")
    if exit_code != 1:  # The long requests were cut.
        findings.append(f"the gateway ended with exit code {exit_code}")
    return findings


async def run(system: System, options: argparse.Namespace) -> list[str]:
    deployment = Deployment(system, options)
    servers = [await target.serve() for target in deployment.targets]
    await deployment.start()
    reports = [asyncio.create_task(target.report(deployment.control)) for target in deployment.targets]
    await deployment.wait_until_served()
    callers = [Caller(number, deployment.fronts) for number in range(CALLERS)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(options.seconds)
    long_requests = send_long_requests(deployment)
    await asyncio.sleep(LONG_SENT_BEFORE_S)
    stopped_at = time.monotonic()
    eager = [Caller(CALLERS + LONG_REQUESTS + number, deployment.fronts) for number in range(EAGER_CALLERS)]
    eager_tasks = [asyncio.create_task(caller.run_eagerly()) for caller in eager]
    exit_code = await asyncio.to_thread(system.stop, "stopping")
    await asyncio.gather(*eager_tasks)
    await asyncio.sleep(RETRY_S)
    findings = judge(callers + eager, deployment.targets, stopped_at, exit_code)
    findings += judge_long_requests(await asyncio.gather(*long_requests))
    for task in (*tasks, *reports):
        task.cancel()
    for server in servers:
        server.close()
    await asyncio.gather(*tasks, *reports, return_exceptions=True)
    return findings


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binaries", type=pathlib.Path)
    parser.add_argument("--seconds", type=float, default=6, help="of requests before the stop")
    parser.add_argument("--ttl-s", type=float, default=4, help="how long callers may keep a look-up answer")
    parser.add_argument("--work-s", type=float, default=1.5, help="longest time that a target takes")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        system = System(options.binaries.resolve(), pathlib.Path(folder))
        try:
            findings = asyncio.run(run(system, options))
            if findings:
                system.print_logs()
        finally:
            system.end()
    for finding in findings:
        print(f"  {finding}")
    print(f"planned stop: {len(findings)} findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
