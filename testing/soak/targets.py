"""Targets of the soak: they run requests, count every run, report to registry hosts, leave and crash."""
import asyncio
import collections
import contextlib
import itertools
import json
import random
import time

from forwarder import Forwarder
from messages import call, encode, read_message, split

HEARTBEAT_S = 1.0
SLOTS = 3
QUEUED = 3
FATAL_MARK = "fatal"  # In a path: the request ends each target that runs it.
AWAY_S = (1.5, 3.5)  # Until a target that ended so is back.
ids = itertools.count(1)


class Runs:
    """What targets ran, over all of their starts."""

    def __init__(self):
        self.count = collections.Counter()  # By request id.
        self.at: list[tuple[float, str, str]] = []  # Time, start of the target, zone.
        self.services: dict[str, set[str]] = collections.defaultdict(set)  # By request id.
        self.fatal: list[tuple[float, str, str]] = []  # Time, path, request id.
        self.limits: list[tuple[float, str, float | None]] = []  # Time, start of the target, the limit that it names from then on.
        self.arrivals: list[tuple[float, str, str, str]] = []  # Time, start of the target, its address, request id.
        self.told: list[tuple[float, str, str]] = []  # Answers that name a limit: time, start of the target, request id.
        # Answers that ask for rest: time, start of the target, request id, seconds.
        self.rests: list[tuple[float, str, str, float]] = []
        self.leaving_told: list[tuple[float, str, str]] = []  # Answers that say that the target leaves; as `told`.
        self.after_leave: list[tuple[str, str, float]] = []  # Request id, target, seconds since its leaving was acknowledged.

    def note(self, request: str, target: "Target"):
        self.count[request] += 1
        self.at.append((time.monotonic(), target.id, target.zone))
        self.services[request].add(target.service)
        if target.left_at is not None:
            self.after_leave.append((request, target.id, time.monotonic() - target.left_at))


class Target:
    """One address with a target behind a forwarder; every start has an id of its own."""

    def __init__(self, address: str, behind: str, service: str, zone: str, registries: list[str], runs: Runs,
                 chooser: random.Random):
        self.forwarder = Forwarder(address, behind)
        self.service = service
        self.zone = zone
        self.registries = registries
        self.runs = runs
        self.chooser = chooser
        self.id = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.running = 0
        self.state = "ready"
        self.limit: float | None = None  # Requests a second, of all gateways together.
        self.rest: float | None = None  # Every request is turned away, and nothing wanted for so many seconds.
        self.is_leaving_told = False  # By every answer, while it reports as ready.
        self.left_at: float | None = None  # When a registry host acknowledged that this start leaves.
        self.return_task: asyncio.Task | None = None

    async def start(self):
        self.id = f"t-{next(ids)}"
        self.state = "ready"
        self.limit = None
        self.rest = None
        self.is_leaving_told = False
        self.left_at = None
        self.running = 0
        self.server = await asyncio.start_server(self._serve, *split(self.forwarder.to))
        self._keep(asyncio.create_task(self._report()))

    def name_limit(self, limit: float | None):
        self.limit = limit
        self.runs.limits.append((time.monotonic(), self.id, limit))

    def crash(self):
        """Everything ends at once, in the middle of whatever it is."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for task in list(self.tasks):
            task.cancel()

    async def _end_and_return(self):
        """Nothing listens at its address until it is back."""
        self.crash()
        if self.state == "leaving":
            return  # Whoever made it leave starts it again.
        await self.forwarder.stop()
        await asyncio.sleep(self.chooser.uniform(*AWAY_S))
        await self.forwarder.start()
        await self.start()

    def _keep(self, task: asyncio.Task):
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _report(self):
        registry = self.chooser.choice(self.registries)
        for sequence in itertools.count(1):
            leaving = self.state == "leaving"
            body = json.dumps({"service": self.service, "address": self.forwarder.listen, "zone": self.zone, "slots": SLOTS,
                               "state": self.state, "slow_start_left_ms": 0, "sequence": sequence}).encode()
            answer = await call(registry, "POST", f"/v1/targets/{self.id}/heartbeat", body, limit_s=1)
            if answer is None or answer.status != 200:
                registry = self.chooser.choice(self.registries)
                await asyncio.sleep(0.1)
                continue
            if leaving and self.left_at is None:
                self.left_at = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._keep(asyncio.current_task())
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):  # A crash cancels it.
                while request := await read_message(reader):
                    writer.write(await self._answer(request))
        finally:
            writer.transport.abort()

    async def _answer(self, request) -> bytes:
        identity = request.headers.get("saltvane-request-id", "")
        headers = {"Saltvane-Request-Id": identity, "Saltvane-Load": f"{self.running},0,{SLOTS}"}
        if request.headers.get("saltvane-expect-target") != self.id:
            return encode("HTTP/1.1 421 Misdirected", headers)
        self.runs.arrivals.append((time.monotonic(), self.id, self.forwarder.listen, identity))
        if self.is_leaving_told:
            headers["Saltvane-Leaving"] = "1"
            self.runs.leaving_told.append((time.monotonic(), self.id, identity))
        if self.rest is not None:
            self.runs.rests.append((time.monotonic(), self.id, identity, self.rest))
            return encode("HTTP/1.1 503 Resting", {**headers, "Saltvane-Not-Run": "1", "Retry-After": str(self.rest)})
        if self.running >= SLOTS + QUEUED:
            return encode("HTTP/1.1 503 Full", {**headers, "Saltvane-Not-Run": "1"})
        if FATAL_MARK in request.start[1]:
            self.runs.fatal.append((time.monotonic(), request.start[1], identity))
            await asyncio.sleep(self.chooser.uniform(0.005, 0.08))
            self.return_task = asyncio.create_task(self._end_and_return())
            await asyncio.sleep(60)  # Until the crash cancels it.
        self.runs.note(identity, self)
        self.running += 1
        try:
            await asyncio.sleep(self.chooser.uniform(0.005, 0.08))
        finally:
            self.running -= 1
        if self.limit is not None:
            headers["Saltvane-Limit"] = str(self.limit)
            self.runs.told.append((time.monotonic(), self.id, identity))
        return encode("HTTP/1.1 200 OK", headers, answer_body(identity))


def answer_body(identity: str) -> bytes:
    """What a target answers to this request and no other."""
    return f"answer to {identity} ".encode() * 20
