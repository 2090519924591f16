"""Callers that don't behave, and an ordinary caller, each group in a process of its own, for the system test of crowds."""
import asyncio
import collections
import contextlib
import dataclasses
import multiprocessing.connection
import pathlib
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "soak"))
from messages import encode, read_message, split  # noqa: E402

HOST = "prices.example"
MIB = 1024 * 1024
BODY_BYTES = 8 * MIB  # The longest body that the plan allows.
BLOCK = 64 * 1024
FAR_OVER_LIMIT = 1024 ** 4
HEAD_BYTES = 16384  # The default of a gateway's `header_bytes`.
REQUEST_TIMEOUT_S = 4
CALL_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 3
# Bounds of what one caller does. Only crowds that are kept for a minute come near them.
MAX_CONNECTIONS = 10_000
MAX_BYTES = 64 * 1024 * MIB
REOPEN_PAUSE_S = 0.5
BYTE_PAUSE_S = 0.5
ROUND_PAUSE_S = 0.2
ROUNDS = 5
IN_PLACE_BYTES = MIB  # A body without end counts as under way from here on.
PIPELINED_REQUESTS = 500
RESET_PAUSE_S = 0.1
# A head a little shorter than HEAD_BYTES.
LONG_HEAD_FIELDS = 96
FIELD_BYTES = HEAD_BYTES // LONG_HEAD_FIELDS - 20


class Caller:
    """One caller; it opens connections one after the other."""

    def __init__(self, crowd: "Crowd", address: str, number: int):
        self.crowd = crowd
        self.address = address
        self.number = number
        self.reads = crowd.reads
        self.is_in_place = asyncio.Event()
        self.connections = 0
        self.bytes_sent = 0
        self.most_bytes = 0  # On one connection.
        self.responses: list[tuple[str, int]] = []  # Request id and status.
        self._requests = 0

    @contextlib.asynccontextmanager
    async def connection(self):
        self.connections += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*split(self.address))
        connection = Connection(self, reader, writer)
        try:
            yield connection
        finally:
            connection.close()

    def next_request_id(self) -> str:
        self._requests += 1
        return f"crowd-{self.number}-{self._requests}"

    async def run(self):
        """Goes on until it is cancelled: a caller whose connection is closed comes again."""
        while self.connections < MAX_CONNECTIONS and self.bytes_sent < MAX_BYTES:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                await self.crowd.conduct(self)
            self.is_in_place.set()
            await asyncio.sleep(0 if self.crowd.is_endless else REOPEN_PAUSE_S)


