#!/usr/bin/env python3
"""Randomized soak: real processes on loopback, faults from outside, and the promises checked by what callers, targets and
the operator see.

    testing/soak/soak.py BINARIES [--seed N] [--seeds-of FILE] [--runs N] [--seconds S] [--keep FOLDER]

Without --seed each run draws a fresh one and prints it. --keep: logs of runs with findings go there.
"""
import argparse
import asyncio
import pathlib
import random
import shutil
import sys
import tempfile
import time

import faults
import promises
from callers import Caller, FatalCaller, Outcome
from deployment import REGIONS, Deployment
from operator_calls import Operator
from plans import SERVICES, STEADY_PATHS
from targets import Runs, Target
from troubles import Troubles

CALLERS = 12
FATAL_CALLERS = (0, 1, 1, 2, 3)  # Drawn by seeds from faults.FIRST_SEED_OF_FATAL_REQUESTS on.
TARGETS_PER_ZONE = 2
FAULT_GAP_S = (0.2, 1.2)
LONE_FAULT_GAP_S = (8.0, 10.0)  # Of one kind of fault alone: its consequences are over before it strikes again.
READY_LIMIT_S = 30
# Promises: seconds after the last fault has ended, or after an acknowledgement. Margins for a busy machine included.
RECOVERY_S = 20
ORDER_LIMIT_S = 15
IN_FORCE_S = 5


