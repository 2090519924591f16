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
    suffix = f":{local_port:04X}"
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    return {f"socket:[{field[9]}]" for field in fields if field[1].endswith(suffix)}
