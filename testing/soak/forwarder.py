"""A loopback TCP forwarder that delays, holds back, resets and silences connections."""
import asyncio
import collections.abc
import contextlib
import dataclasses
import random

from messages import split
from sockets import owner_of

BLOCK = 64 * 1024
TO_DESTINATION = 0
TO_CLIENT = 1


@dataclasses.dataclass(eq=False)
class Partition:
    """Separates some processes from the destinations of forwarders."""
    pids: collections.abc.Callable[[], list[int]]  # Of the separated processes; a restart changes them.
    kind: str  # "hang", "reset" or "refuse_new"


class Connection:
    """An accepted connection and the forwarded one to the destination."""

    def __init__(self, client_writer: asyncio.StreamWriter, destination_writer: asyncio.StreamWriter):
        self.writers = (client_writer, destination_writer)
        self.client_port = client_writer.get_extra_info("peername")[1]
        self.is_silenced = False

    def reset(self):
        for writer in self.writers:
            writer.transport.abort()


class Forwarder:
    """Listens at one address and forwards every connection to another."""

    def __init__(self, listen: str, destination: str):
        self.listen = listen
        self.destination = destination
        self.connections: set[Connection] = set()
        self.delay_s = 0.0
        self.is_open = [asyncio.Event(), asyncio.Event()]  # By direction; while cleared, bytes are held back.
        self.heal()
        self.server: asyncio.Server | None = None
        self.partitions: list[Partition] = []

    async def start(self):
        ip, port = split(self.listen)
        self.server = await asyncio.start_server(self._serve, ip, port)

    async def stop(self):
        if self.server is not None:
            self.server.close()
        self.heal()
        while self.connections:
            self.reset()  # Again, since connections that were being accepted may be added meanwhile.
            await asyncio.sleep(0.01)

    def heal(self):
        """Ends delays and holds. Silenced connections stay silent."""
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

    def silence(self, rng: random.Random, fraction: float = 1):
        """Makes this fraction of the current connections drop all bytes for good; new connections work. With a fraction of 1
        nothing is drawn from `rng`, so that recorded seeds keep drawing the same sequence."""
        for connection in self.connections:
            connection.is_silenced = connection.is_silenced or fraction >= 1 or rng.random() < fraction

    def begin(self, partition: Partition):
        self.partitions.append(partition)
        for connection in list(self.connections):
            if partition.kind == "refuse_new" or owner_of(connection.client_port, partition.pids()) is None:
                continue
            if partition.kind == "hang":
                connection.is_silenced = True
            else:
                connection.reset()

    def end(self, partition: Partition):
        """Connections that hang stay silent."""
        self.partitions.remove(partition)

    async def _serve(self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter):
        try:
            destination_reader, destination_writer = await asyncio.open_connection(*split(self.destination))
        except OSError:
            client_writer.transport.abort()
            return
        connection = Connection(client_writer, destination_writer)
        for partition in self.partitions:
            if owner_of(connection.client_port, partition.pids()) is not None:
                if partition.kind != "hang":
                    return connection.reset()
                connection.is_silenced = True
        self.connections.add(connection)
        await asyncio.gather(self._relay(connection, client_reader, destination_writer, TO_DESTINATION),
                             self._relay(connection, destination_reader, client_writer, TO_CLIENT))
        connection.reset()
        self.connections.discard(connection)

    async def _relay(self, connection: Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: int):
        with contextlib.suppress(OSError):
            while block := await reader.read(BLOCK):
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                await self.is_open[direction].wait()
                if connection.is_silenced:
                    continue
                writer.write(block)
                await writer.drain()
            if not connection.is_silenced and writer.can_write_eof():
                writer.write_eof()
            return
        connection.reset()
