"""Finds the process that owns a TCP connection on this machine."""
import contextlib
import os
import pathlib


def owner_of(local_port: int, pids: list[int]) -> int | None:
    """The process among `pids` that has a TCP socket with this local port."""
    inodes = _inodes_of(local_port)
    for pid in pids:
        with contextlib.suppress(OSError):  # The process ended.
            for descriptor in os.scandir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    if os.readlink(descriptor.path) in inodes:
                        return pid
    return None


def _inodes_of(local_port: int) -> set[str]:
    table = pathlib.Path("/proc/net/tcp").read_bytes()
    # Splits only the lines with this port: the table has thousands of them on a busy machine.
    port = b":%04X " % local_port
    lines = (table[table.rfind(b"\n", 0, at) + 1:table.find(b"\n", at)] for at in _positions(table, port))
    fields = [line.decode().split() for line in lines]
    return {f"socket:[{field[9]}]" for field in fields if field[1].endswith(port.decode().strip())}


def _positions(table: bytes, text: bytes):
    at = table.find(text)
    while at >= 0:
        yield at
        at = table.find(text, at + 1)
