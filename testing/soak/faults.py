"""Faults that the soak test injects into the deployment, drawn from a seed. Every fault ends on its own and may overlap
others."""
import asyncio
import collections.abc
import dataclasses
import itertools
import random
import signal
import time

from deployment import Deployment, Host
from forwarder import TO_CLIENT, TO_DESTINATION, Partition
from messages import encode, split
from operator_calls import Operator
from plans import SERVICES, SLOW_START_S, STEADY_PATHS
from targets import Target

STOP_TIMEOUT_S = 7.5  # stop_time_limit_s plus a margin for a busy machine.
CATCH_UP_S = 6
BURST_REQUESTS = 9
BURST_STOP_DELAY_S = (0, 0.003)  # From the last request of a burst until its gateway is stopped.
BURST_CLOSE_DELAY_S = 0.1
LATE_REPORT_FRACTION = 0.7  # Of the targets of a zone that is reopened.
MAX_LEAVE_CALLS = 4  # Targets that leave together.
MAX_RESTARTS = 3  # Of a target in a row.
burst_numbers = itertools.count(1)


@dataclasses.dataclass
class AbandonedBurst:
    """Requests whose callers closed their connections while the gateway was stopped that had them."""
    gateway: str
    closed_at: float
    requests: list[str]


@dataclasses.dataclass
class Isolation:
    """Gateways that were partitioned from all targets."""
    gateways: list[str]  # Their front addresses.
    started_at: float
    ended_at: float | None = None


@dataclasses.dataclass
class World:
    deployment: Deployment
    targets: list[Target]
    operator: Operator
    rng: random.Random
    findings: list[str]
    is_wiping: bool = False
    silenced_at: list[float] = dataclasses.field(default_factory=list)  # When most connections between hosts were silenced.
    abandoned: list[AbandonedBurst] = dataclasses.field(default_factory=list)
    isolations: list[Isolation] = dataclasses.field(default_factory=list)


Fault = collections.abc.Callable[[World], collections.abc.Awaitable[None]]


def choose_host(world: World, hosts: list[Host]) -> Host | None:
    """A random host that runs and isn't paused. A host may be hit again while it recovers."""
    candidates = [host for host in hosts if world.deployment.is_running(host) and not host.is_paused]
    return world.rng.choice(candidates) if candidates else None


def draw_pause(world: World, min_s: float, max_s: float) -> float:
    return world.rng.uniform(min_s, max_s)


async def kill(world: World):
    host = choose_host(world, world.deployment.hosts)
    if host is None:
        return
    world.deployment.kill(host)
    if host.role == "registry" and world.rng.random() < 0.3:
        world.deployment.append_torn_record(host, world.rng.randbytes(world.rng.randint(1, 60)))
    await asyncio.sleep(draw_pause(world, 0.1, 2))
    world.deployment.launch(host)


async def kill_all_registries(world: World):
    killed = [host for host in world.deployment.registries if world.deployment.is_running(host)]
    for host in killed:
        world.deployment.kill(host)
    await asyncio.sleep(draw_pause(world, 0.1, 1))
    for host in killed:
        world.deployment.launch(host)


async def kill_everything(world: World):
    """Kills all hosts at once, as a power loss does; one disk may be lost with it, and one target may restart meanwhile."""
    killed = [host for host in world.deployment.hosts if world.deployment.is_running(host) and not host.is_paused]
    wiped = None
    if not world.is_wiping and world.rng.random() < 0.4:
        wiped = choose_host(world, world.deployment.registries)
    for host in killed:
        world.deployment.kill(host)
    target = world.rng.choice(world.targets)
    restarted = target if target.server is not None and target.state != "leaving" else None
    if restarted is not None:
        restarted.crash()
    if wiped is not None:
        world.is_wiping = True
        world.deployment.wipe(wiped)
    await asyncio.sleep(draw_pause(world, 0.1, 1.5))
    world.rng.shuffle(killed)
    for host in killed:
        world.deployment.launch(host)
        await asyncio.sleep(draw_pause(world, 0, 0.1))
    if restarted is not None:
        await restarted.start()  # A new incarnation at the same address: it must not get hints meant for the previous one.
    if wiped is not None:
        await asyncio.sleep(CATCH_UP_S)
        world.is_wiping = False


async def wipe(world: World):
    """Wipes one disk at a time, which is what three registry hosts tolerate."""
    host = choose_host(world, world.deployment.registries)
    if host is None or world.is_wiping:
        return
    world.is_wiping = True
    world.deployment.kill(host)
    world.deployment.wipe(host)
    await asyncio.sleep(draw_pause(world, 0.1, 1))
    world.deployment.launch(host)
    await asyncio.sleep(CATCH_UP_S)
    world.is_wiping = False


