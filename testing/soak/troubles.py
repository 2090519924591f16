"""Time spans in which gateways cannot be expected to know the newest plan: the gateway did not run or was unreachable, too
few registry hosts were reachable, or most connections had just been silenced."""
import asyncio
import time

from deployment import Deployment, Host

POLL_INTERVAL_S = 0.05

Span = tuple[float, float]


class TroubleMonitor:
    """Polls the deployment and records time spans of trouble."""

    def __init__(self, deployment: Deployment, world):
        self.deployment = deployment
        self.world = world
        self.spans: dict[str, list[Span]] = {host.front_address: [] for host in deployment.gateways}
        self.held_spans: dict[str, list[Span]] = {target.forwarder.listen: [] for target in world.targets}
        self.longest_gap_s = 0.0  # Between two polls, which are due every POLL_INTERVAL_S.

    async def monitor(self):
        last = time.monotonic()
        while True:
            now = time.monotonic()
            self.longest_gap_s = max(self.longest_gap_s, now - last)
            last = now
            reachable = sum(self._is_reachable(host) for host in self.deployment.registries) - self.world.is_wiping
            has_quorum = reachable > len(self.deployment.registries) // 2
            for host in self.deployment.gateways:
                if not (has_quorum and self._is_reachable(host) and not self._is_isolated(host)):
                    self._extend(self.spans[host.front_address], now)
            for target in self.world.targets:
                if target.forwarder.is_holding():
                    self._extend(self.held_spans[target.forwarder.listen], now)
            await asyncio.sleep(POLL_INTERVAL_S)

    def spans_of(self, gateway: str) -> list[Span]:
        """Spans of a gateway's trouble, sorted by start. Checks allow the gateway time to reconnect after each of them."""
        return sorted([*self.spans[gateway], *((at, at) for at in self.world.silenced_at)])

    def _is_reachable(self, host: Host) -> bool:
        return self.deployment.is_running(host) and not host.is_paused and not host.forwarder.is_holding()

    def _is_isolated(self, host: Host) -> bool:
        """Other gateways send its requests, and it learns nothing from targets' responses."""
        return any(isolation.ended_at is None and host.front_address in isolation.gateways
                   for isolation in self.world.isolations)

    @staticmethod
    def _extend(spans: list[Span], now: float):
        # Polls can be late on a busy machine, so that gaps of up to ten intervals are bridged.
        if spans and now - spans[-1][1] < 10 * POLL_INTERVAL_S:
            spans[-1] = (spans[-1][0], now)
        else:
            spans.append((now - 2 * POLL_INTERVAL_S, now))
