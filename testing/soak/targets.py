"""Targets of the soak test: they run requests, count every run, send heartbeats to registry hosts, leave and crash."""
import asyncio
import collections
import contextlib
import hashlib
import itertools
import json
import random
import time
import typing

from forwarder import Forwarder
from messages import call, read_message, split
from surplus import DIGEST, REQUEST_ID, FaultyConnection, Reply

HEARTBEAT_S = 1.0
SLOTS = 3
HEALTH_PATH = "/health"
QUEUE_CAPACITY = 3
FATAL_MARKER = "fatal"  # In a path: the request crashes each target that runs it.
RESTART_DELAY_S = (1.5, 3.5)  # Before a target restarts after such a crash.
FAILED_RATE = 0.3  # Responses with status 500, of the requests that a target runs while it sends surplus responses.
incarnation_ids = itertools.count(1)


class Given(typing.NamedTuple):
    """The response of a target to a request."""
    status: int
    digest: str
    body: bytes


class Runs:
    """What targets ran and announced, over all of their incarnations."""

    def __init__(self):
        self.count = collections.Counter()  # By request id.
        self.executions: list[tuple[float, str, str]] = []  # Time, incarnation, zone.
        self.services: dict[str, set[str]] = collections.defaultdict(set)  # By request id.
        self.fatal: list[tuple[float, str, str]] = []  # Time, path, request id.
        self.limits: list[tuple[float, str, float | None]] = []  # Time, incarnation, the limit announced from then on.
        self.arrivals: list[tuple[float, str, str, str]] = []  # Time, incarnation, address, request id.
        # Responses that announce a limit: time, incarnation, request id.
        self.limit_responses: list[tuple[float, str, str]] = []
        # Responses that request backoff: time, incarnation, request id, seconds.
        self.backoffs: list[tuple[float, str, str, float]] = []
        # Responses that announce that the target leaves: time, incarnation, request id.
        self.leaving_responses: list[tuple[float, str, str]] = []
        # Request id, incarnation, seconds since its leave was acknowledged.
        self.after_leave: list[tuple[str, str, float]] = []
        self.slow_starts: list[tuple[float, float, str]] = []  # Start, end, incarnation.
        self.responses: dict[str, list[Given]] = collections.defaultdict(list)  # By request id; first responses of runs only.

    def record(self, request: str, target: "Target"):
        self.count[request] += 1
        self.executions.append((time.monotonic(), target.incarnation, target.zone))
        self.services[request].add(target.service)
        if target.leave_acknowledged_at is not None:
            self.after_leave.append((request, target.incarnation, time.monotonic() - target.leave_acknowledged_at))


