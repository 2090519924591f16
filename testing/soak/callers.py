"""Callers of the soak test: they look up gateways, reuse connections until these close, and record every outcome."""
import asyncio
import contextlib
import dataclasses
import itertools
import json
import random
import time

from messages import Message, call, encode, read_message, split
from plans import SELDOM_PATHS, STEADY_PATHS
from targets import FATAL_MARKER

DEADLINE_S = 3.0
PAUSE_S = (0.01, 0.06)
BLOCK = 4096
SELDOM_FRACTION = 0.15  # Of the requests: sent on routes that only some plans contain.


@dataclasses.dataclass
class Outcome:
    """The outcome of one attempt. Status 0: no complete response arrived."""
    request: str
    is_once: bool
    sent_at: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    path: str = STEADY_PATHS[0]
    gateway: str = ""


class Caller:
    def __init__(self, number: int, zone: str, region: str, directory_addresses: list[str], rng: random.Random,
                 outcomes: list[Outcome], follows_look_ups: bool = True):
        self.follows_look_ups = follows_look_ups  # If not, it uses the gateways of its first look-up for good.
        self.name = f"c{number}"
        self.query = f"/v1/entry?zone={zone}&region={region}"
        self.directory_addresses = directory_addresses
        self.rng = rng
        self.outcomes = outcomes
        self.hosts: list[str] = []
        self.looked_up_at = 0.0
        self.connection: tuple[str, asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.unrequested: list[tuple[str, bytes]] = []  # Gateway and bytes that it sent while no request was waiting.

    async def run(self):
        for number in itertools.count(1):
            await self._pause(self.rng.uniform(*PAUSE_S))
            await self._look_up()
            if self.hosts:
                await self._send_request(f"{self.name}-{number}", self._choose_path())

    async def _look_up(self):
        if time.monotonic() - self.looked_up_at < 1 or (self.hosts and not self.follows_look_ups):
            return
        response = await call(self.rng.choice(self.directory_addresses), "GET", self.query, timeout_s=1)
        if response is not None and response.status == 200:
            self.hosts = json.loads(response.body)["hosts"]
            self.looked_up_at = time.monotonic()
            if self.connection and self.connection[0] not in self.hosts:
                self._close()

    async def _pause(self, seconds: float):
        """Waits, and records what arrives meanwhile."""
        end = time.monotonic() + seconds
        if self.connection is not None:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(seconds):
                    received = await self.connection[1].read(BLOCK)
                    if received:
                        self.unrequested.append((self.connection[0], received))
                        self._close()
        await asyncio.sleep(max(0, end - time.monotonic()))

    def _close(self):
        if self.connection is not None:
            self.connection[2].transport.abort()
        self.connection = None

    async def _connect(self):
        if self.connection is None or self.connection[1].at_eof():
            self._close()
            host = self.rng.choice(self.hosts)
            self.connection = (host, *await asyncio.open_connection(*split(host)))

    def _choose_path(self) -> str:
        paths = SELDOM_PATHS if self.rng.random() < SELDOM_FRACTION else STEADY_PATHS
        return self.rng.choice(paths)

    async def _send_request(self, request: str, path: str):
        outcome = Outcome(request, path.startswith("/once/"), time.monotonic(), path=path)
        try:
            async with asyncio.timeout(DEADLINE_S + 1):
                await self._connect()
                response = await self._exchange(outcome)
        except (OSError, TimeoutError):
            response = None
        self.outcomes.append(outcome)
        if response is None or response.headers.get("connection", "").lower() == "close":
            self._close()
        if response is not None and "retry-after" in response.headers:
            await self._pause(float(response.headers["retry-after"]))

    async def _exchange(self, outcome: Outcome) -> Message | None:
        outcome.gateway, reader, writer = self.connection
        method = "POST" if outcome.is_once else "GET"
        headers = {"Host": "prices.example", "Saltvane-Request-Id": outcome.request,
                   "Saltvane-Deadline-Ms": str(int(DEADLINE_S * 1000)), "Saltvane-Object": str(self.rng.randrange(40))}
        writer.write(encode(f"{method} {outcome.path}1 HTTP/1.1", headers, b"body" if outcome.is_once else b""))
        response = await read_message(reader)
        if response is not None:
            outcome.status, outcome.headers, outcome.body = response.status, response.headers, response.body
        return response


class FatalCaller:
    """Repeatedly sends a request that crashes each target that runs it, through random gateways, with one retry after a
    failure other than a 503."""
    PAUSE_S = (0.2, 0.9)

    def __init__(self, number: int, gateways: list[str], rng: random.Random):
        self.path = f"/read/{number % 8}/{FATAL_MARKER}-{number}"
        self.gateways = gateways
        self.rng = rng
        self.sent: dict[str, tuple[str, float]] = {}  # Gateway and time, by request id.

    async def run(self):
        for number in itertools.count(1):
            await asyncio.sleep(self.rng.uniform(*self.PAUSE_S))
            for attempt in (1, 2):
                response = await self._send(f"{self.path}-{number}-{attempt}")
                if response is not None and response.status == 503:
                    break

    async def _send(self, request: str) -> Message | None:
        gateway = self.rng.choice(self.gateways)
        self.sent[request] = (gateway, time.monotonic())
        headers = {"Host": "prices.example", "Saltvane-Request-Id": request, "Saltvane-Deadline-Ms": "3000"}
        return await call(gateway, "GET", self.path, headers=headers, timeout_s=DEADLINE_S + 1)