async def stop(world: World):
    host = choose_host(world, world.deployment.hosts)
    if host is None:
        return
    process = world.deployment.system.processes.pop(host.name)
    process.send_signal(signal.SIGTERM)
    for _ in range(int(STOP_TIMEOUT_S * 10)):
        if process.poll() is not None:
            break
        await asyncio.sleep(0.1)
    else:
        world.findings.append(f"{host.name} still runs {STOP_TIMEOUT_S} s after SIGTERM")
        process.kill()
        process.wait()
    world.deployment.launch(host)


async def pause(world: World):
    host = choose_host(world, world.deployment.hosts)
    if host is None:
        return
    process = world.deployment.system.processes[host.name]
    world.deployment.send(host, signal.SIGSTOP)
    await asyncio.sleep(draw_pause(world, 0.3, 4))
    process.send_signal(signal.SIGCONT)
    host.is_paused = False


async def reload(world: World):
    host = choose_host(world, world.deployment.hosts)
    # Between exec and main() a program cannot handle or ignore signals yet.
    if host is not None and world.deployment.has_reached_main(host):
        world.deployment.send(host, signal.SIGHUP)


def forwarders(world: World):
    return [host.forwarder for host in world.deployment.hosts] + [target.forwarder for target in world.targets]


async def hold(world: World):
    """Holds back bytes in one or both directions and delivers them later."""
    forwarder = world.rng.choice(forwarders(world))
    forwarder.hold(*world.rng.choice([(TO_DESTINATION,), (TO_CLIENT,), (TO_DESTINATION, TO_CLIENT)]))
    await asyncio.sleep(draw_pause(world, 0.5, 5))
    forwarder.heal()


async def delay(world: World):
    forwarder = world.rng.choice(forwarders(world))
    forwarder.delay_s = draw_pause(world, 0.02, 0.3)
    await asyncio.sleep(draw_pause(world, 1, 4))
    forwarder.heal()


async def reset(world: World):
    world.rng.choice(forwarders(world)).reset()


async def silence(world: World):
    world.rng.choice(forwarders(world)).silence(world.rng)


async def silence_many(world: World):
    """Silences most connections between hosts at once. A gateway may lose all of its connections while plans are still
    acknowledged."""
    world.silenced_at.append(time.monotonic())
    for host in world.deployment.hosts:
        host.forwarder.silence(world.rng, fraction=0.7)


async def crash_target(world: World):
    target = world.rng.choice(world.targets)
    if target.server is None or target.state == "leaving":
        return
    target.crash()
    await asyncio.sleep(draw_pause(world, 0.2, 3))
    await target.start()


async def leave_target(world: World):
    target = world.rng.choice(world.targets)
    if target.server is None or target.state == "leaving":
        return
    target.state = "leaving"
    await asyncio.sleep(draw_pause(world, 6, 9))
    target.crash()
    await target.start()


async def leave_beside_ends(world: World):
    """A target leaves while a gateway is paused for longer than registry hosts consider it alive; the registry hosts are
    then killed one after the other."""
    target = world.rng.choice(world.targets)
    if target.server is None or target.state == "leaving":
        return
    paused = choose_host(world, world.deployment.gateways)
    if paused is not None:
        process = world.deployment.system.processes[paused.name]
        world.deployment.send(paused, signal.SIGSTOP)
    await asyncio.sleep(draw_pause(world, 0.1, 1))
    target.state = "leaving"
    await asyncio.sleep(draw_pause(world, 4.2, 5.3))
    if paused is not None:
        process.send_signal(signal.SIGCONT)
        paused.is_paused = False
    for host in world.rng.sample(world.deployment.registries, len(world.deployment.registries)):
        if not world.deployment.is_running(host) or host.is_paused:
            continue
        world.deployment.kill(host)
        await asyncio.sleep(draw_pause(world, 0.2, 0.8))
        world.deployment.launch(host)
        await asyncio.sleep(draw_pause(world, 1.5, 2.5))
    await asyncio.sleep(draw_pause(world, 3, 5))
    target.crash()
    await target.start()


async def limit_targets(world: World):
    """Some targets announce limits, change them and withdraw them."""
    chosen = world.rng.sample(world.targets, world.rng.randint(1, len(world.targets)))
    for _ in range(world.rng.randint(1, 3)):
        for target in chosen:
            if target.server is not None:
                target.announce_limit(world.rng.choice([0.0, 0.5, 2.1, 2.9, 8.0]))
        await asyncio.sleep(draw_pause(world, 3, 9))
    for target in chosen:
        target.announce_limit(None)


