"""Callers of the soak: they use look-ups, keep their connections until these are gone, and note every outcome."""
import asyncio
import dataclasses
import itertools
import json
import random
import time

from messages import Message, call, encode, read_message, split
from plans import SELDOM_PATHS, STEADY_PATHS
from targets import FATAL_MARK

DEADLINE_S = 3.0
PAUSE_S = (0.01, 0.06)
SELDOM_SHARE = 0.15  # Of the requests: on routes that not every plan has.


@dataclasses.dataclass
class Outcome:
    """Of one try. Status 0: no whole answer came."""
    request: str
    is_once: bool
    sent_at: float
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    path: str = STEADY_PATHS[0]
    gateway: str = ""


class Caller:
    def __init__(self, number: int, zone: str, region: str, directories: list[str], chooser: random.Random,
                 outcomes: list[Outcome]):
        self.name = f"c{number}"
        self.query = f"/v1/entry?zone={zone}&region={region}"
        self.directories = directories
        self.chooser = chooser
        self.outcomes = outcomes
        self.hosts: list[str] = []
        self.looked_up_at = 0.0
        self.connection: tuple[str, asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self):
        for number in itertools.count(1):
            await asyncio.sleep(self.chooser.uniform(*PAUSE_S))
            await self._look_up()
            if self.hosts:
                await self._ask(f"{self.name}-{number}", self._choose_path())

    async def _look_up(self):
        if time.monotonic() - self.looked_up_at < 1:
            return
        answer = await call(self.chooser.choice(self.directories), "GET", self.query, limit_s=1)
        if answer is not None and answer.status == 200:
            self.hosts = json.loads(answer.body)["hosts"]
            self.looked_up_at = time.monotonic()
            if self.connection and self.connection[0] not in self.hosts:
                self._close()

    def _close(self):
        if self.connection is not None:
            self.connection[2].transport.abort()
        self.connection = None

    async def _connect(self):
        if self.connection is None or self.connection[1].at_eof():
            self._close()
            host = self.chooser.choice(self.hosts)
            self.connection = (host, *await asyncio.open_connection(*split(host)))

    def _choose_path(self) -> str:
        paths = SELDOM_PATHS if self.chooser.random() < SELDOM_SHARE else STEADY_PATHS
        return self.chooser.choice(paths)

    async def _ask(self, request: str, path: str):
        outcome = Outcome(request, path.startswith("/once/"), time.monotonic(), path=path)
        try:
            async with asyncio.timeout(DEADLINE_S + 1):
                await self._connect()
                answer = await self._exchange(outcome)
        except (OSError, TimeoutError):
            answer = None
        self.outcomes.append(outcome)
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self._close()
        if answer is not None and "retry-after" in answer.headers:
            await asyncio.sleep(float(answer.headers["retry-after"]))

    async def _exchange(self, outcome: Outcome) -> Message | None:
        outcome.gateway, reader, writer = self.connection
        method = "POST" if outcome.is_once else "GET"
        headers = {"Host": "prices.example", "Saltvane-Request-Id": outcome.request,
                   "Saltvane-Deadline-Ms": str(int(DEADLINE_S * 1000)), "Saltvane-Object": str(self.chooser.randrange(40))}
        writer.write(encode(f"{method} {outcome.path}1 HTTP/1.1", headers, b"body" if outcome.is_once else b""))
        answer = await read_message(reader)
        if answer is not None:
            outcome.status, outcome.headers, outcome.body = answer.status, answer.headers, answer.body
        return answer


class FatalCaller:
    """Sends one request that ends the targets that run it, again and again, at any gateway, and once more where it failed."""
    PAUSE_S = (0.2, 0.9)

    def __init__(self, number: int, gateways: list[str], chooser: random.Random):
        self.path = f"/read/{number % 8}/{FATAL_MARK}-{number}"
        self.gateways = gateways
        self.chooser = chooser
        self.sent: dict[str, tuple[str, float]] = {}  # Gateway and time, by request id.

    async def run(self):
        for number in itertools.count(1):
            await asyncio.sleep(self.chooser.uniform(*self.PAUSE_S))
            for attempt in (1, 2):
                answer = await self._send(f"{self.path}-{number}-{attempt}")
                if answer is not None and answer.status == 503:
                    break

    async def _send(self, request: str) -> Message | None:
        gateway = self.chooser.choice(self.gateways)
        self.sent[request] = (gateway, time.monotonic())
        headers = {"Host": "prices.example", "Saltvane-Request-Id": request, "Saltvane-Deadline-Ms": "3000"}
        return await call(gateway, "GET", self.path, headers=headers, limit_s=DEADLINE_S + 1)
