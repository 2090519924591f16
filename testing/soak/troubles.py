"""When hosts could not have known the newest plan: they did not run, too few registry hosts were within reach, or most
connections had just fallen silent."""
import asyncio
import time

from deployment import Deployment, Host

LOOK_S = 0.05

Span = tuple[float, float]


class Troubles:
    """Looks at the deployment all the while."""

    def __init__(self, deployment: Deployment, world):
        self.deployment = deployment
        self.world = world
        self.spans: dict[str, list[Span]] = {host.front: [] for host in deployment.gateways}
        self.held: dict[str, list[Span]] = {target.forwarder.listen: [] for target in world.targets}

    async def watch(self):
        while True:
            now = time.monotonic()
            able = sum(self._is_able(host) for host in self.deployment.registries) - self.world.wiping
            has_quorum = able > len(self.deployment.registries) // 2
            for host in self.deployment.gateways:
                if not (has_quorum and self._is_able(host)):
                    self._note(self.spans[host.front], now)
            for target in self.world.targets:
                if target.forwarder.is_holding():
                    self._note(self.held[target.forwarder.listen], now)
            await asyncio.sleep(LOOK_S)

    def of(self, gateway: str) -> list[Span]:
        """Sorted by their starts; after each of them a gateway has time to find the others again."""
        return sorted([*self.spans[gateway], *((at, at) for at in self.world.silenced_at)])

    def _is_able(self, host: Host) -> bool:
        return self.deployment.is_running(host) and not host.is_paused and not host.forwarder.is_holding()

    @staticmethod
    def _note(spans: list[Span], now: float):
        # Looks are late on a busy machine.
        if spans and now - spans[-1][1] < 10 * LOOK_S:
            spans[-1] = (spans[-1][0], now)
        else:
            spans.append((now - 2 * LOOK_S, now))