async def rest_targets(world: World):
    """Some targets refuse every request for a while and request backoff."""
    chosen = world.rng.sample(world.targets, world.rng.randint(1, len(world.targets)))
    for target in chosen:
        target.backoff_s = world.rng.choice([0.5, 2.0, 3.0, 3.5])
    await asyncio.sleep(draw_pause(world, 1, 8))
    for target in chosen:
        target.backoff_s = None


async def leave_by_word(world: World):
    """A target announces in its responses that it leaves, still reports as ready, and stops some seconds later."""
    target = world.rng.choice(world.targets)
    if target.server is None or target.state == "leaving" or target.announces_leaving:
        return
    target.announces_leaving = True
    await asyncio.sleep(draw_pause(world, 6, 9))
    if target.server is not None and target.announces_leaving and target.state != "leaving":
        target.crash()
        await target.start()


async def stop_behind_burst(world: World):
    """A gateway is stopped right behind a burst of requests on new connections, and their callers leave before it goes on."""
    gateway = choose_host(world, world.deployment.gateways)
    if gateway is None:
        return
    process = world.deployment.system.processes[gateway.name]
    try:
        connections = [await asyncio.open_connection(*split(gateway.front_address)) for _ in range(BURST_REQUESTS)]
    except OSError:
        return
    requests = [f"left-{next(burst_numbers)}" for _ in connections]
    for request, (_, writer) in zip(requests, connections):
        path = world.rng.choice(STEADY_PATHS)
        is_once = path.startswith("/once/")
        headers = {"Host": "prices.example", "Saltvane-Request-Id": request, "Saltvane-Deadline-Ms": "3000",
                   "Saltvane-Object": str(world.rng.randrange(40))}
        writer.write(encode(f"{'POST' if is_once else 'GET'} {path}1 HTTP/1.1", headers, b"body" if is_once else b""))
    time.sleep(draw_pause(world, *BURST_STOP_DELAY_S))  # Not asyncio's: other tasks must not run before the signal.
    world.deployment.send(gateway, signal.SIGSTOP)
    await asyncio.sleep(BURST_CLOSE_DELAY_S)
    for _, writer in connections:
        writer.transport.abort()
    world.abandoned.append(AbandonedBurst(gateway.front_address, time.monotonic(), requests))
    await asyncio.sleep(draw_pause(world, 1.2, 3))
    process.send_signal(signal.SIGCONT)
    gateway.is_paused = False


async def surplus_responses(world: World):
    """Some targets send second responses, late, whole or cut, with or without an id, on connections that go on. They answer
    health checks twice as well, cut first responses and close, leave the id out of refusals, and fail some requests."""
    chosen = world.rng.sample(world.targets, world.rng.randint(1, len(world.targets)))
    for target in chosen:
        target.sends_surplus = target.server is not None
    await asyncio.sleep(draw_pause(world, 3, 9))
    for target in chosen:
        target.sends_surplus = False


async def isolate_gateways(world: World):
    """Partitions some gateways, though not all of them, from all targets."""
    gateways = world.deployment.gateways
    chosen = world.rng.sample(gateways, world.rng.randint(1, len(gateways) - 1))

    def pids() -> list[int]:
        return [world.deployment.system.processes[host.name].pid for host in chosen if world.deployment.is_running(host)]

    partition = Partition(pids, world.rng.choice(["hang", "reset", "refuse_new"]))
    isolation = Isolation([host.front_address for host in chosen], time.monotonic())
    world.isolations.append(isolation)
    for target in world.targets:
        target.forwarder.begin(partition)
    await asyncio.sleep(draw_pause(world, 2, 8))
    for target in world.targets:
        target.forwarder.end(partition)
    isolation.ended_at = time.monotonic()


async def change_plan(world: World):
    await world.operator.replace_plan()


async def empty_zone(world: World):
    zone = world.rng.choice(world.deployment.gateways).zone
    if world.operator.evacuated:
        return
    if await world.operator.evacuate(zone):
        await asyncio.sleep(draw_pause(world, 1, 4))
        await world.operator.end_evacuation(zone)