class Target:
    """A target behind a forwarder with a fixed address; every incarnation has its own id, unless a fault keeps it."""

    def __init__(self, address: str, backend_address: str, service: str, zone: str, registries: list[str], runs: Runs,
                 rng: random.Random, surplus_rng: random.Random):
        self.forwarder = Forwarder(address, backend_address)
        self.service = service
        self.zone = zone
        self.registries = registries
        self.runs = runs
        self.rng = rng
        self.surplus_rng = surplus_rng  # Its own, so that recorded seeds keep drawing the same sequence.
        self.id = ""
        self.incarnation = ""  # In what is recorded; differs for each start, also under the same id.
        self.starts_of_id = 0
        self.started_ms: int | None = None  # States its start in heartbeats, so that it may start again under its id.
        self.is_reporting = False
        self.first_registry: str | None = None  # That it reports to after its start; none: a random one.
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.late_reports: set[asyncio.Task] = set()  # Those of the tasks that deliver a heartbeat late.
        self.running = 0
        self.state = "ready"
        self.limit: float | None = None  # Requests per second, over all gateways.
        self.backoff_s: float | None = None  # If set, every request is refused with this many seconds in Retry-After.
        self.announces_leaving = False  # In every response, while it still reports as ready.
        self.sends_surplus = False  # Sends second responses, cut ones and failures.
        self.leave_acknowledged_at: float | None = None  # When a registry host acknowledged the leaving heartbeat.
        self.slow_until = 0.0  # End of its slow start: requests take twice as long.
        self.states_slow_start = False  # In its answers to health checks, too.
        self.report_delay_s = 0.0  # Heartbeats that it sends until reports_delayed_until arrive this much later.
        self.reports_delayed_until = 0.0
        self.restart_task: asyncio.Task | None = None

    async def start(self, states_start: bool = False, keeps_id: bool = False, first_registry: str | None = None):
        if self.limit is not None:
            self.announce_limit(None)  # Its responses name none any more, also those under the same id.
        if not keeps_id:
            self.id = f"t-{next(incarnation_ids)}"
            self.starts_of_id = 0
        self.starts_of_id += 1
        self.incarnation = self.id if self.starts_of_id == 1 else f"{self.id}/{self.starts_of_id}"
        self.started_ms = round(time.time() * 1000) if states_start else None
        self.is_reporting = True
        self.first_registry = first_registry
        self.state = "ready"
        self.backoff_s = None
        self.announces_leaving = False
        self.sends_surplus = False
        self.leave_acknowledged_at = None
        self.slow_until = 0.0
        self.states_slow_start = False
        self.reports_delayed_until = 0.0
        self.running = 0
        self.server = await asyncio.start_server(self._serve, *split(self.forwarder.destination))
        self._track(asyncio.create_task(self._report()))

    def announce_limit(self, limit: float | None):
        self.limit = limit
        self.runs.limits.append((time.monotonic(), self.incarnation, limit))

    def begin_slow_start(self, duration_s: float):
        self.slow_until = time.monotonic() + duration_s
        self.runs.slow_starts.append((time.monotonic(), self.slow_until, self.incarnation))

    def delay_reports(self, delay_s: float, duration_s: float):
        self.report_delay_s = delay_s
        self.reports_delayed_until = time.monotonic() + duration_s

    def crash(self, loses_late_reports: bool = True):
        """Stops the server and aborts all running requests at once."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for task in list(self.tasks):
            if loses_late_reports or task not in self.late_reports:
                task.cancel()

    def can_restart_without_start(self) -> bool:
        """Whether it runs, and nobody has been told its start or that it leaves."""
        return (self.server is not None and self.state == "ready" and not self.announces_leaving
                and self.started_ms is None)

    async def restart_without_start(self, down_s: float, slow_start_s: float, is_refusing: bool):
        """Crashes and starts again under its id, without a start and in a slow start. Its reports are counted from one again;
        late ones of before are still delivered.

        `is_refusing`: meanwhile its address refuses connections; otherwise it accepts and resets them."""
        self.crash(loses_late_reports=False)
        if is_refusing:
            await self.forwarder.stop()
        await asyncio.sleep(down_s)
        if is_refusing:
            await self.forwarder.start()
        if self.server is not None:
            return  # Another fault has started it.
        await self.start(keeps_id=True)
        self.states_slow_start = True
        self.begin_slow_start(slow_start_s)

    async def _crash_and_restart(self):
        """Crashes; nothing listens at the address until the restart."""
        self.crash()
        if self.state == "leaving":
            return  # The fault that made it leave restarts it.
        await self.forwarder.stop()
        await asyncio.sleep(self.rng.uniform(*RESTART_DELAY_S))
        await self.forwarder.start()
        await self.start()

    def _track(self, task: asyncio.Task):
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _report(self):
        registry = self.first_registry or self.rng.choice(self.registries)
        for sequence in itertools.count(1):
            if not self.is_reporting:
                return
            leaving = self.state == "leaving"
            start = {} if self.started_ms is None else {"started_ms": self.started_ms}
            body = json.dumps({"service": self.service, "address": self.forwarder.listen, "zone": self.zone, "slots": SLOTS,
                               "state": self.state, "slow_start_left_ms": self._slow_start_left_ms(),
                               "sequence": sequence, **start}).encode()
            if time.monotonic() < self.reports_delayed_until:
                late = asyncio.create_task(self._send_late(body))
                self._track(late)
                self.late_reports.add(late)
                late.add_done_callback(self.late_reports.discard)
                await asyncio.sleep(HEARTBEAT_S)
                continue
            response = await call(registry, "POST", f"/v1/targets/{self.id}/heartbeat", body, timeout_s=1)
            if response is None or response.status != 200:
                registry = self.rng.choice(self.registries)
                await asyncio.sleep(0.1)
                continue
            if leaving and self.leave_acknowledged_at is None:
                self.leave_acknowledged_at = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    async def call_leave(self, states_start: bool, goes_on_reporting: bool):
        """Calls /leave at registry hosts in random order until one acknowledges it."""
        self.is_reporting = goes_on_reporting
        body = json.dumps({"started_ms": self.started_ms}).encode() if states_start else b""
        while self.server is not None and self.leave_acknowledged_at is None:
            response = await call(self.rng.choice(self.registries), "POST", f"/v1/targets/{self.id}/leave", body, timeout_s=1)
            if response is not None and response.status == 200:
                self.leave_acknowledged_at = time.monotonic()
            else:
                await asyncio.sleep(0.05)

    def _slow_start_left_ms(self) -> int:
        return max(0, round((self.slow_until - time.monotonic()) * 1000))

    async def _send_late(self, body: bytes):
        """Delivers a heartbeat after the delay, to any registry host that accepts it."""
        path = f"/v1/targets/{self.id}/heartbeat"
        await asyncio.sleep(self.report_delay_s)
        for registry in self.rng.sample(self.registries, len(self.registries)):
            response = await call(registry, "POST", path, body, timeout_s=1)
            if response is not None and response.status == 200:
                return

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._track(asyncio.current_task())
        connection = FaultyConnection(writer, self.surplus_rng)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):  # A crash cancels this task.
                while request := await read_message(reader):
                    kind = connection.draw() if self.sends_surplus else None
                    # What it says of itself need not reach a gateway that loses the response.
                    is_received = kind != "cut and closed" and not connection.has_surplus
                    if not connection.send(await self._respond(request, is_received), kind):
                        break
        finally:
            connection.end()
            writer.transport.abort()

    async def _respond(self, request, is_received: bool) -> Reply:
        request_id = request.headers.get("saltvane-request-id", "")
        headers = {REQUEST_ID: request_id, "Saltvane-Load": f"{self.running},0,{SLOTS}"}
        if request.headers.get("saltvane-expect-target") != self.id:
            return Reply("HTTP/1.1 421 Misdirected", headers)
        self.runs.arrivals.append((time.monotonic(), self.incarnation, self.forwarder.listen, request_id))
        if self.states_slow_start and request.start[1] == HEALTH_PATH and self._slow_start_left_ms() > 0:
            headers["Saltvane-Slow-Start-Left-Ms"] = str(self._slow_start_left_ms())
        if self.announces_leaving:
            headers["Saltvane-Leaving"] = "1"
            if is_received:
                self.runs.leaving_responses.append((time.monotonic(), self.incarnation, request_id))
        if self.backoff_s is not None:
            if is_received:
                self.runs.backoffs.append((time.monotonic(), self.incarnation, request_id, self.backoff_s))
            return self._refuse("Resting", {**headers, "Retry-After": str(self.backoff_s)})
        if self.running >= SLOTS + QUEUE_CAPACITY:
            return self._refuse("Full", headers)
        if FATAL_MARKER in request.start[1]:
            self.runs.fatal.append((time.monotonic(), request.start[1], request_id))
            await asyncio.sleep(self.rng.uniform(0.005, 0.08))
            self.restart_task = asyncio.create_task(self._crash_and_restart())
            await asyncio.sleep(60)  # The crash cancels this wait.
        self.runs.record(request_id, self)
        self.running += 1
        try:
            slowness = 2 if time.monotonic() < self.slow_until else 1
            await asyncio.sleep(self.rng.uniform(0.005, 0.08) * slowness)
        finally:
            self.running -= 1
        if self.limit is not None:
            headers["Saltvane-Limit"] = str(self.limit)
            if is_received:
                self.runs.limit_responses.append((time.monotonic(), self.incarnation, request_id))
        return self._reply(request_id, headers)

    def _refuse(self, reason: str, headers: dict[str, str]) -> Reply:
        reply = Reply(f"HTTP/1.1 503 {reason}", {**headers, "Saltvane-Not-Run": "1"})
        return reply.without_id() if self.sends_surplus and self.surplus_rng.random() < 0.5 else reply

    def _reply(self, request_id: str, headers: dict[str, str]) -> Reply:
        """The response to a request that was run, with a digest by which the target recognizes it as its own."""
        has_failed = self.sends_surplus and self.surplus_rng.random() < FAILED_RATE
        status, reason = (500, "Internal Server Error") if has_failed else (200, "OK")
        body = f"failed {request_id}".encode() if has_failed else response_body(request_id)
        digest = hashlib.sha256(f"{self.id} {request_id} {status} ".encode() + body).hexdigest()[:24]
        self.runs.responses[request_id].append(Given(status, digest, body))
        return Reply(f"HTTP/1.1 {status} {reason}", {**headers, DIGEST: digest}, body)


def response_body(request_id: str) -> bytes:
    """The response body for this request; it differs for every request id."""
    return f"answer to {request_id} ".encode() * 20
