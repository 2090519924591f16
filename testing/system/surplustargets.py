"""Targets that send surplus bytes or invalid statuses, cut their responses or leave request ids out."""
import asyncio
import contextlib
import dataclasses
import hashlib
import itertools
import json
import pathlib
import random
import sys

from responseledger import DIGEST, ID, Ledger, Response

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from messages import call, read_message, split  # noqa: E402
from surplus import cut_position  # noqa: E402

FAULT_RATE = 1 / 12  # Of the responses.
SURPLUS_DELAY_S = (0, 0.6)
PROCESSING_S = (0.002, 0.03)
HEARTBEAT_S = 1.0
FAILED_RATE = 0.3  # Responses with status 500, of the requests that run.
REFUSED_RATE = 0.12
INVALID_STATUSES = (0, 1, 99, 600, 700, 999)
CHUNKED_RATE = 0.1
LARGE_RATE = 0.1
SMALL_BODY_BYTES = (0, 300)
LARGE_BODY_BYTES = (20_000, 120_000)  # Beyond 16 KiB the gateway forwards the body while it receives it.
BLOCK = 8 * 1024
NOT_RUN = "Saltvane-Not-Run"


@dataclasses.dataclass
class Case:
    """What targets do wrong. `copy`: how much of a second response they send; none: no second response."""
    name: str
    copy: str | None = "whole"  # Or "head", "body": cut within.
    targets: int = 6
    callers: int = 24
    differs: bool = False  # The second response has another status and body, and half of the time no id.
    differs_invalidly: bool = False  # That status is invalid.
    invalid_rate: float = 0.0  # Responses with an invalid status.
    refused_rate: float = REFUSED_RATE
    only_refusals: bool = False  # Only refusals are sent twice, one in four.
    no_body_rate: float = 0.0
    copy_without_id: bool = False
    refusal_without_id: bool = False
    health_checks: bool = False  # Health checks are answered twice, and connections closed without a response.
    closes: bool = False  # Responses are cut at any byte and the connection is closed.


