"""What the soak does to the deployment from outside, drawn by a seed. Every fault ends by itself and may overlap others."""
import asyncio
import collections.abc
import dataclasses
import random
import signal
import time

from deployment import Deployment, Host
from forwarder import BACK, TOWARDS
from operator_calls import Operator
from targets import Target

STOP_LIMIT_S = 7.5  # stop_time_limit_s and a margin for a busy machine.
CATCH_UP_S = 6


@dataclasses.dataclass
class World:
    deployment: Deployment
    targets: list[Target]
    operator: Operator
    chooser: random.Random
    findings: list[str]
    wiping: bool = False
    silenced_at: list[float] = dataclasses.field(default_factory=list)  # Most connections between hosts.


Fault = collections.abc.Callable[[World], collections.abc.Awaitable[None]]


def a_host(world: World, hosts: list[Host]) -> Host | None:
    """One that runs and isn't paused; hosts may be struck again while they come back."""
    able = [host for host in hosts if world.deployment.is_running(host) and not host.is_paused]
    return world.chooser.choice(able) if able else None


def a_pause(world: World, least: float, most: float) -> float:
    return world.chooser.uniform(least, most)


async def kill(world: World):
    host = a_host(world, world.deployment.hosts)
    if host is None:
        return
    world.deployment.kill(host)
    if host.role == "registry" and world.chooser.random() < 0.3:
        world.deployment.tear_tail(host, world.chooser.randbytes(world.chooser.randint(1, 60)))
    await asyncio.sleep(a_pause(world, 0.1, 2))
    world.deployment.launch(host)


async def kill_all_registries(world: World):
    killed = [host for host in world.deployment.registries if world.deployment.is_running(host)]
    for host in killed:
        world.deployment.kill(host)
    await asyncio.sleep(a_pause(world, 0.1, 1))
    for host in killed:
        world.deployment.launch(host)


async def kill_everything(world: World):
    """All hosts at once, as by a loss of power; one disk may be lost with it, and one target ends meanwhile."""
    killed = [host for host in world.deployment.hosts if world.deployment.is_running(host) and not host.is_paused]
    wiped = None
    if not world.wiping and world.chooser.random() < 0.4:
        wiped = a_host(world, world.deployment.registries)
    for host in killed:
        world.deployment.kill(host)
    target = world.chooser.choice(world.targets)
    restarted = target if target.server is not None and target.state != "leaving" else None
    if restarted is not None:
        restarted.crash()
    if wiped is not None:
        world.wiping = True
        world.deployment.wipe(wiped)
    await asyncio.sleep(a_pause(world, 0.1, 1.5))
    world.chooser.shuffle(killed)
    for host in killed:
        world.deployment.launch(host)
        await asyncio.sleep(a_pause(world, 0, 0.1))
    if restarted is not None:
        await restarted.start()  # Another start at the same address: hints of the one before must not reach it.
    if wiped is not None:
        await asyncio.sleep(CATCH_UP_S)
        world.wiping = False


async def wipe(world: World):
    """One disk at a time: that is what three registry hosts bear."""
    host = a_host(world, world.deployment.registries)
    if host is None or world.wiping:
        return
    world.wiping = True
    world.deployment.kill(host)
    world.deployment.wipe(host)
    await asyncio.sleep(a_pause(world, 0.1, 1))
    world.deployment.launch(host)
    await asyncio.sleep(CATCH_UP_S)
    world.wiping = False


async def stop(world: World):
    host = a_host(world, world.deployment.hosts)
    if host is None:
        return
    process = world.deployment.system.processes.pop(host.name)
    process.send_signal(signal.SIGTERM)
    for _ in range(int(STOP_LIMIT_S * 10)):
        if process.poll() is not None:
            break
        await asyncio.sleep(0.1)
    else:
        world.findings.append(f"{host.name} still runs {STOP_LIMIT_S} s after SIGTERM")
        process.kill()
        process.wait()
    world.deployment.launch(host)


async def pause(world: World):
    host = a_host(world, world.deployment.hosts)
    if host is None:
        return
    process = world.deployment.system.processes[host.name]
    world.deployment.send(host, signal.SIGSTOP)
    await asyncio.sleep(a_pause(world, 0.3, 4))
    process.send_signal(signal.SIGCONT)
    host.is_paused = False


async def reload(world: World):
    host = a_host(world, world.deployment.hosts)
    # Between exec and main() no program can have its say about a signal.
    if host is not None and world.deployment.has_reached_main(host):
        world.deployment.send(host, signal.SIGHUP)


def forwarders(world: World):
    return [host.forwarder for host in world.deployment.hosts] + [target.forwarder for target in world.targets]


async def hold(world: World):
    """Bytes are held up, both ways or one way, and come through later."""
    forwarder = world.chooser.choice(forwarders(world))
    forwarder.hold(*world.chooser.choice([(TOWARDS,), (BACK,), (TOWARDS, BACK)]))
    await asyncio.sleep(a_pause(world, 0.5, 5))
    forwarder.heal()


async def delay(world: World):
    forwarder = world.chooser.choice(forwarders(world))
    forwarder.delay_s = a_pause(world, 0.02, 0.3)
    await asyncio.sleep(a_pause(world, 1, 4))
    forwarder.heal()


async def reset(world: World):
    world.chooser.choice(forwarders(world)).reset()


async def silence(world: World):
    world.chooser.choice(forwarders(world)).silence(world.chooser)