async def reopen_with_late_reports(world: World):
    """A zone is evacuated and reopened. Its targets enter a slow start shortly before it is reopened; heartbeats that some of
    them sent before that arrive after it."""
    zone = world.rng.choice(world.deployment.gateways).zone
    targets = [target for target in world.targets if target.zone == zone and target.server is not None]
    if world.operator.evacuated or not await world.operator.evacuate(zone):
        return
    for target in targets:
        if world.rng.random() < LATE_REPORT_FRACTION:
            target.delay_reports(draw_pause(world, 0.5, 2), draw_pause(world, 2, 4))
    await asyncio.sleep(draw_pause(world, 1, 2))  # All gateways know of the evacuation, or that they are cut off.
    for target in targets:
        if target.server is not None:
            target.begin_slow_start(SLOW_START_S)
    await asyncio.sleep(draw_pause(world, 0.05, 0.4))
    await world.operator.end_evacuation(zone)
    await asyncio.sleep(SLOW_START_S)


async def leave_by_call(world: World):
    """Targets that state their start in heartbeats leave by a call, most of them without stating it there. Right after the
    acknowledgement, hosts restart. The targets start again, half of them under their id."""
    chosen = [target for target in world.rng.sample(world.targets, world.rng.randint(1, MAX_LEAVE_CALLS))
              if target.server is not None and target.state == "ready" and not target.announces_leaving]
    # Gateways that start connect to registry hosts in the order of their addresses, and what the last one reports stands.
    registry = world.rng.choice([world.deployment.registries[0], world.deployment.registries[-1]])
    for target in chosen:
        target.crash()
        await target.start(states_start=True, first_registry=registry.front_address)
    await asyncio.sleep(draw_pause(world, 3, 5))
    calls = [target.call_leave(states_start=world.rng.random() < 0.25, goes_on_reporting=world.rng.random() < 0.5)
             for target in chosen if target.started_ms is not None]
    await asyncio.gather(*calls)
    deployment = world.deployment
    hit = world.rng.choice([deployment.gateways, deployment.gateways, deployment.registries, deployment.hosts,
                            world.rng.sample(deployment.hosts, 2)])
    killed = [host for host in hit if deployment.is_running(host) and not host.is_paused]
    for host in killed:
        deployment.kill(host)
    await asyncio.sleep(draw_pause(world, 0.1, 1))
    for host in killed:
        deployment.launch(host)
    await asyncio.sleep(draw_pause(world, 9, 14))
    for target in chosen:
        if target.server is not None and target.leave_acknowledged_at is not None:
            target.crash()
            await target.start(states_start=True, keeps_id=world.rng.random() < 0.5)


async def restart_without_start(world: World):
    """Targets of a service crash and start again under their ids, in a slow start and without stating their start, some of them
    several times. Late reports of before arrive meanwhile, a target of another id leaves, and hosts restart."""
    rng = world.rng
    service = rng.choice(SERVICES)
    candidates = [target for target in world.targets if target.service == service and target.can_restart_without_start()]
    chosen = rng.sample(candidates, rng.randint(1, len(candidates))) if candidates else []
    series = [restart_in_series(target, rng, rng.uniform(0, 1.5)) for target in chosen]
    others = [target for target in world.targets if target not in chosen and target.can_restart_without_start()]
    if others and rng.random() < 0.4:
        series.append(leave_for_a_while(rng.choice(others), rng.uniform(0, 3), rng.uniform(6, 9)))
    if rng.random() < 0.4:
        series.append(restart_hosts(world, rng.sample(world.deployment.hosts, rng.randint(1, 2)), rng.uniform(0, 6)))
    await asyncio.gather(*series)


async def restart_in_series(target: Target, rng: random.Random, begin_s: float):
    # Drawn before the first wait: later draws would depend on the order in which series go on.
    restarts = [(draw_down_time(rng), rng.uniform(0.1, 5), rng.random() < 0.5) for _ in range(rng.randint(1, MAX_RESTARTS))]
    delays = [rng.uniform(0.5, down_s + 3) if rng.random() < LATE_REPORT_FRACTION else None for down_s, _, _ in restarts]
    await asyncio.sleep(begin_s)
    for (down_s, up_s, is_refusing), delay_s in zip(restarts, delays):
        if delay_s is not None:
            target.delay_reports(delay_s, up_s)
        await asyncio.sleep(up_s)
        if not target.can_restart_without_start():
            return
        await target.restart_without_start(down_s, SLOW_START_S, is_refusing)


def draw_down_time(rng: random.Random) -> float:
    return rng.uniform(0.3, 8) if rng.random() < 0.5 else rng.uniform(0.3, 2)


