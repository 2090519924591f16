#!/usr/bin/env python3
"""System test of targets whose responses never end: three of a service's twelve send bytes until their connection is closed.
Guards against callers without an answer while the other targets could serve them, and against a gateway that buffers the bytes."""
import argparse
import asyncio
import collections
import contextlib
import dataclasses
import itertools
import json
import pathlib
import sys
import tempfile
import time

from processes import System, free_network
from routedhosts import GATEWAY, REGISTRY, SETTINGS

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from messages import call, encode, read_message, split  # noqa: E402

TARGETS = 12
ENDLESS_TARGETS = 3
OTHER_TARGETS = 2  # Of the service without endless responses.
DEADLINE_S = 2.5
ROUTE_TIMEOUT_S = 4
CALL_INTERVAL_S = 0.025
OTHER_CALL_INTERVAL_S = 0.1
HEARTBEAT_S = 1.0
START_TIMEOUT_S = 30
BLOCK = 16 * 1024
SLOW_PAUSE_S = 0.05
# Two requests of each endless target have passed their deadline by then. Requests that are sent later count.
SETTLE_S = 4
# If each request was sent to any target, one in four would end without an answer.
MIN_ANSWERED = 0.95
MIN_OTHERS_ANSWERED = 0.98
MAX_MEMORY_MB = 256  # The gateway's memory limit, the default of its settings.

CHUNKED = "HTTP/1.1 200 OK\r\nSaltvane-Request-Id: {request}\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class EndlessResponse:
    """Targets send the head and then the same bytes again and again."""
    head: str
    repeated: bytes
    pause_s: float | None = None  # Between two writes; none: by the option --pause-ms.
    stated_deadline_s: float = DEADLINE_S  # Of the callers, who leave after DEADLINE_S in any case.


FAST_CHUNK = f"{BLOCK:x}\r\n".encode() + b"x" * BLOCK + b"\r\n"
RESPONSES = {
    "head": EndlessResponse("HTTP/1.1 200 OK\r\nSaltvane-Request-Id: {request}\r\n", b"X-Filler: " + b"x" * 1000 + b"\r\n"),
    "fast body": EndlessResponse(CHUNKED, FAST_CHUNK),
    "body at full speed": EndlessResponse(CHUNKED, FAST_CHUNK, pause_s=0),
    # Callers leave long before the gateway's deadline, so that no response is known to have missed it.
    "body at full speed to callers that leave early": EndlessResponse(CHUNKED, FAST_CHUNK, pause_s=0,
                                                                      stated_deadline_s=ROUTE_TIMEOUT_S),
    "slow body": EndlessResponse(CHUNKED, b"a\r\n0123456789\r\n", pause_s=SLOW_PAUSE_S),
    "chunk size": EndlessResponse(CHUNKED, b"0" * BLOCK),
    "trailers": EndlessResponse(CHUNKED + "0\r\n", b"X-Filler: " + b"x" * 1000 + b"\r\n"),
}


def plan() -> bytes:
    def route(prefix: str, service: str) -> dict:
        return {"name": service, "host": "prices.example", "path_prefix": prefix, "kind": "repeatable",
                "timeout_ms": ROUTE_TIMEOUT_S * 1000, "objective_ms": 500, "rank": 0, "service": service, "attempts": 2, "affinity": False}

    services = [{"name": name, "probe_path": "/health", "connections": 1000, "slow_start_s": 0, "slow_start_per_s": 100}
                for name in ("quotes", "orders")]
    return json.dumps({"version": 1, "routes": [route("/quotes/", "quotes"), route("/orders/", "orders")],
                       "services": services}).encode()


class Target:
    """Answers each request at once, or with an endless response."""

    def __init__(self, name: str, service: str, address: str, pause_s: float):
        self.name = name
        self.pause_s = pause_s
        self.service = service
        self.address = address
        self.response: str | None = None  # Which of RESPONSES it sends; none: complete ones.
        self.streams = 0
        self.most_bytes = 0

    async def serve(self):
        return await asyncio.start_server(self._on_connection, *split(self.address))

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        with contextlib.suppress(OSError):
            while request := await read_message(reader):
                request_id = request.headers.get("saltvane-request-id", "")
                if self.response is not None and not request.start[1].startswith("/health"):
                    await self._send_without_end(writer, request_id)
                    break
                writer.write(encode("HTTP/1.1 200 OK", {"Saltvane-Request-Id": request_id}, b"ok"))
        writer.transport.abort()

    async def _send_without_end(self, writer: asyncio.StreamWriter, request_id: str):
        response = RESPONSES[self.response]
        pause_s = self.pause_s if response.pause_s is None else response.pause_s
        self.streams += 1
        writer.write(response.head.format(request=request_id).encode())
        sent = 0
        while True:
            writer.write(response.repeated)
            sent += len(response.repeated)
            self.most_bytes = max(self.most_bytes, sent)
            await writer.drain()
            await asyncio.sleep(pause_s)

    async def report(self, control: str):
        for sequence in itertools.count(1):
            body = json.dumps({"service": self.service, "address": self.address, "zone": "north-a", "slots": 100,
                               "state": "ready", "slow_start_left_ms": 0, "sequence": sequence}).encode()
            await call(control, "POST", f"/v1/targets/{self.name}/heartbeat", body)
            await asyncio.sleep(HEARTBEAT_S)