class Connection:
    def __init__(self, caller: Caller, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._caller = caller
        self._reader = reader
        self._writer = writer
        self._bytes_sent = 0
        self._request_ids: list[str] = []
        self._reading = asyncio.create_task(self._read_responses()) if caller.reads else None

    def close(self):
        if self._reading is not None:
            self._reading.cancel()
        self._writer.transport.abort()

    def reset(self):
        """Ends the connection at once: what was not sent is dropped, and the other side sees a reset."""
        linger = struct.pack("ii", 1, 0)
        self._writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    async def send(self, data: bytes):
        self._writer.write(data)
        await self._writer.drain()
        self._bytes_sent += len(data)
        self._caller.bytes_sent += len(data)
        self._caller.most_bytes = max(self._caller.most_bytes, self._bytes_sent)
        if self._caller.bytes_sent >= MAX_BYTES:
            raise ConnectionError("more than one caller may send")

    async def send_head(self, *framing: str, method: str = "POST"):
        await self.send(self.head(*framing, method=method))

    def head(self, *framing: str, method: str = "POST") -> bytes:
        request_id = self._caller.next_request_id()
        self._request_ids.append(request_id)
        lines = [f"{method} {self._caller.crowd.path} HTTP/1.1", f"Host: {HOST}", f"Saltvane-Request-Id: {request_id}",
                 f"Saltvane-Deadline-Ms: {REQUEST_TIMEOUT_S * 1000}", *framing, "", ""]
        return "\r\n".join(lines).encode()

    async def send_body(self, length: int, is_chunked: bool = False):
        """Sends that many bytes, as one part of a body or as chunks without the last one."""
        while length > 0:
            size = min(length, BLOCK)
            block = b"x" * size
            await self.send(f"{size:x}\r\n".encode() + block + b"\r\n" if is_chunked else block)
            length -= size
            if self._caller.bytes_sent >= IN_PLACE_BYTES and self._caller.crowd.is_endless:
                self._caller.is_in_place.set()

    async def stay(self):
        """Keeps the connection until the other side closes it."""
        self._caller.is_in_place.set()
        if self._reading is None:
            await asyncio.Event().wait()
        await self._reading

    async def response(self):
        """Waits for one more response."""
        count = len(self._caller.responses)
        while len(self._caller.responses) == count and not self._reading.done():
            await asyncio.sleep(0.01)

    async def _read_responses(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            number = 0
            while response := await read_message(self._reader):
                if response.status == 100:
                    continue
                request_id = self._request_ids[number] if number < len(self._request_ids) else ""
                self._caller.responses.append((request_id, response.status))
                number += 1


async def stop_short(caller: Caller):
    async with caller.connection() as connection:
        await connection.send_head(f"Content-Length: {BODY_BYTES}")
        await connection.send_body(BODY_BYTES - 1)
        await connection.stay()


async def stop_short_in_chunks(caller: Caller):
    async with caller.connection() as connection:
        await connection.send_head("Transfer-Encoding: chunked")
        await connection.send_body(BODY_BYTES - 1, is_chunked=True)
        await connection.stay()


async def stop_short_in_rounds(caller: Caller):
    for number in range(ROUNDS):
        async with caller.connection() as connection:
            is_chunked = number % 2 == 1
            await connection.send_head("Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {BODY_BYTES}")
            await connection.send_body(BODY_BYTES - 1, is_chunked)
            await asyncio.sleep(ROUND_PAUSE_S)
    await stop_short(caller)


async def send_whole_body(caller: Caller):
    async with caller.connection() as connection:
        await connection.send_head(f"Content-Length: {BODY_BYTES}")
        await connection.send_body(BODY_BYTES)
        await connection.response()


async def leave_in_the_middle(caller: Caller):
    async with caller.connection() as connection:
        await connection.send_head(f"Content-Length: {BODY_BYTES}")
        await connection.send_body(BODY_BYTES)
        await asyncio.sleep(BYTE_PAUSE_S)


async def request_slowly_and_leave(caller: Caller):
    """Gets one response, leaves in the middle of the next request, and does nothing more."""
    async with caller.connection() as connection:
        await connection.send_head(method="GET")
        await connection.response()
        await connection.send_head(method="GET")
        await asyncio.sleep(BYTE_PAUSE_S)
    caller.is_in_place.set()
    await asyncio.Event().wait()


async def send_chunks_without_end(caller: Caller):
    async with caller.connection() as connection:
        await connection.send_head("Transfer-Encoding: chunked")
        await connection.send_body(FAR_OVER_LIMIT, is_chunked=True)


async def send_far_over_limit(caller: Caller):
    async with caller.connection() as connection:
        await connection.send_head(f"Content-Length: {FAR_OVER_LIMIT}")
        await connection.send_body(FAR_OVER_LIMIT)


async def send_either_without_end(caller: Caller):
    await (send_chunks_without_end if caller.number % 2 == 0 else send_far_over_limit)(caller)


async def send_head_only(caller: Caller):
    async with caller.connection() as connection:
        await connection.send_head("Content-Length: 1000")
        await connection.stay()


async def send_nothing(caller: Caller):
    async with caller.connection() as connection:
        await connection.stay()


async def send_byte_by_byte(caller: Caller):
    """Half of the callers send a head so, the others a body."""
    async with caller.connection() as connection:
        head = connection.head(f"Content-Length: {BODY_BYTES}")
        if caller.number % 2 == 0:
            await connection.send(head)
        caller.is_in_place.set()
        for byte in head if caller.number % 2 == 1 else b"x" * BODY_BYTES:
            await connection.send(bytes([byte]))
            await asyncio.sleep(BYTE_PAUSE_S)


async def request_and_read_nothing(caller: Caller):
    async with caller.connection() as connection:
        await connection.send_head(method="GET")
        await connection.stay()


async def pipeline(caller: Caller):
    """Half of the callers read the responses."""
    caller.reads = caller.number % 2 == 0
    async with caller.connection() as connection:
        caller.is_in_place.set()
        for _ in range(PIPELINED_REQUESTS):
            await connection.send_head(method="GET")
        await connection.stay()


async def expect_continue(caller: Caller):
    async with caller.connection() as connection:
        await connection.send_head(f"Content-Length: {BODY_BYTES}", "Expect: 100-continue")
        await connection.stay()


async def send_long_head(caller: Caller):
    """Half of the callers leave out its last byte, the others the body."""
    async with caller.connection() as connection:
        fields = [f"X-Filler-{number}: {'x' * FIELD_BYTES}" for number in range(LONG_HEAD_FIELDS)]
        head = connection.head("Content-Length: 1000", *fields)
        await connection.send(head[:-1] if caller.number % 2 == 1 else head)
        await connection.stay()


async def reset_in_the_middle(caller: Caller):
    """Each caller resets its connections within another part of a request or response."""
    async with caller.connection() as connection:
        caller.is_in_place.set()
        part = caller.number % 6
        if part == 0:
            await connection.send(connection.head("Content-Length: 1000")[:-1])
        elif part == 1:
            await connection.send_head("Content-Length: 1000")
        elif part == 2:
            await connection.send_head(f"Content-Length: {BODY_BYTES}")
            await connection.send_body(BODY_BYTES // 2)
        elif part == 3:
            await connection.send_head("Transfer-Encoding: chunked")
            await connection.send_body(BODY_BYTES // 2, is_chunked=True)
        elif part == 4:
            await connection.send_head(f"Content-Length: {BODY_BYTES}")
            await connection.send_body(BODY_BYTES)
        else:
            await connection.send_head(method="GET")
        await asyncio.sleep(RESET_PAUSE_S)
        connection.reset()


@dataclasses.dataclass(frozen=True)
class Crowd:
    """What a number of callers do at the same time."""
    callers: int
    conduct: Callable[[Caller], Awaitable]
    path: str = "/quotes/1"
    address: str = "front"
    reads: bool = True  # Whether callers read responses.
    is_endless: bool = False  # Whether callers go on sending for as long as they can.
    ordinary_timeout_s: float = REQUEST_TIMEOUT_S  # Of the ordinary callers beside it.


MANY = 24  # Bodies of the longest legal length are three times the memory of the host.
MORE_THAN_DESCRIPTORS = 320
SENDERS_WITHOUT_END = 24
RESETTERS = 48
SLOW_CALLERS = 48

CROWDS = {
    "bodies-that-stop-short": Crowd(MANY, stop_short),
    "chunked-bodies-that-stop-short": Crowd(MANY, stop_short_in_chunks),
    "bodies-that-stop-short-in-rounds": Crowd(MANY, stop_short_in_rounds),
    "bodies-to-no-target": Crowd(MANY, send_whole_body, path="/empty/1"),
    "bodies-to-slow-targets": Crowd(MANY, leave_in_the_middle, path="/slow/1"),
    "slow-requests-on-a-shared-route": Crowd(SLOW_CALLERS, request_slowly_and_leave, path="/quotes/slow",
                                             ordinary_timeout_s=2),
    "chunks-without-end": Crowd(SENDERS_WITHOUT_END, send_chunks_without_end, is_endless=True),
    "length-far-over-the-limit": Crowd(SENDERS_WITHOUT_END, send_far_over_limit, is_endless=True),
    **{f"bodies-without-end-{address}": Crowd(SENDERS_WITHOUT_END, send_either_without_end, path=path, address=address,
                                              is_endless=True)
       for address, path in (("readiness", "/v1/ready"), ("metrics", "/metrics"), ("control", "/v1/targets/t-9/heartbeat"),
                             ("directory", "/v1/entry"))},
    "heads-without-a-body": Crowd(MORE_THAN_DESCRIPTORS, send_head_only),
    "silent-connections": Crowd(MORE_THAN_DESCRIPTORS, send_nothing),
    "byte-by-byte": Crowd(MORE_THAN_DESCRIPTORS, send_byte_by_byte),
    "answers-that-are-not-read": Crowd(MANY, request_and_read_nothing, path="/large/1", reads=False),
    "pipelined-requests": Crowd(MANY, pipeline),
    "expect-continue": Crowd(MORE_THAN_DESCRIPTORS, expect_continue),
    "long-heads": Crowd(MORE_THAN_DESCRIPTORS, send_long_head),
    "resets": Crowd(RESETTERS, reset_in_the_middle, path="/large/1", is_endless=True),
}


def run_crowd(name: str, addresses: dict[str, str], control: multiprocessing.connection.Connection):
    """Says when all callers have done what they do, goes on until the other side says so, and then says what they saw."""
    asyncio.run(_run_crowd(CROWDS[name], addresses, control))


async def _run_crowd(crowd: Crowd, addresses: dict[str, str], control: multiprocessing.connection.Connection):
    callers = [Caller(crowd, addresses[crowd.address], number) for number in range(crowd.callers)]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    for caller in callers:
        await caller.is_in_place.wait()
    control.send("in place")
    while not control.poll():
        await asyncio.sleep(0.02)
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    control.send({"responses": [response for caller in callers for response in caller.responses],
                  "connections": sum(caller.connections for caller in callers),
                  "mib_sent": sum(caller.bytes_sent for caller in callers) // MIB,
                  "most_mib": max(caller.most_bytes for caller in callers) // MIB,
                  "errors": [repr(result) for result in results if isinstance(result, Exception)]})


async def send_request(address: str, path: str, request_id: str, body: bytes, timeout_s: float) -> tuple[int, bytes] | None:
    """Status and body of the response to one request on a connection of its own; none: no whole response in time."""
    headers = {"Host": HOST, "Saltvane-Request-Id": request_id, "Saltvane-Deadline-Ms": str(round(timeout_s * 1000)),
               "Connection": "close"}
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split(address))
            try:
                writer.write(encode(f"POST {path} HTTP/1.1", headers, body))
                response = await read_message(reader)
                return None if response is None else (response.status, response.body)
            finally:
                writer.transport.abort()
    return None


def run_ordinary_caller(address: str, timeout_s: float, control: multiprocessing.connection.Connection):
    """Sends one request after the other, and says when it sent each and what it got, until the other side says so."""
    asyncio.run(_run_ordinary_caller(address, timeout_s, control))


async def _run_ordinary_caller(address: str, timeout_s: float, control: multiprocessing.connection.Connection):
    statuses = collections.Counter()
    number = 0
    while not control.poll():
        number += 1
        sent_at = time.monotonic()
        request_id = f"ordinary-{number}"
        response = await send_request(address, "/quotes/1", request_id, b"x", timeout_s)
        statuses["none" if response is None else str(response[0])] += 1
        control.send((sent_at, request_id, response))
        await asyncio.sleep(CALL_INTERVAL_S)
    control.send(dict(statuses))
