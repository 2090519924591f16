"""HTTP/1.1 messages over asyncio streams, as far as the soak's callers and targets need them."""
import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or an answer; header names in lower case."""
    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """The next whole message; None where the connection ended before its first byte, an error where it broke off."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("broke off in the head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = dict((name.lower(), value.strip()) for name, _, value in (line.partition(":") for line in lines[1:] if line))
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("broke off in the body") from error
    return Message(lines[0].split(" ", 2), headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def split(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    return ip, int(port)


async def call(address: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None,
               limit_s: float = 2, redirects: int = 2) -> Message | None:
    """One request on a connection of its own; follows redirects. None: no whole answer in time."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*split(address))
            try:
                writer.write(encode(f"{method} {path} HTTP/1.1", {"Host": "registry", **(headers or {})}, body))
                answer = await read_message(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return None
    if answer is not None and answer.status == 307 and redirects > 0:
        target = answer.headers["location"].removeprefix("http://")
        address, _, path = target.partition("/")
        return await call(address, method, "/" + path, body, headers, limit_s, redirects - 1)
    return answer