class Target:
    def __init__(self, name: str, address: str, case: Case, rng: random.Random, ledger: Ledger):
        self.name = name
        self.address = address
        self.case = case
        self.rng = rng
        self.ledger = ledger
        self.is_faulty = False
        self.running = 0

    async def serve(self):
        return await asyncio.start_server(self._on_connection, *split(self.address))

    async def report(self, control: str):
        for sequence in itertools.count(1):
            body = json.dumps({"service": "quotes", "address": self.address, "zone": "north-a", "slots": 100,
                               "state": "ready", "slow_start_left_ms": 0, "sequence": sequence}).encode()
            await call(control, "POST", f"/v1/targets/{self.name}/heartbeat", body)
            await asyncio.sleep(HEARTBEAT_S)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        # A second response is not written within another response.
        turn = asyncio.Lock()
        surplus: set[asyncio.Task] = set()
        carried = set()  # Whether health checks, whether requests.
        waiting = asyncio.Event()  # While a request on this connection has no response.
        try:
            with contextlib.suppress(OSError):
                while request := await read_message(reader):
                    is_health_check = request.start[1].startswith("/health")
                    carried.add(is_health_check)
                    waiting.set()
                    response = self._health() if is_health_check else await self._run(request)
                    if not await self._send(writer, turn, response, request.start[0]):
                        break
                    waiting.clear()
                    if self._is_sent_twice(response, is_health_check):
                        data = self._draw_surplus(response, request.start[0])
                        surplus.add(asyncio.create_task(self._send_surplus(writer, turn, waiting, data)))
        finally:
            self.ledger.connections[frozenset(carried)] += 1
            for task in surplus:
                task.cancel()
            writer.close()

    async def _run(self, request) -> Response:
        request_id = request.headers.get(ID.lower(), "")
        if self.is_faulty and self.rng.random() < self.case.refused_rate:
            return self._make(request_id, 503, b"refused", has_id=not self.case.refusal_without_id)
        self.ledger.runs[request_id] += 1
        self.running += 1
        await asyncio.sleep(self.rng.uniform(*PROCESSING_S))
        self.running -= 1
        return self._make(request_id, self._draw_status(), self._draw_body(request_id))

    def _draw_status(self) -> int:
        if not self.is_faulty:
            return 200
        if self.rng.random() < self.case.invalid_rate:
            self.ledger.faults += 1
            return self.rng.choice(INVALID_STATUSES)
        if self.rng.random() < self.case.no_body_rate:
            return self.rng.choice((204, 304))
        return 500 if self.rng.random() < FAILED_RATE else 200

    def _draw_body(self, request_id: str) -> bytes:
        is_large = self.rng.random() < LARGE_RATE
        size = self.rng.randint(*(LARGE_BODY_BYTES if is_large else SMALL_BODY_BYTES))
        return f"response of {self.name} to {request_id} ".encode() + self.rng.randbytes(8).hex().encode() + b"x" * size

    def _make(self, request_id: str, status: int, body: bytes, has_id: bool = True, is_copy: bool = False) -> Response:
        if status in (204, 304):
            body = b""
        digest = hashlib.sha256(f"{self.name} {request_id} {status} ".encode() + body).hexdigest()[:24]
        headers = [("Saltvane-Load", f"{self.running},0,100"), (DIGEST, digest)]
        chunk_bytes = None
        if has_id:
            headers.append((ID, request_id))
        if status == 503:
            headers.append((NOT_RUN, "1"))
        if status not in (204, 304):
            chunk_bytes = self.rng.choice((10, 1000, BLOCK)) if self.rng.random() < CHUNKED_RATE else None
            headers.append(("Content-Length", str(len(body))) if chunk_bytes is None else ("Transfer-Encoding", "chunked"))
        self.rng.shuffle(headers)
        response = Response(request_id, status, body, digest, dict(headers), chunk_bytes)
        (self.ledger.copies if is_copy else self.ledger.given)[digest] = response
        return response

    def _health(self) -> Response:
        self.ledger.health_checks += 1
        if self.is_faulty and self.rng.random() < self.case.refused_rate:
            return Response("", 503, b"full", "", {NOT_RUN: "1", "Content-Length": "4"})
        return Response("", 200, b"ok", "", {"Saltvane-Target": self.name, "Content-Length": "2"})

    async def _send(self, writer: asyncio.StreamWriter, turn: asyncio.Lock, response: Response, method: str) -> bool:
        """Sends a response; returns whether the connection goes on."""
        data = response.head() + (b"" if method == "HEAD" else response.content())
        is_cut = self.is_faulty and (self.case.closes or self.case.health_checks) and self.rng.random() < FAULT_RATE
        if is_cut:
            self.ledger.faults += 1
            in_head = self.rng.random() < 0.5
            kept = 0 if self.case.health_checks else cut_position(response.head(), self.rng) if in_head \
                else self.rng.randrange(len(data))
            data = data[:kept]
        async with turn:
            for at in range(0, len(data), BLOCK):
                writer.write(data[at:at + BLOCK])
                await writer.drain()
                if at + BLOCK < len(data):
                    await asyncio.sleep(0.001)
        return not is_cut

    def _is_sent_twice(self, response: Response, is_health_check: bool) -> bool:
        if not self.is_faulty:
            return False
        if is_health_check:
            return self.case.health_checks
        if self.case.copy is None or (self.case.only_refusals and response.status != 503):
            return False
        return self.rng.random() < (FAULT_RATE / self.case.refused_rate if self.case.only_refusals else FAULT_RATE)

    async def _send_surplus(self, writer: asyncio.StreamWriter, turn: asyncio.Lock, waiting: asyncio.Event, data: bytes):
        """Sends the bytes after a time, or half of the time as soon as the next request waits on the connection."""
        delay_s = self.rng.uniform(*SURPLUS_DELAY_S)
        if self.rng.random() < 0.5:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(waiting.wait(), SURPLUS_DELAY_S[1])
        else:
            await asyncio.sleep(delay_s)
        async with turn:
            self.ledger.faults += 1
            self.ledger.faults_at_requests += waiting.is_set()
            writer.write(data)

    def _draw_surplus(self, response: Response, method: str) -> bytes:
        if self.case.differs:
            has_id = self.rng.random() < 0.5
            statuses = INVALID_STATUSES if self.case.differs_invalidly else (200, 500, 503)
            status = self.rng.choice([status for status in statuses if status != response.status])
            response = self._make(response.request, status, b"second " + self._draw_body(response.request), has_id, True)
        elif self.case.copy_without_id:
            response = dataclasses.replace(
                response, headers={name: value for name, value in response.headers.items() if name != ID})
        head, content = response.head(), response.content()
        if method == "HEAD" and self.rng.random() < 0.5:
            content = b""
        if self.case.copy == "head":
            return head[:cut_position(head, self.rng)]
        if self.case.copy == "body":
            return head + content[:self.rng.randrange(max(1, len(content)))]
        return head + content
