"""Callers that record how each request ended that they have written whole: with a response, or without a word."""
import asyncio
import collections
import dataclasses
import random
import socket
import time

RESPONSE_TIMEOUT_S = 10.0  # A gateway may be paused for some seconds.
CONNECT_TIMEOUT_S = 5.0
BLOCK = 65536
NOT_RUN_STATUSES = (408, 429, 503)


@dataclasses.dataclass
class Attempt:
    """A request that was written whole. Status 0: no whole response came."""
    request_id: str
    kind: str
    address: str
    is_once: bool
    is_kept: bool  # The connection had carried a request before.
    rest_s: float
    way_s: float  # From the last look at the connection to the last write.
    written_at: float  # By the system's clock, as the times of logs.
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    ended_by: str = ""

    @property
    def is_not_run(self) -> bool:
        outcome = self.headers.get("saltvane-outcome", "")
        return outcome == "not-run" or (self.status in NOT_RUN_STATUSES and outcome == "")


class Ledger:
    def __init__(self):
        self.attempts: list[Attempt] = []
        self.runs: collections.Counter[str] = collections.Counter()  # By request id.
        self.events: list[tuple[float, str]] = []
        self.not_whole = 0  # Requests whose connection ended, or answered, before they were written whole.
        self.ended_at_rest = 0  # Connections whose end callers saw before they wrote.

    def note(self, event: str):
        self.events.append((time.time(), event))

    def lost(self) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.status == 0]

    def findings(self) -> list[str]:
        findings = [self._describe(attempt) for attempt in self.lost()]
        for attempt in self.attempts:
            runs = self.runs[attempt.request_id]
            if attempt.is_not_run and runs > 0:
                findings.append(f"{attempt.request_id} got {attempt.status} but ran: {attempt.headers}")
            if attempt.is_once and runs > 1:
                findings.append(f"{attempt.request_id} is at most once and ran {runs} times")
        return findings

    def _describe(self, attempt: Attempt) -> str:
        connection = "a kept" if attempt.is_kept else "a new"
        around = [f"{event} {at - attempt.written_at:+.3f} s" for at, event in self.events if abs(at - attempt.written_at) < 1]
        return (f"lost: {attempt.request_id} ({attempt.kind}) to {attempt.address} on {connection} connection after a rest of "
                f"{attempt.rest_s:.3f} s, way {attempt.way_s:.4f} s, written at {attempt.written_at:.3f}, ended by "
                f"{attempt.ended_by}, ran {self.runs[attempt.request_id]} times; around: {around[-8:]}")


class Connection:
    def __init__(self, address: str, connected: socket.socket):
        self.address = address
        self.socket = connected
        self.received = b""
        self.requests = 0
        self.kept_s: int | None = None  # As the last response named it.

    @staticmethod
    async def open(address: str) -> "Connection":
        """Raises OSError or TimeoutError."""
        ip, _, port = address.rpartition(":")
        connecting = socket.socket()
        connecting.setblocking(False)
        connecting.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(connecting, (ip, int(port)))
        except BaseException:
            connecting.close()
            raise
        return Connection(address, connecting)

    def is_quiet(self) -> bool:
        """Whether nothing has arrived: no end and no bytes."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    async def write(self, part: bytes):
        await asyncio.get_running_loop().sock_sendall(self.socket, part)

    async def read_response(self) -> tuple[int, dict[str, str]]:
        """Status and headers of the next whole response. Raises ConnectionError, OSError or TimeoutError."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while b"\r\n\r\n" not in self.received:
                await self._receive()
            head, _, self.received = self.received.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
            length = int(headers.get("content-length", 0))
            while len(self.received) < length:
                await self._receive()
            self.received = self.received[length:]
        return int(lines[0].split(" ")[1]), headers

    async def _receive(self):
        block = await asyncio.get_running_loop().sock_recv(self.socket, BLOCK)
        if not block:
            raise ConnectionError(f"end of the connection after {len(self.received)} bytes")
        self.received += block

    def close(self):
        self.socket.close()


@dataclasses.dataclass
class Request:
    kind: str
    method: str
    path: str
    body: bytes = b""
    is_once: bool = False
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class Caller:
    """Sends one request after the other, on a kept connection while the host leaves it open."""

    def __init__(self, name: str, ledger: Ledger, rng: random.Random, max_way_s: float = 0, pieces: int = 1,
                 max_piece_pause_s: float = 0):
        self.name = name
        self.ledger = ledger
        self.rng = rng
        self.max_way_s = max_way_s
        self.pieces = pieces
        self.max_piece_pause_s = max_piece_pause_s
        self.is_keeping = True  # Else it opens a connection for each request.
        self.connection: Connection | None = None
        self.sent = 0

    @property
    def kept_s(self) -> int | None:
        return self.connection.kept_s if self.connection else None

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    async def send(self, address: str, request: Request, rest_s: float = 0) -> Attempt | None:
        """None: nothing was written whole. `rest_s`: for which the connection has rested."""
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        try:
            await self._connect(address)
            return await self._exchange(request_id, request, rest_s)
        except (OSError, TimeoutError):  # No connection, or it ended before the request was written whole.
            self.close()
            return None
        except BaseException:
            self.close()
            raise

    async def _connect(self, address: str):
        if self.connection is not None and not self.connection.is_quiet():
            self.ledger.ended_at_rest += 1
            self.close()
        if self.connection is not None and self.connection.address != address:
            self.close()
        if self.connection is None:
            self.connection = await Connection.open(address)

    async def _exchange(self, request_id: str, request: Request, rest_s: float) -> Attempt | None:
        connection = self.connection
        way_s = 0.0
        parts = self._split(self._encode(request_id, request))
        for number, part in enumerate(parts):
            if number > 0:
                await asyncio.sleep(self.rng.uniform(0, self.max_piece_pause_s))
            if not connection.is_quiet():
                self.ledger.not_whole += 1
                self.close()
                return None
            way_s = self.rng.uniform(0, self.max_way_s)
            if way_s > 0:
                await asyncio.sleep(way_s)
            await connection.write(part)
        attempt = Attempt(request_id, request.kind, connection.address, request.is_once, connection.requests > 0, rest_s, way_s,
                          time.time())
        connection.requests += 1
        self.ledger.attempts.append(attempt)
        try:
            attempt.status, attempt.headers = await connection.read_response()
        except (OSError, TimeoutError) as error:
            attempt.ended_by = f"{type(error).__name__} {error} after {time.time() - attempt.written_at:.3f} s"
        self._keep(attempt)
        return attempt

    def _keep(self, attempt: Attempt):
        if not self.is_keeping or attempt.status == 0 or attempt.headers.get("connection", "").lower() == "close":
            return self.close()
        named = attempt.headers.get("keep-alive", "")
        self.connection.kept_s = int(named.partition("timeout=")[2].split(",")[0]) if "timeout=" in named else None

    def _encode(self, request_id: str, request: Request) -> bytes:
        headers = {"Host": "prices.example", "Saltvane-Request-Id": request_id, **request.headers}
        lines = [f"{request.method} {request.path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items()),
                 f"Content-Length: {len(request.body)}", "", ""]
        return "\r\n".join(lines).encode() + request.body

    def _split(self, message: bytes) -> list[bytes]:
        count = self.rng.randint(1, self.pieces)
        cuts = sorted(self.rng.sample(range(1, len(message)), count - 1))
        return [message[start:end] for start, end in zip([0, *cuts], [*cuts, len(message)], strict=True)]
