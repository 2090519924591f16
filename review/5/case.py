"""A key that was taken away opens gateways in touch: a gateway that is cut off hands its requests to them by account name."""
import asyncio
import contextlib
import importlib.util
import pathlib
import sys
import time

REVIEW = pathlib.Path(__file__).resolve().parent.parent
sys.path += [str(REVIEW), str(REVIEW.parent / "testing" / "soak")]
from harness_2 import FRONT, SECOND, TROUBLE, CannotRun, Operator, Record, call, dump, run  # noqa: E402
from sockets import owner_of  # noqa: E402
from workers_2 import Worker, report_forever  # noqa: E402

spec = importlib.util.spec_from_file_location("case6", REVIEW / "6" / "case.py")
case6 = importlib.util.module_from_spec(spec)
spec.loader.exec_module(case6)

CONFIG_APPLY_S = 2.5
# "Clients hold an answer for that long, some for three times as long": three times the look-up answers' 2 s. The client asked right before the
# cut and leaves the gateway then; the cut ends with it.
HOLD_S = 6.0
REQUESTS_PER_S = 64
KEY = "key-a"


class NotingWorker(Worker):
    """Notes from which gateway each run came, by the connection's other end."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.sources: dict[str, str] = {}
        self.names: dict[asyncio.Task, str] = {}

    async def _serve(self, reader, writer):
        port = writer.get_extra_info("peername")[1]
        hosts = {host.process.pid: host.name for host in self.deployment.gateways}
        self.names[asyncio.current_task()] = hosts.get(owner_of(port, list(hosts)), "unknown")
        await super()._serve(reader, writer)

    async def respond(self, path: str, headers: dict[str, str]) -> bytes:
        before = len(self.runs)
        answer = await super().respond(path, headers)
        if len(self.runs) > before:
            self.sources[headers.get("saltvane-request-id", "")] = self.names[asyncio.current_task()] + " as " + headers.get(
                "saltvane-client-account", "nobody")
        return answer


def plan(version: int, keys: list[str]) -> bytes:
    route = {"host": "prices.example", "objective_ms": 400, "rank": 1, "affinity": True, "service": "desk", "timeout_ms": 2500, "attempts": 2,
             "permitted_regions": []}
    return dump({"version": version, "routes": [{"name": "quotes", "path_prefix": "/quotes/", "kind": "repeatable", **route},
                                                {"name": "restate", "path_prefix": "/restate/", "kind": "at_most_once", **route}],
                 "services": [{"name": "desk", "probe_path": "/health", "connections": 330, "slow_start_s": 3.0, "slow_start_per_s": 14.0}],
                 "client_accounts": [{"name": "broker", "keys": keys}, {"name": "other", "keys": ["key-o"]}],
                 "limits": {"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})


class Client:
    """Sends requests with its key to one gateway, on connections that it keeps."""

    def __init__(self, ip: str):
        self.ip = ip
        self.sent: dict[str, float] = {}
        self.answers: dict[str, int] = {}

    async def connection(self, number: int, end: float):
        writer = None
        index = 0
        while time.monotonic() < end:
            await asyncio.sleep(8 / REQUESTS_PER_S)
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(self.ip, FRONT)
                kind, method, length = ("quotes", "GET", "") if index % 2 == 0 else ("restate", "POST", "Content-Length: 0\r\n")
                request = f"{kind}-{number}-{index}"
                index += 1
                self.sent[request] = time.monotonic()
                writer.write((f"{method} /{kind}/{request} HTTP/1.1\r\nHost: prices.example\r\nSaltvane-Client-Key: {KEY}\r\n"
                              f"Saltvane-Request-Id: {request}\r\nSaltvane-Deadline-Ms: 2500\r\nSaltvane-Object: {request}\r\n{length}\r\n").encode())
                lines = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 4)).decode("latin-1").split("\r\n")
                headers = dict((name.lower(), value.strip()) for name, _, value in (line.partition(":") for line in lines[1:] if line))
                await reader.readexactly(int(headers.get("content-length", 0)))
                self.answers[request] = int(lines[0].split(" ")[1])
                if headers.get("connection") == "close":
                    raise ConnectionError
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                if writer is not None:
                    writer.close()
                writer = None


async def case_with(deployment, record: Record) -> bool:
    loop = asyncio.get_running_loop()
    await deployment.start_forwarders()
    deployment.start()
    alone = deployment.gateways[0]
    workers = [NotingWorker(deployment, number, "desk", number % 6) for number in range(8)]
    for worker in workers:
        await worker.start()
    operator = Operator(deployment, record)

    async def order(version: int, keys: list[str]):
        status, text = await loop.run_in_executor(None, lambda: operator.order(
            "PUT", "/v1/plan", plan(version, keys), {"Saltvane-Plan-Base": str(version - 1)}, timeout=1.0))
        if status != 200:
            raise CannotRun(f"plan {version}: {status} {text[:200]!r}")
        record.say(f"version {version}, the account's keys are {keys}: acknowledged")

    await order(1, [KEY, "key-b"])
    reports = asyncio.create_task(report_forever(deployment, workers))
    await asyncio.sleep(8)
    ready = [await loop.run_in_executor(None, lambda h=host: call(h.ip, SECOND, "GET", "/v1/ready", timeout=1.0)[0]) for host in deployment.gateways]
    if set(ready) != {200}:
        raise CannotRun(f"gateways are not ready: {ready}")
    client = Client(alone.ip)
    end = time.monotonic() + 1.5 + HOLD_S
    traffic = [asyncio.create_task(client.connection(number, end)) for number in range(8)]
    await asyncio.sleep(1.5)
    heal = None
    if TROUBLE:
        heal = deployment.cut(alone)
        record.say(f"{alone.name} is cut off from all registry hosts; the others are in touch all the while")
    await asyncio.sleep(0.2)
    await order(2, ["key-b"])
    acknowledged = time.monotonic()
    others = []
    await asyncio.sleep(CONFIG_APPLY_S)
    for host in deployment.gateways[1:]:  # What each gateway in touch says to the key itself.
        status, _, _ = await loop.run_in_executor(None, lambda h=host: call(h.ip, FRONT, "GET", "/quotes/check", None, {
            "Host": "prices.example", "Saltvane-Client-Key": KEY, "Saltvane-Request-Id": f"check-{h.number}"}))
        others.append(status)
    record.say(f"asked directly with the key that was taken away, the gateways in touch answer {others}")
    await asyncio.gather(*traffic)
    if heal is not None:
        heal()
    reports.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await reports
    if any(host.has_ended() for host in deployment.hosts):
        raise CannotRun("a process ended by itself")
    late = sorted((client.sent[request], request, worker.sources.get(request, "unknown")) for worker in workers for _, request in worker.runs
                  if request in client.sent and client.sent[request] > acknowledged + CONFIG_APPLY_S)
    in_touch = [item for item in late if not item[2].startswith((alone.name + " ", "unknown"))]
    for sent, request, source in in_touch[:40]:
        record.say(f"  {request}: sent {sent - acknowledged:.2f} s after the acknowledgement, run for {source}, answered {client.answers.get(request)}")
    record.say(f"{len(client.sent)} requests sent; of those sent more than {CONFIG_APPLY_S} s after the key was taken away {len(late)} ran, "
               f"{len(in_touch)} of them for gateways in touch")
    return not in_touch


def case(record: Record) -> bool:
    deployment = case6.CutDeployment(registries=6, gateways=6, gateway_zones=[0, 0, 1, 2, 3, 4])
    try:
        return asyncio.run(case_with(deployment, record))
    finally:
        deployment.end()


if __name__ == "__main__":
    run(case, pathlib.Path(__file__).parent)
