"""The soak's operator: replaces plans, empties zones and takes them back, reads plans; every call until a clear answer."""
import asyncio
import json
import random
import time

from messages import call
from plans import SERVICES, routes_of


class Operator:
    def __init__(self, registries: list[str], chooser: random.Random, further_routes: int = 0):
        self.registries = registries
        self.chooser = chooser
        self.further_routes = further_routes  # Of no request; they make plans large.
        self.version = 0  # Newest that was acknowledged.
        self.acknowledged: list[tuple[float, int]] = [(0.0, 0)]
        self.sent: list[tuple[float, int]] = []  # May be in force from then on.
        self.reads: list[tuple[float, int]] = []  # When it was sent, and the version it told.
        self.extra_path: str | None = None
        self.evacuated: set[str] = set()
        self.refusals: list[str] = []

    def _plan(self, version: int) -> bytes:
        paths = [*routes_of(version), *([(self.extra_path, SERVICES[0])] if self.extra_path else [])]
        routes = [{"name": f"r-{number}", "host": "prices.example", "path_prefix": path, "timeout_ms": 3000,
                   "kind": "at_most_once" if path.startswith("/once/") else "repeatable", "objective_ms": 500, "rank": 0,
                   "service": service, "attempts": 2, "affinity": True}
                  for number, (path, service) in enumerate(paths)]
        routes += [{**routes[0], "name": f"further-{number}", "path_prefix": f"/further/{number}/",
                    "rank": version % 3 if number == version % self.further_routes else 0}
                   for number in range(self.further_routes)]
        services = [{"name": name, "probe_path": "/health", "connections": 100, "slow_start_s": 0, "slow_start_per_s": 50}
                    for name in SERVICES]
        return json.dumps({"version": version, "routes": routes, "services": services}).encode()

    async def _order(self, method: str, path: str, body: bytes, headers: dict[str, str], limit_s: float) -> bool:
        """Sends the same order, to any host, until it is acknowledged."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            answer = await call(self.chooser.choice(self.registries), method, path, body, headers, limit_s=1)
            if answer is not None and answer.status == 200:
                return True
            if answer is not None and answer.status in (400, 409, 412, 413, 422):
                self.refusals.append(f"{method} {path}: {answer.status} {answer.body!r}")
                return False
            await asyncio.sleep(0.1)
        return False

    async def replace_plan(self, limit_s: float = 60, extra_path: str | None = None) -> bool:
        self.extra_path = extra_path or self.extra_path
        version = self.version + 1
        self.sent.append((time.monotonic(), version))
        headers = {"Saltvane-Plan-Base": str(self.version)}
        if not await self._order("PUT", "/v1/plan", self._plan(version), headers, limit_s):
            return False
        self.version = version
        self.acknowledged.append((time.monotonic(), version))
        return True

    async def evacuate(self, zone: str, limit_s: float = 60) -> bool:
        is_done = await self._order("PUT", f"/v1/evacuations/{zone}", b"", {}, limit_s)
        if is_done:
            self.evacuated.add(zone)
        return is_done

    async def take_back(self, zone: str, limit_s: float = 60) -> bool:
        is_done = await self._order("DELETE", f"/v1/evacuations/{zone}", b"", {}, limit_s)
        if is_done:
            self.evacuated.discard(zone)
        return is_done

    async def read(self) -> int | None:
        sent_at = time.monotonic()
        answer = await call(self.chooser.choice(self.registries), "GET", "/v1/plan", limit_s=1)
        if answer is None or answer.status != 200:
            return None
        version = json.loads(answer.body)["version"]
        self.reads.append((sent_at, version))
        return version
