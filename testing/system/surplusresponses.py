#!/usr/bin/env python3
"""System test of targets that send surplus bytes: one response in twelve is followed by a second one, late, whole or cut, on a
connection on which the target goes on serving. Guards against responses that are attributed to a request by their place on a
connection: a caller gets the status of another response, or a request is repeated though it runs."""
import argparse
import asyncio
import collections
import concurrent.futures
import contextlib
import itertools
import json
import pathlib
import random
import sys
import tempfile
import time

from processes import System, free_network
from responseledger import ID, MAX_STATUS, MIN_STATUS, Ledger, Outcome
from routedhosts import GATEWAY, REGISTRY, SETTINGS
from surplustargets import SURPLUS_DELAY_S, Case, Target

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from messages import call, encode, split  # noqa: E402

PAUSE_S = (0, 0.02)  # Of a caller between a response and its next request.
DEADLINE_S = 3.0
MAX_RETRY_AFTER_S = 0.2
SERVED_IN_A_ROW = 20
START_TIMEOUT_S = 30
# A gateway that keeps no connection to a target that once sent surplus bytes receives few of them from a few targets.
MANY_TARGETS = 40
BLOCK = 8 * 1024

CASES = [
    Case("whole copies"),
    Case("cut in the head", copy="head"),
    Case("cut in the head, 2 targets", copy="head", targets=2, callers=6),
    Case("cut in the head, 40 targets", copy="head", targets=MANY_TARGETS),
    Case("cut in the body", copy="body"),
    Case("other status and body", differs=True),
    Case("other status and body, 40 targets", differs=True, targets=MANY_TARGETS),
    Case("refusals without id", refused_rate=0.3, only_refusals=True, copy_without_id=True, refusal_without_id=True),
    Case("refusals without id, 2 targets", refused_rate=0.3, only_refusals=True, copy_without_id=True,
         refusal_without_id=True, targets=2, callers=6),
    Case("copies of refusals without id, 40 targets", refused_rate=0.3, only_refusals=True, copy_without_id=True,
         targets=MANY_TARGETS),
    Case("copies without id", copy_without_id=True),
    Case("copies without id, 2 targets", copy_without_id=True, targets=2, callers=6),
    Case("health checks", copy=None, health_checks=True),
    Case("cut and closed", copy=None, closes=True, no_body_rate=0.05),
    Case("after responses without body", no_body_rate=0.4),
    Case("invalid statuses", copy=None, invalid_rate=0.1),
    Case("invalid statuses, 2 targets", copy=None, invalid_rate=0.1, targets=2, callers=6),
    Case("other status, invalid, and body", differs=True, differs_invalidly=True),
    Case("other status, invalid, and body, 40 targets", differs=True, differs_invalidly=True, targets=MANY_TARGETS),
]


def plan() -> bytes:
    def route(prefix: str, kind: str) -> dict:
        return {"name": prefix.strip("/"), "host": "prices.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 3000,
                "objective_ms": 500, "rank": 0, "service": "quotes", "attempts": 2, "affinity": False}

    return json.dumps({
        "version": 1, "routes": [route("/read/", "repeatable"), route("/once/", "at_most_once")],
        "services": [{"name": "quotes", "probe_path": "/health", "connections": 1000, "slow_start_s": 0,
                      "slow_start_per_s": 100}]}).encode()