async def leave_for_a_while(target: Target, begin_s: float, leaving_s: float):
    await asyncio.sleep(begin_s)
    if not target.can_restart_without_start():
        return
    target.state = "leaving"
    await asyncio.sleep(leaving_s)
    target.crash()
    await target.start()


async def restart_hosts(world: World, hosts: list[Host], begin_s: float):
    await asyncio.sleep(begin_s)
    killed = [host for host in hosts if world.deployment.is_running(host) and not host.is_paused]
    for host in killed:
        world.deployment.kill(host)
    await asyncio.sleep(draw_pause(world, 0.1, 1))
    for host in killed:
        world.deployment.launch(host)


FAULTS: list[tuple[Fault, float]] = [
    (kill, 3), (kill_all_registries, 0.7), (wipe, 1), (stop, 2), (pause, 2), (reload, 1), (hold, 3), (delay, 1), (reset, 2),
    (silence, 2), (crash_target, 2), (leave_target, 1), (empty_zone, 1)]


# Each seed range has a fixed set of faults, so that recorded seeds keep drawing the same sequence.
FIRST_SEED_OF_ALL_FAULTS = 1_000_000
FIRST_SEED_OF_SILENT_LINKS = 10_000_000
FIRST_SEED_OF_FATAL_REQUESTS = 100_000_000
FIRST_SEED_OF_LEAVES = 1_000_000_000
FIRST_SEED_OF_LIMITS = 10_000_000_000
FIRST_SEED_OF_BACKOFFS = 100_000_000_000
FIRST_SEED_OF_BURSTS = 1_000_000_000_000
FIRST_SEED_OF_ISOLATIONS = 10_000_000_000_000
FIRST_SEED_OF_SLOW_STARTS = 100_000_000_000_000
FIRST_SEED_OF_LEAVE_CALLS = 1_000_000_000_000_000
FIRST_SEED_OF_SURPLUS_RESPONSES = 10_000_000_000_000_000
FIRST_SEED_OF_RESTARTS_WITHOUT_START = 100_000_000_000_000_000
ALL_FAULTS = [*FAULTS, (kill_everything, 1.5)]
WITH_SILENT_LINKS = [*ALL_FAULTS, (silence_many, 2)]
WITH_LEAVES = [*WITH_SILENT_LINKS, (leave_beside_ends, 2)]
WITH_LIMITS = [*WITH_LEAVES, (limit_targets, 4)]
WITH_BACKOFFS = [*WITH_LIMITS, (rest_targets, 3), (leave_by_word, 2)]
WITH_BURSTS = [*WITH_BACKOFFS, (stop_behind_burst, 3)]
WITH_ISOLATIONS = [*WITH_BURSTS, (isolate_gateways, 3)]
WITH_SLOW_STARTS = [*WITH_ISOLATIONS, (reopen_with_late_reports, 6)]
WITH_LEAVE_CALLS = [*WITH_SLOW_STARTS, (leave_by_call, 5)]
WITH_SURPLUS_RESPONSES = [*WITH_LEAVE_CALLS, (surplus_responses, 5)]
FAULTS_FROM_SEED = {FIRST_SEED_OF_RESTARTS_WITHOUT_START: [*WITH_SURPLUS_RESPONSES, (restart_without_start, 5)],
                    FIRST_SEED_OF_SURPLUS_RESPONSES: WITH_SURPLUS_RESPONSES,
                    FIRST_SEED_OF_LEAVE_CALLS: WITH_LEAVE_CALLS,
                    FIRST_SEED_OF_SLOW_STARTS: WITH_SLOW_STARTS,
                    FIRST_SEED_OF_ISOLATIONS: WITH_ISOLATIONS,
                    FIRST_SEED_OF_BURSTS: WITH_BURSTS,
                    FIRST_SEED_OF_BACKOFFS: WITH_BACKOFFS,
                    FIRST_SEED_OF_LIMITS: WITH_LIMITS, FIRST_SEED_OF_LEAVES: WITH_LEAVES,
                    FIRST_SEED_OF_SILENT_LINKS: WITH_SILENT_LINKS, FIRST_SEED_OF_ALL_FAULTS: ALL_FAULTS, 0: FAULTS}
BY_NAME = {fault.__name__: fault for fault, _ in FAULTS_FROM_SEED[FIRST_SEED_OF_RESTARTS_WITHOUT_START]}


def draw(rng: random.Random, seed: int) -> Fault:
    faults = next(faults for first, faults in FAULTS_FROM_SEED.items() if seed >= first)
    return rng.choices([fault for fault, _ in faults], [weight for _, weight in faults])[0]
