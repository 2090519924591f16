"""HTTP/1.1 messages over asyncio streams, as far as callers and targets of the soak test need them."""
import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or response; header names are in lower case."""
    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """The next message; None if the connection closed before its first byte.

    Raises ConnectionError if the connection closed within a message."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("connection closed within the message head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = dict((name.lower(), value.strip()) for name, _, value in (line.partition(":") for line in lines[1:] if line))
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("connection closed within the message body") from error
    return Message(lines[0].split(" ", 2), headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def split(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    return ip, int(port)


async def call(address: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None,
               timeout_s: float = 2, redirects: int = 2) -> Message | None:
    """Sends one request on its own connection and follows redirects. None: no complete response in time."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split(address))
            try:
                writer.write(encode(f"{method} {path} HTTP/1.1", {"Host": "registry", **(headers or {})}, body))
                response = await read_message(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return None
    if response is not None and response.status == 307 and redirects > 0:
        target = response.headers["location"].removeprefix("http://")
        address, _, path = target.partition("/")
        return await call(address, method, "/" + path, body, headers, timeout_s, redirects - 1)
    return response
