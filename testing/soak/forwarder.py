"""A loopback TCP forwarder that delays, holds up, resets and silences connections."""
import asyncio
import contextlib
import random

from messages import split

BLOCK = 64 * 1024
TOWARDS = 0
BACK = 1


class Connection:
    """One connection and its continuation."""

    def __init__(self, near: asyncio.StreamWriter, far: asyncio.StreamWriter):
        self.writers = (near, far)
        self.is_silent = False

    def reset(self):
        for writer in self.writers:
            writer.transport.abort()


class Forwarder:
    """Listens at one address and passes every connection on to another."""

    def __init__(self, listen: str, to: str):
        self.listen = listen
        self.to = to
        self.connections: set[Connection] = set()
        self.delay_s = 0.0
        self.is_open = [asyncio.Event(), asyncio.Event()]  # By direction; closed: bytes are held up until it opens.
        self.heal()
        self.server: asyncio.Server | None = None

    async def start(self):
        ip, port = split(self.listen)
        self.server = await asyncio.start_server(self._serve, ip, port)

    async def stop(self):
        if self.server is not None:
            self.server.close()
        self.heal()
        self.reset()
        while self.connections:
            await asyncio.sleep(0.01)

    def heal(self):
        """Holds nothing up any more. Silenced connections stay silent."""
        self.delay_s = 0.0
        for event in self.is_open:
            event.set()

    def hold(self, *directions: int):
        for direction in directions:
            self.is_open[direction].clear()

    def is_holding(self) -> bool:
        return not all(event.is_set() for event in self.is_open)

    def reset(self):
        for connection in list(self.connections):
            connection.reset()

    def silence(self, chooser: random.Random, share: float = 1):
        """Of the connections that stand now this share passes nothing any more, ever; new ones work. Draws nothing where
        it is all of them: kept seeds go on as they did."""
        for connection in self.connections:
            connection.is_silent = connection.is_silent or share >= 1 or chooser.random() < share

    async def _serve(self, reader: asyncio.StreamReader, near: asyncio.StreamWriter):
        try:
            far_reader, far = await asyncio.open_connection(*split(self.to))
        except OSError:
            near.transport.abort()
            return
        connection = Connection(near, far)
        self.connections.add(connection)
        await asyncio.gather(self._pass(connection, reader, far, TOWARDS), self._pass(connection, far_reader, near, BACK))
        connection.reset()
        self.connections.discard(connection)

    async def _pass(self, connection: Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: int):
        with contextlib.suppress(OSError):
            while block := await reader.read(BLOCK):
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                await self.is_open[direction].wait()
                if connection.is_silent:
                    continue
                writer.write(block)
                await writer.drain()
            if not connection.is_silent and writer.can_write_eof():
                writer.write_eof()
            return
        connection.reset()
