"""Sound servers of the second review: they run requests, record each run, and report to the registry hosts."""
import asyncio
import logging
import contextlib
import time

from harness_2 import FRONT, ZONES, Deployment, call, dump


logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # Tasks that end with the run are no errors.


class Worker:
    def __init__(self, deployment: Deployment, number: int, service: str, zone: int, work_s: float = 0.02):
        self.deployment = deployment
        self.id = f"w-{number}"
        self.ip = f"{deployment.network}.{101 + number}"
        self.service = service
        self.zone = ZONES[zone][0]
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.runs: list[tuple[float, str]] = []  # Time, request id.
        self.server: asyncio.Server | None = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, FRONT)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                path = lines[0].split(" ")[1]
                headers = dict((name.lower(), value.strip()) for name, _, value in (line.partition(":") for line in lines[1:] if line))
                await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(await self.respond(path, headers))
                await writer.drain()
        writer.close()

    async def respond(self, path: str, headers: dict[str, str]) -> bytes:
        request = headers.get("saltvane-request-id", "")
        common = f"Saltvane-Request-Id: {request}\r\n" if request else ""
        if path == "/health":
            status = "200 OK" if self.state == "ready" else "503 Leaving"
            return f"HTTP/1.1 {status}\r\nSaltvane-Target: {self.id}\r\nContent-Length: 0\r\n\r\n".encode()
        if headers.get("saltvane-expect-target", self.id) != self.id:
            return f"HTTP/1.1 421 Misdirected\r\n{common}Content-Length: 0\r\n\r\n".encode()
        self.runs.append((time.monotonic(), request))
        await asyncio.sleep(self.work_s)
        body = f"{self.service} {request}".encode()
        return (f"HTTP/1.1 200 OK\r\n{common}Worker-Service: {self.service}\r\nSaltvane-Load: 0,0,9\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    def report(self) -> bytes:
        self.sequence += 1
        return dump({"service": self.service, "address": f"{self.ip}:{FRONT}", "zone": self.zone, "slots": 9, "state": self.state,
                     "slow_start_left_ms": 0, "sequence": self.sequence, "version": "v1"})


async def report_forever(deployment: Deployment, workers: list[Worker]):
    """A heartbeat of each worker every 1.5 s, to the first registry host that acknowledges it within a second."""
    loop = asyncio.get_running_loop()

    def report(worker: Worker):
        body = worker.report()
        for host in deployment.registries:
            if call(host.ip, FRONT, "POST", f"/v1/targets/{worker.id}/heartbeat", body, timeout=1.0)[0] == 200:
                return

    while True:
        await asyncio.gather(*(loop.run_in_executor(None, report, worker) for worker in workers))
        await asyncio.sleep(1.5)