async def silence_many(world: World):
    """Most connections between hosts at the same moment: all those of a gateway, while plans go on being acknowledged."""
    world.silenced_at.append(time.monotonic())
    for host in world.deployment.hosts:
        host.forwarder.silence(world.chooser, share=0.7)


async def crash_target(world: World):
    target = world.chooser.choice(world.targets)
    if target.server is None or target.state == "leaving":
        return
    target.crash()
    await asyncio.sleep(a_pause(world, 0.2, 3))
    await target.start()


async def leave_target(world: World):
    target = world.chooser.choice(world.targets)
    if target.server is None or target.state == "leaving":
        return
    target.state = "leaving"
    await asyncio.sleep(a_pause(world, 6, 9))
    target.crash()
    await target.start()


async def leave_beside_ends(world: World):
    """A target leaves while a gateway stands still longer than registry hosts count it in, and these end in turn."""
    target = world.chooser.choice(world.targets)
    if target.server is None or target.state == "leaving":
        return
    standing = a_host(world, world.deployment.gateways)
    if standing is not None:
        process = world.deployment.system.processes[standing.name]
        world.deployment.send(standing, signal.SIGSTOP)
    await asyncio.sleep(a_pause(world, 0.1, 1))
    target.state = "leaving"
    await asyncio.sleep(a_pause(world, 4.2, 5.3))
    if standing is not None:
        process.send_signal(signal.SIGCONT)
        standing.is_paused = False
    for host in world.chooser.sample(world.deployment.registries, len(world.deployment.registries)):
        if not world.deployment.is_running(host) or host.is_paused:
            continue
        world.deployment.kill(host)
        await asyncio.sleep(a_pause(world, 0.2, 0.8))
        world.deployment.launch(host)
        await asyncio.sleep(a_pause(world, 1.5, 2.5))
    await asyncio.sleep(a_pause(world, 3, 5))
    target.crash()
    await target.start()


async def limit_targets(world: World):
    """Some targets name limits, change them, and take them back."""
    chosen = world.chooser.sample(world.targets, world.chooser.randint(1, len(world.targets)))
    for _ in range(world.chooser.randint(1, 3)):
        for target in chosen:
            if target.server is not None:
                target.name_limit(world.chooser.choice([0.0, 0.5, 2.1, 2.9, 8.0]))
        await asyncio.sleep(a_pause(world, 3, 9))
    for target in chosen:
        target.name_limit(None)


async def rest_targets(world: World):
    """Some targets turn every request away for a while, and ask for rest."""
    chosen = world.chooser.sample(world.targets, world.chooser.randint(1, len(world.targets)))
    for target in chosen:
        target.rest = world.chooser.choice([0.5, 2.0, 3.0, 3.5])
    await asyncio.sleep(a_pause(world, 1, 8))
    for target in chosen:
        target.rest = None


async def leave_by_word(world: World):
    """A target says in its answers that it leaves, reports as ready, and ends some seconds later."""
    target = world.chooser.choice(world.targets)
    if target.server is None or target.state == "leaving" or target.is_leaving_told:
        return
    target.is_leaving_told = True
    await asyncio.sleep(a_pause(world, 6, 9))
    if target.server is not None and target.is_leaving_told and target.state != "leaving":
        target.crash()
        await target.start()


async def change_plan(world: World):
    await world.operator.replace_plan()


async def empty_zone(world: World):
    zone = world.chooser.choice(world.deployment.gateways).zone
    if world.operator.evacuated:
        return
    if await world.operator.evacuate(zone):
        await asyncio.sleep(a_pause(world, 1, 4))
        await world.operator.take_back(zone)


FAULTS: list[tuple[Fault, float]] = [
    (kill, 3), (kill_all_registries, 0.7), (wipe, 1), (stop, 2), (pause, 2), (reload, 1), (hold, 3), (delay, 1), (reset, 2),
    (silence, 2), (crash_target, 2), (leave_target, 1), (empty_zone, 1)]


# Seeds below draw as they did when they were kept.
FIRST_SEED_OF_ALL_FAULTS = 1_000_000
FIRST_SEED_OF_SILENT_LINKS = 10_000_000
FIRST_SEED_OF_FATAL_REQUESTS = 100_000_000
FIRST_SEED_OF_LEAVES = 1_000_000_000
FIRST_SEED_OF_LIMITS = 10_000_000_000
FIRST_SEED_OF_RESTS = 100_000_000_000
ALL_FAULTS = [*FAULTS, (kill_everything, 1.5)]
WITH_SILENT_LINKS = [*ALL_FAULTS, (silence_many, 2)]
WITH_LEAVES = [*WITH_SILENT_LINKS, (leave_beside_ends, 2)]
WITH_LIMITS = [*WITH_LEAVES, (limit_targets, 4)]
FAULTS_FROM_SEED = {FIRST_SEED_OF_RESTS: [*WITH_LIMITS, (rest_targets, 3), (leave_by_word, 2)],
                    FIRST_SEED_OF_LIMITS: WITH_LIMITS, FIRST_SEED_OF_LEAVES: WITH_LEAVES,
                    FIRST_SEED_OF_SILENT_LINKS: WITH_SILENT_LINKS, FIRST_SEED_OF_ALL_FAULTS: ALL_FAULTS, 0: FAULTS}
BY_NAME = {fault.__name__: fault for fault, _ in FAULTS_FROM_SEED[FIRST_SEED_OF_RESTS]}


def draw(chooser: random.Random, seed: int) -> Fault:
    faults = next(faults for first, faults in FAULTS_FROM_SEED.items() if seed >= first)
    return chooser.choices([fault for fault, _ in faults], [weight for _, weight in faults])[0]
