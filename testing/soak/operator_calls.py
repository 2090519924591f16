"""The operator of the soak test: replaces and reads plans, starts and ends evacuations of zones."""
import asyncio
import json
import random
import time

from messages import call
from plans import SERVICES, SLOW_START_PER_S, SLOW_START_S, routes_of


class Operator:
    def __init__(self, registries: list[str], rng: random.Random, extra_routes: int = 0, has_slow_starts: bool = False):
        self.registries = registries
        self.rng = rng
        self.extra_routes = extra_routes  # Used by no request; they make plans large.
        self.has_slow_starts = has_slow_starts
        self.version = 0  # Newest acknowledged version.
        self.acknowledged: list[tuple[float, int]] = [(0.0, 0)]
        self.sent: list[tuple[float, int]] = []  # Time and version: it may be in force from then on.
        self.reads: list[tuple[float, int]] = []  # Time of the request, version in the response.
        self.extra_path: str | None = None
        self.evacuated: set[str] = set()
        self.refusals: list[str] = []

    def _encode_plan(self, version: int) -> bytes:
        paths = [*routes_of(version), *([(self.extra_path, SERVICES[0])] if self.extra_path else [])]
        routes = [{"name": f"r-{number}", "host": "prices.example", "path_prefix": path, "timeout_ms": 3000,
                   "kind": "at_most_once" if path.startswith("/once/") else "repeatable", "objective_ms": 500, "rank": 0,
                   "service": service, "attempts": 2, "affinity": True}
                  for number, (path, service) in enumerate(paths)]
        routes += [{**routes[0], "name": f"further-{number}", "path_prefix": f"/further/{number}/",
                    "rank": version % 3 if number == version % self.extra_routes else 0}
                   for number in range(self.extra_routes)]
        slow_start = ({"slow_start_s": SLOW_START_S, "slow_start_per_s": SLOW_START_PER_S} if self.has_slow_starts
                      else {"slow_start_s": 0, "slow_start_per_s": 50})
        services = [{"name": name, "probe_path": "/health", "connections": 100, **slow_start} for name in SERVICES]
        return json.dumps({"version": version, "routes": routes, "services": services}).encode()

    async def _submit(self, method: str, path: str, body: bytes, headers: dict[str, str], timeout_s: float) -> bool:
        """Sends the same order to random registry hosts until it is acknowledged, rejected or timed out."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            response = await call(self.rng.choice(self.registries), method, path, body, headers, timeout_s=1)
            if response is not None and response.status == 200:
                return True
            if response is not None and response.status in (400, 409, 412, 413, 422):
                self.refusals.append(f"{method} {path}: {response.status} {response.body!r}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def replace_plan(self, timeout_s: float = 60, extra_path: str | None = None) -> bool:
        self.extra_path = extra_path or self.extra_path
        version = self.version + 1
        self.sent.append((time.monotonic(), version))
        headers = {"Saltvane-Plan-Base": str(self.version)}
        if not await self._submit("PUT", "/v1/plan", self._encode_plan(version), headers, timeout_s):
            return False
        self.version = version
        self.acknowledged.append((time.monotonic(), version))
        return True

    async def evacuate(self, zone: str, timeout_s: float = 60) -> bool:
        is_acknowledged = await self._submit("PUT", f"/v1/evacuations/{zone}", b"", {}, timeout_s)
        if is_acknowledged:
            self.evacuated.add(zone)
        return is_acknowledged

    async def end_evacuation(self, zone: str, timeout_s: float = 60) -> bool:
        is_acknowledged = await self._submit("DELETE", f"/v1/evacuations/{zone}", b"", {}, timeout_s)
        if is_acknowledged:
            self.evacuated.discard(zone)
        return is_acknowledged

    async def read(self) -> int | None:
        sent_at = time.monotonic()
        response = await call(self.rng.choice(self.registries), "GET", "/v1/plan", timeout_s=1)
        if response is None or response.status != 200:
            return None
        version = json.loads(response.body)["version"]
        self.reads.append((sent_at, version))
        return version
