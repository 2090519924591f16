#!/usr/bin/env python3
"""System test of callers that close their connections while the gateway that has their requests is stopped: what it sends on
when it continues. Guards against requests that reach a target long after their callers have left."""
import argparse
import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

from processes import System, free_network
from routedhosts import GATEWAY, REGISTRY, SETTINGS

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from messages import call, encode, read_message, split  # noqa: E402

TARGETS = 3
CALLERS = 9
STOP_DELAY_S = (0, 0.003)  # From the last request until the gateway is stopped.
CLOSE_DELAY_S = 0.1
STOPPED_S = 0.8
LATE_S = 0.5  # From a caller's close; later arrivals count.
# A stop between the last look at the caller's socket and the first byte lets one request through.
MAX_LATE_PER_STOP = 1
MAX_LATE = 3
HEARTBEAT_S = 1.0
START_TIMEOUT_S = 30


@dataclasses.dataclass
class Kind:
    """A kind of request, and whether targets keep their connections."""
    method: str
    route: str
    body: bytes
    keeps_connections: bool


KINDS = (Kind("GET", "/read/", b"", False), Kind("GET", "/read/", b"", True), Kind("POST", "/once/", b"x" * 300, False))


def plan() -> bytes:
    def route(prefix: str, kind: str) -> dict:
        return {"name": prefix.strip("/"), "host": "prices.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 3000,
                "objective_ms": 500, "rank": 0, "service": "quotes", "attempts": 2, "affinity": True}

    return json.dumps({
        "version": 1, "routes": [route("/read/", "repeatable"), route("/once/", "at_most_once")],
        "services": [{"name": "quotes", "probe_path": "/health", "connections": 1000, "slow_start_s": 0,
                      "slow_start_per_s": 100}]}).encode()


class Target:
    """Records when each request arrives, and answers at once."""

    def __init__(self, name: str, address: str, arrivals: dict[str, float]):
        self.name = name
        self.address = address
        self.arrivals = arrivals
        self.keeps_connections = False

    async def serve(self):
        return await asyncio.start_server(self._on_connection, *split(self.address))

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        with contextlib.suppress(OSError):
            while request := await read_message(reader):
                request_id = request.headers.get("saltvane-request-id", "")
                self.arrivals[request_id] = time.monotonic()
                headers = {"Saltvane-Request-Id": request_id, "Saltvane-Load": "0,0,100",
                           "Connection": "keep-alive" if self.keeps_connections else "close"}
                writer.write(encode("HTTP/1.1 200 OK", headers, b"ok"))
                if not self.keeps_connections:
                    break
        writer.close()

    async def report(self, control: str):
        for sequence in range(1, 1_000_000):
            body = json.dumps({"service": "quotes", "address": self.address, "zone": "north-a", "slots": 100,
                               "state": "ready", "slow_start_left_ms": 0, "sequence": sequence}).encode()
            await call(control, "POST", f"/v1/targets/{self.name}/heartbeat", body)
            await asyncio.sleep(HEARTBEAT_S)


class Deployment:
    def __init__(self, system: System, rng: random.Random):
        self.system = system
        self.rng = rng
        network = free_network()
        self.control, self.front = f"{network}.1:18080", f"{network}.2:18080"
        self.arrivals: dict[str, float] = {}
        self.targets = [Target(f"t-{i}", f"{network}.{101 + i}:18080", self.arrivals) for i in range(TARGETS)]
        self.requests = 0
        for name, ip, settings in (("registry", f"{network}.1", REGISTRY), ("gateway", f"{network}.2", GATEWAY)):
            text = (SETTINGS + settings).format(role=name, ip=ip, seed=f"{network}.1", key="l" * 40)
            (system.folder / f"{name}.yaml").write_text(text)

    def encode_request(self, kind: Kind) -> tuple[str, bytes]:
        self.requests += 1
        request_id = f"try-{self.requests}"
        headers = {"Host": "prices.example", "Saltvane-Request-Id": request_id, "Saltvane-Deadline-Ms": "3000",
                   "Saltvane-Object": str(self.rng.randrange(40))}
        return request_id, encode(f"{kind.method} {kind.route}{self.requests} HTTP/1.1", headers, kind.body)

    async def is_served(self, kind: Kind) -> bool:
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout(3):
                reader, writer = await asyncio.open_connection(*split(self.front))
                try:
                    writer.write(self.encode_request(kind)[1])
                    response = await read_message(reader)
                finally:
                    writer.transport.abort()
                return response is not None and response.status == 200
        return False

    async def wait_until_served(self, kind: Kind):
        end = time.monotonic() + START_TIMEOUT_S
        while not await self.is_served(kind):
            assert time.monotonic() < end, "no request is served"
            await asyncio.sleep(0.05)

    async def start(self):
        for name in ("registry", "gateway"):
            self.system.start_host(name)
        end = time.monotonic() + START_TIMEOUT_S
        while (response := await call(self.control, "PUT", "/v1/plan", plan(), {"Saltvane-Plan-Base": "0"})) is None \
                or response.status != 200:
            assert time.monotonic() < end, f"the plan is not accepted: {response}"
            await asyncio.sleep(0.1)


async def late_arrivals(deployment: Deployment, kind: Kind) -> int:
    """Sends one burst of requests, stops the gateway and closes the callers' connections. Returns how many requests reached
    a target later than LATE_S after that."""
    await deployment.wait_until_served(kind)
    gateway = deployment.system.processes["gateway"]
    connections = [await asyncio.open_connection(*split(deployment.front)) for _ in range(CALLERS)]
    requests = []
    for _, writer in connections:
        request_id, message = deployment.encode_request(kind)
        requests.append(request_id)
        writer.write(message)
    time.sleep(deployment.rng.uniform(*STOP_DELAY_S))
    gateway.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(CLOSE_DELAY_S)
        for _, writer in connections:
            writer.transport.abort()
        closed_at = time.monotonic()
        await asyncio.sleep(STOPPED_S)
    finally:
        gateway.send_signal(signal.SIGCONT)
    await asyncio.sleep(0.2)
    return sum(deployment.arrivals.get(request, closed_at) - closed_at > LATE_S for request in requests)


async def run(system: System, rounds: int, seed: int):
    deployment = Deployment(system, random.Random(seed))
    servers = [await target.serve() for target in deployment.targets]
    await deployment.start()
    reports = [asyncio.create_task(target.report(deployment.control)) for target in deployment.targets]
    failures = []
    for kind in KINDS:
        for target in deployment.targets:
            target.keeps_connections = kind.keeps_connections
        late = [await late_arrivals(deployment, kind) for _ in range(rounds)]
        print(f"{kind.method} {kind.route}, connections {'kept' if kind.keeps_connections else 'not kept'}: "
              f"{sum(late)} of {rounds * CALLERS} requests late, at most {max(late)} after one stop", flush=True)
        if max(late) > MAX_LATE_PER_STOP or sum(late) > MAX_LATE:
            failures.append(kind)
    for task in reports:
        task.cancel()
    for server in servers:
        server.close()
    assert not failures, f"requests were sent on after their callers had left: {failures}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binaries", type=pathlib.Path)
    parser.add_argument("--rounds", type=int, default=8, help="stops for each kind of request")
    parser.add_argument("--seed", type=int, default=1, help="of the moments of the stops")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        system = System(options.binaries.resolve(), pathlib.Path(folder))
        try:
            asyncio.run(run(system, options.rounds, options.seed))
        except BaseException:
            system.print_logs()
            raise
        finally:
            system.end()
    print("disconnected callers: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