async def read_response(reader: asyncio.StreamReader, outcome: Outcome):
    """Raises an error if the response is not complete or its status is invalid."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
    status = int(lines[0].split(" ")[1])
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise ValueError(f"invalid status {status}")
    body = b""
    if outcome.method == "HEAD" or status in (204, 304):
        pass
    elif headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read()
    outcome.status, outcome.headers, outcome.body = status, headers, body


class Caller:
    """Sends requests one after the other, on one connection as long as the gateway keeps it."""

    def __init__(self, number: int, front: str, rng: random.Random, ledger: Ledger):
        self.number = number
        self.front = front
        self.rng = rng
        self.ledger = ledger
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, seconds: float):
        end = time.monotonic() + seconds
        for number in itertools.count(1):
            if time.monotonic() >= end:
                break
            await self.send(f"try-{self.number}-{number}", self._draw_method(), self.ledger)
            await self._wait_without_request(self.rng.uniform(*PAUSE_S))
        await self._wait_without_request(SURPLUS_DELAY_S[1] + 0.1)
        self._close()

    def _draw_method(self) -> str:
        return self.rng.choices(("POST", "GET", "HEAD"), (50, 45, 5))[0]

    async def send(self, request: str, method: str, ledger: Ledger) -> Outcome:
        outcome = ledger.outcomes[request] = Outcome(request, method)
        try:
            async with asyncio.timeout(DEADLINE_S + 1):
                if self.connection is None:
                    self.connection = await asyncio.open_connection(*split(self.front))
                reader, writer = self.connection
                headers = {"Host": "prices.example", ID: request, "Saltvane-Deadline-Ms": str(round(DEADLINE_S * 1000))}
                path = f"/{'once' if outcome.is_once else 'read'}/{request}"
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, b"body" if outcome.is_once else b""))
                await read_response(reader, outcome)
        except (OSError, EOFError, TimeoutError):
            self._close()
        except (ValueError, IndexError, asyncio.LimitOverrunError):
            ledger.invalid.append(request)
            self._close()
        if outcome.headers.get("connection", "").lower() == "close":
            self._close()
        if "retry-after" in outcome.headers:
            await self._wait_without_request(min(MAX_RETRY_AFTER_S, float(outcome.headers["retry-after"])))
        return outcome

    async def _wait_without_request(self, seconds: float):
        """Waits, and records what arrives meanwhile."""
        end = time.monotonic() + seconds
        if self.connection is not None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(seconds):
                    received = await self.connection[0].read(BLOCK)
                    if received:
                        self.ledger.unasked_bytes.append(received)
                    self._close()
        await asyncio.sleep(max(0, end - time.monotonic()))

    def _close(self):
        if self.connection is not None:
            self.connection[1].transport.abort()
        self.connection = None


class Deployment:
    def __init__(self, system: System, case: Case, seed: int):
        self.system = system
        network = free_network()
        self.control, self.front = f"{network}.1:18080", f"{network}.2:18080"
        self.ledger = Ledger()
        rng = random.Random(f"{seed} {case.name}")
        self.targets = [Target(f"t-{number}", f"{network}.{101 + number}:18080", case, random.Random(rng.random()), self.ledger)
                        for number in range(case.targets)]
        self.callers = [Caller(number, self.front, random.Random(rng.random()), self.ledger) for number in range(case.callers)]
        for name, ip, settings in (("registry", f"{network}.1", REGISTRY), ("gateway", f"{network}.2", GATEWAY)):
            text = (SETTINGS + settings).format(role=name, ip=ip, seed=f"{network}.1", key="l" * 40)
            (system.folder / f"{name}.yaml").write_text(text)

    async def start(self):
        for name in ("registry", "gateway"):
            self.system.start_host(name)
        end = time.monotonic() + START_TIMEOUT_S
        while (response := await call(self.control, "PUT", "/v1/plan", plan(), {"Saltvane-Plan-Base": "0"})) is None \
                or response.status != 200:
            assert time.monotonic() < end, f"the plan is not accepted: {response}"
            await asyncio.sleep(0.1)

    async def wait_until_served(self):
        end = time.monotonic() + START_TIMEOUT_S
        in_a_row = 0
        while in_a_row < SERVED_IN_A_ROW:
            assert time.monotonic() < end, "requests are not served"
            outcome = await self.callers[0].send("start", "GET", Ledger())
            in_a_row = in_a_row + 1 if outcome.status == 200 else 0
            if outcome.status != 200:
                await asyncio.sleep(0.1)
        self.ledger.runs.clear()

    async def run(self, seconds: float):
        servers = [await target.serve() for target in self.targets]
        await self.start()
        reports = [asyncio.create_task(target.report(self.control)) for target in self.targets]
        await self.wait_until_served()
        for target in self.targets:
            target.is_faulty = True
        await asyncio.gather(*(caller.run(seconds) for caller in self.callers))
        for task in reports:
            task.cancel()
        for server in servers:
            server.close()


def describe(case: Case, ledger: Ledger) -> str:
    def answered(methods: tuple[str, ...]) -> str:
        outcomes = [outcome for outcome in ledger.outcomes.values() if outcome.method in methods]
        return f"{sum(map(ledger.is_answered, outcomes)) / max(1, len(outcomes)):.3f}"

    requests = len(ledger.outcomes)
    once = [outcome for outcome in ledger.outcomes.values() if outcome.is_once]
    failed = collections.Counter(outcome.status for outcome in once if not ledger.is_answered(outcome))
    requested = sum(count for carried, count in ledger.connections.items() if False in carried)
    wrong = {kind: len(what) for kind, what in ledger.wrong().items()}
    wrong_requests = len(set(itertools.chain.from_iterable(ledger.wrong().values())))
    return (f"{case.name}: {requests} requests, {ledger.faults} faults ({ledger.faults_at_requests} in the place of a response), {wrong_requests} wrong {wrong or ''}; answered "
            f"{answered(('POST',))} of at most once, {answered(('GET', 'HEAD'))} of repeatable; at most once failed "
            f"{failed.total()} of {len(once)}, by status {dict(sorted(failed.items()))}; "
            f"{requested / max(1, requests):.3f} new connections a request, {ledger.connections[frozenset((True, False))]} of them "
            f"also for health checks; {ledger.health_checks} health checks")


def run_case(binaries: pathlib.Path, case: Case, seconds: float, seed: int, keep: pathlib.Path | None) -> tuple[str, list[str]]:
    """Runs one case in a deployment of its own. Returns its figures and its findings."""
    with tempfile.TemporaryDirectory() as folder:
        system = System(binaries, pathlib.Path(folder))
        try:
            deployment = Deployment(system, case, seed)
            asyncio.run(deployment.run(seconds))
        except BaseException:
            system.print_logs()
            raise
        finally:
            system.end()
        findings = [f"{case.name}: {len(what)} times {kind}, such as {', '.join(what[:3])}"
                    for kind, what in deployment.ledger.wrong().items()]
        if case.targets == MANY_TARGETS and deployment.ledger.faults_at_requests == 0:
            findings.append(f"{case.name}: no second response was sent in the place of another response")
        if keep and findings:
            logs = keep / case.name.replace(" ", "-")
            logs.mkdir(parents=True, exist_ok=True)
            for log in pathlib.Path(folder).glob("*.log"):
                (logs / log.name).write_bytes(log.read_bytes())
    return describe(case, deployment.ledger), findings


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binaries", type=pathlib.Path)
    parser.add_argument("--seconds", type=float, default=4, help="for each case")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", action="append", help="run only the cases with this text in their name; may be given several times")
    parser.add_argument("--jobs", type=int, default=2, help="cases at a time, each in a deployment of its own")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs of cases with findings")
    options = parser.parse_args()
    cases = [case for case in CASES if not options.only or any(text in case.name for text in options.only)]
    findings = []
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        for future in [pool.submit(run_case, options.binaries.resolve(), case, options.seconds, options.seed, options.keep)
                       for case in cases]:
            figures, case_findings = future.result()
            print(figures, flush=True)
            findings += case_findings
    for finding in findings:
        print(f"  {finding}")
    print(f"surplus responses: {len(cases)} cases, {len(findings)} findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