class Run:
    def __init__(self, seed: int, options, folder: pathlib.Path):
        self.seed = seed
        self.chooser = random.Random(seed)
        self.seconds = options.seconds
        self.only: str | None = options.only
        self.deployment = Deployment(options.binaries.resolve(), folder, options.registries, options.gateways)
        self.runs = Runs()
        self.outcomes: list[Outcome] = []
        self.findings: list[str] = []
        registries = [host.front for host in self.deployment.registries]
        self.operator = Operator(registries, random.Random(seed + 1), options.routes)
        zones = [host.zone for host in self.deployment.gateways[:len(REGIONS)] for _ in range(TARGETS_PER_ZONE)]
        network = self.deployment.network
        self.targets = [Target(f"{network}.{101 + i}:{18080}", f"{network}.{141 + i}:{18080}", SERVICES[i % len(SERVICES)],
                               zone, registries, self.runs, random.Random(f"{seed}-target-{i}"))
                        for i, zone in enumerate(zones)]
        self.world = faults.World(self.deployment, self.targets, self.operator, self.chooser, self.findings)
        self.troubles = Troubles(self.deployment, self.world)
        # Of a chooser of its own: seeds kept before draw what they drew.
        fatal = random.Random(f"{seed}-fatal")
        count = options.fatal
        if count is None:
            count = fatal.choice(FATAL_CALLERS) if seed >= faults.FIRST_SEED_OF_FATAL_REQUESTS else 0
        gateways = [host.front for host in self.deployment.gateways]
        self.fatal_callers = [FatalCaller(number, gateways, random.Random(f"{seed}-fatal-{number}"))
                              for number in range(count)]
        self.tasks: list[asyncio.Task] = []
        self.fatal_tasks: list[asyncio.Task] = []

    async def play(self):
        await self.deployment.start()
        for target in self.targets:
            await target.forwarder.start()
            await target.start()
        if not await self.operator.replace_plan(READY_LIMIT_S):
            return self.findings.append("no first plan was acknowledged")
        directories = [host.second for host in self.deployment.registries]
        for number in range(CALLERS):
            host = self.deployment.gateways[number % len(self.deployment.gateways)]
            caller = Caller(number, host.zone, host.region, directories, random.Random(f"{number}"), self.outcomes)
            self.tasks.append(asyncio.create_task(caller.run()))
        self.fatal_tasks = [asyncio.create_task(caller.run()) for caller in self.fatal_callers]
        self.tasks.append(asyncio.create_task(self.troubles.watch()))
        self.tasks.append(asyncio.create_task(self._change_plans()))
        self.tasks.append(asyncio.create_task(self._read_plans()))
        await self._disturb()
        await self._end_fatal_callers()
        await self._check_recovery()
        await self._check_orders()
        self.findings += promises.findings_of_outcomes(self.outcomes, self.runs.count)
        self.findings += promises.findings_of_plans(self.outcomes, self.runs.services, self.operator.sent,
                                                    self.operator.acknowledged,
                                                    {gateway: self.troubles.of(gateway) for gateway in self.troubles.spans})
        self.findings += promises.findings_of_reads(self.operator.reads, self.operator.acknowledged)
        sent = {request: one for caller in self.fatal_callers for request, one in caller.sent.items()}
        self.findings += promises.findings_of_fatal(
            self.runs.fatal, sent, {gateway: self.troubles.of(gateway) for gateway in self.troubles.spans})
        self.findings += promises.findings_of_leaves(
            self.runs.after_leave, self.outcomes, {gateway: self.troubles.of(gateway) for gateway in self.troubles.spans})
        self.findings += promises.findings_of_limits(
            self.runs.limits, self.runs.arrivals, self.runs.told,
            {outcome.request: outcome.gateway for outcome in self.outcomes},
            {gateway: self.troubles.of(gateway) for gateway in self.troubles.spans}, self.troubles.held)
        self.findings += promises.findings_of_rests(
            self.runs.rests, self.runs.arrivals, {outcome.request: outcome.gateway for outcome in self.outcomes},
            {gateway: self.troubles.of(gateway) for gateway in self.troubles.spans}, self.troubles.held)
        self.findings += promises.findings_of_leaving_words(
            self.runs.leaving_told, self.runs.arrivals, self.outcomes,
            {gateway: self.troubles.of(gateway) for gateway in self.troubles.spans})
        self.findings += self.deployment.ended_by_themselves()

    async def _end_fatal_callers(self):
        """Calm is checked with all targets there."""
        for task in self.fatal_tasks:
            task.cancel()
        await asyncio.gather(*self.fatal_tasks, return_exceptions=True)
        returning = [target.return_task for target in self.targets if target.return_task is not None]
        await asyncio.gather(*returning, return_exceptions=True)

    async def _change_plans(self):
        while True:
            await asyncio.sleep(random.uniform(0.3, 1.5))
            await faults.change_plan(self.world)

    async def _read_plans(self):
        while True:
            await asyncio.sleep(0.1)
            await self.operator.read()

    async def _disturb(self):
        end = time.monotonic() + self.seconds
        running = []
        while time.monotonic() < end:
            await asyncio.sleep(self.chooser.uniform(*(LONE_FAULT_GAP_S if self.only else FAULT_GAP_S)))
            fault = faults.BY_NAME[self.only] if self.only else faults.draw(self.chooser, self.seed)
            running.append(asyncio.create_task(fault(self.world)))
        await asyncio.gather(*running)

    async def _served_within(self, limit_s: float) -> bool:
        """Whether ten requests in a row are served, by the newest outcomes."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            start = len(self.outcomes)
            await asyncio.sleep(0.5)
            latest = [outcome for outcome in self.outcomes[start:] if outcome.path in STEADY_PATHS]
            if len(latest) >= 10 and sum(outcome.status == 200 for outcome in latest) >= 0.9 * len(latest):
                return True
        return False

    async def _check_recovery(self):
        if not await self._served_within(RECOVERY_S):
            statuses = [outcome.status for outcome in self.outcomes[-30:]]
            self.findings.append(f"not served {RECOVERY_S} s after the last fault; last outcomes {statuses}")

    async def _check_orders(self):
        """In calm: orders are acknowledged, in force at every gateway, and keep what they promise."""
        self.tasks[-2].cancel()  # The operator's own changes.
        await asyncio.gather(self.tasks[-2], return_exceptions=True)
        self.findings += [f"refused, with no other operator: {refusal}" for refusal in self.operator.refusals]
        self.operator.refusals.clear()
        if not await self.operator.replace_plan(ORDER_LIMIT_S, extra_path="/late/"):
            # A change that was cancelled without an answer may be in force: then the version is taken already.
            self.operator.version = await self.operator.read() or self.operator.version
            if not await self.operator.replace_plan(ORDER_LIMIT_S, extra_path="/late/"):
                return self.findings.append(f"a plan was not acknowledged in calm: {self.operator.refusals}")
        zone = self.targets[0].zone
        leaving = self.targets[-1]
        leaving.state = "leaving"
        if not await self.operator.evacuate(zone, ORDER_LIMIT_S):
            return self.findings.append("an evacuation was not acknowledged in calm")
        await asyncio.sleep(IN_FORCE_S)
        if leaving.left_at is None:
            self.findings.append(f"{leaving.id} had no acknowledgement that it leaves")
        since = time.monotonic()
        await asyncio.sleep(2)
        self.findings += promises.findings_of_orders(self.runs.at, since, zone, leaving.id)
        if not await self._served_within(ORDER_LIMIT_S):
            self.findings.append("not served beside an evacuated zone")

    async def end(self):
        for task in [*self.tasks, *self.fatal_tasks]:
            task.cancel()
        for target in self.targets:
            target.crash()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.deployment.system.end()
        for forwarder in faults.forwarders(self.world):
            await forwarder.stop()


async def play(seed: int, options) -> list[str]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    run = Run(seed, options, folder)
    try:
        await run.play()
    finally:
        await run.end()
    statuses = {status: sum(outcome.status == status for outcome in run.outcomes)
                for status in sorted({outcome.status for outcome in run.outcomes})}
    print(f"seed {seed}: {len(run.outcomes)} requests, by status {statuses}, plan {run.operator.version}, "
          f"{len(run.fatal_callers)} fatal callers, {len(run.runs.fatal)} ends, {len(run.findings)} findings", flush=True)
    for finding in run.findings[:10]:
        print(f"  {finding}", flush=True)
    if run.findings and options.keep:
        shutil.copytree(folder, options.keep / str(seed), dirs_exist_ok=True)
    shutil.rmtree(folder)
    return run.findings


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("binaries", type=pathlib.Path)
    parser.add_argument("--seed", type=int, action="append", help="may be given several times")
    parser.add_argument("--seeds-of", type=pathlib.Path, help="a file with a seed and its cause a line")
    parser.add_argument("--runs", type=int, default=1, help="fresh seeds, where none is given")
    parser.add_argument("--seconds", type=float, default=10, help="of trouble a run")
    parser.add_argument("--only", choices=sorted(faults.BY_NAME), help="one kind of fault, each 8 to 10 s")
    parser.add_argument("--fatal", type=int, help="callers whose request ends the targets that run it; else drawn")
    parser.add_argument("--routes", type=int, default=0, help="further routes that every plan has, one of which changes")
    parser.add_argument("--registries", type=int, default=3, help="processes of that role, 9 at the most")
    parser.add_argument("--gateways", type=int, default=3, help="the same, 29 at the most")
    parser.add_argument("--keep", type=pathlib.Path)
    options = parser.parse_args()
    kept = options.seeds_of.read_text().splitlines() if options.seeds_of else []
    known = [int(line.split()[0]) for line in kept if line and not line.startswith("#")]
    seeds = (options.seed or []) + known or [
        random.SystemRandom().randrange(faults.FIRST_SEED_OF_RESTS, 10**12) for _ in range(options.runs)]
    bad = [seed for seed in seeds if asyncio.run(play(seed, options))]
    print(f"soak: {len(seeds) - len(bad)} passed, {len(bad)} failed" + (f": {bad}" if bad else ""))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