class Deployment:
    def __init__(self, system: System, pause_s: float):
        self.system = system
        network = free_network()
        self.control, self.front = f"{network}.1:18080", f"{network}.2:18080"
        self.targets = [Target(f"t-{number}", "quotes" if number < TARGETS else "orders", f"{network}.{101 + number}:18080",
                               pause_s)
                        for number in range(TARGETS + OTHER_TARGETS)]
        self.requests = 0
        self.stated_deadline_s = DEADLINE_S
        for name, ip, settings in (("registry", f"{network}.1", REGISTRY), ("gateway", f"{network}.2", GATEWAY)):
            text = (SETTINGS + settings).format(role=name, ip=ip, seed=f"{network}.1", key="l" * 40)
            (system.folder / f"{name}.yaml").write_text(text)

    async def is_answered(self, service: str) -> bool:
        """Whether one request gets the complete response of a target before its deadline."""
        self.requests += 1
        headers = {"Host": "prices.example", "Saltvane-Request-Id": f"try-{self.requests}",
                   "Saltvane-Deadline-Ms": str(round(self.stated_deadline_s * 1000)), "Connection": "close"}
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(*split(self.front))
                try:
                    writer.write(encode(f"GET /{service}/{self.requests} HTTP/1.1", headers))
                    head = await reader.readuntil(b"\r\n\r\n")
                    if not head.startswith(b"HTTP/1.1 200 "):
                        return False
                    if b"chunked" in head.lower():
                        while await reader.read(BLOCK):
                            pass
                        return False
                    return await reader.read() == b"ok"
                finally:
                    writer.transport.abort()
        return False

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
        while not all(await asyncio.gather(*(self.is_answered(service) for service in ("quotes", "orders") * 10))):
            assert time.monotonic() < end, "not every request is served"
            await asyncio.sleep(0.2)

    def memory_mb(self) -> float:
        """The most memory that the gateway had so far."""
        status = pathlib.Path(f"/proc/{self.system.processes['gateway'].pid}/status").read_text()
        peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(peak.split()[1]) / 1024


async def send_requests(deployment: Deployment, service: str, interval_s: float, seconds: float, answers: collections.Counter):
    async def send_one(is_counted: bool):
        is_answered = await deployment.is_answered(service)
        if is_counted:
            answers[service, is_answered] += 1

    start = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        while (elapsed_s := time.monotonic() - start) < SETTLE_S + seconds:
            tasks.create_task(send_one(elapsed_s >= SETTLE_S))
            await asyncio.sleep(interval_s)


async def check(deployment: Deployment, response: str, seconds: float) -> list[str]:
    await deployment.wait_until_served()
    endless = deployment.targets[:ENDLESS_TARGETS]
    for target in endless:
        target.response = response
    deployment.stated_deadline_s = RESPONSES[response].stated_deadline_s
    answers = collections.Counter()
    await asyncio.gather(send_requests(deployment, "quotes", CALL_INTERVAL_S, seconds, answers),
                         send_requests(deployment, "orders", OTHER_CALL_INTERVAL_S, seconds, answers))
    fractions = {service: answers[service, True] / max(1, answers[service, True] + answers[service, False])
                 for service in ("quotes", "orders")}
    memory_mb = deployment.memory_mb()
    print(f"{response}: {fractions['quotes']:.3f} answered, {fractions['orders']:.3f} of the other service, "
          f"{sum(target.streams for target in endless)} streams, at most {max(target.most_bytes for target in endless)} bytes "
          f"each, {memory_mb:.0f} MB", flush=True)
    findings = []
    if fractions["quotes"] < MIN_ANSWERED or fractions["orders"] < MIN_OTHERS_ANSWERED:
        findings.append(f"{response}: {fractions} answered")
    if memory_mb > MAX_MEMORY_MB:
        findings.append(f"{response}: the gateway had {memory_mb:.0f} MB")
    return findings


async def run(system: System, response: str, seconds: float, pause_s: float) -> list[str]:
    deployment = Deployment(system, pause_s)
    servers = [await target.serve() for target in deployment.targets]
    await deployment.start()
    reports = [asyncio.create_task(target.report(deployment.control)) for target in deployment.targets]
    findings = await check(deployment, response, seconds)
    for task in reports:
        task.cancel()
    for server in servers:
        server.close()
    return findings


def run_processes(binaries: pathlib.Path, *arguments) -> list[str]:
    """Runs one kind of response in a deployment of its own: targets may still be ejected for another one."""
    with tempfile.TemporaryDirectory() as folder:
        system = System(binaries, pathlib.Path(folder))
        try:
            findings = asyncio.run(run(system, *arguments))
            if findings:
                system.print_logs()
            return findings
        finally:
            system.end()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binaries", type=pathlib.Path)
    parser.add_argument("--seconds", type=float, default=4, help="after ejection, for each kind of endless response")
    parser.add_argument("--pause-ms", type=float, default=5, help="between the writes of fast responses; 0: at full speed")
    options = parser.parse_args()
    findings = [finding for response in RESPONSES
                for finding in run_processes(options.binaries.resolve(), response, options.seconds, options.pause_ms / 1000)]
    for finding in findings:
        print(f"  {finding}")
    print(f"endless responses: {len(RESPONSES)} kinds, {len(findings)} findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
