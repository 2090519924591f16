#!/usr/bin/env python3
"""Randomized soak test: runs real processes on loopback, injects faults, and checks the promises against what callers,
targets and the operator record.

    testing/soak/soak.py BINARIES [--seed N] [--seeds-of FILE] [--runs N] [--seconds S] [--keep FOLDER]

Without --seed each run draws a new seed and prints it. --keep: folder for the logs of runs with findings.
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
from plans import SERVICES, STEADY_PATHS, less_used_service
from targets import Runs, Target
from troubles import TroubleMonitor

CALLER_COUNT = 12
FATAL_CALLER_COUNTS = (0, 1, 1, 2, 3)  # Number of them, drawn for seeds from faults.FIRST_SEED_OF_FATAL_REQUESTS on.
TARGETS_PER_ZONE = 2
FAULT_INTERVAL_S = (0.2, 1.2)
SINGLE_FAULT_INTERVAL_S = (8.0, 10.0)  # With --only: long enough that the system recovers before the next fault.
READY_TIMEOUT_S = 30
# Time limits after the end of the last fault or after an order, with margins for a busy machine.
RECOVERY_S = 20
ORDER_TIMEOUT_S = 15
IN_FORCE_S = 5
# A fatal request that is on its way when its caller ends crashes its target within this time.
LAST_CRASH_S = 1


class Run:
    def __init__(self, seed: int, options, folder: pathlib.Path):
        self.seed = seed
        self.rng = random.Random(seed)
        self.seconds = options.seconds
        self.only: str | None = options.only
        self.deployment = Deployment(options.binaries.resolve(), folder, options.registries, options.gateways)
        self.runs = Runs()
        self.outcomes: list[Outcome] = []
        self.callers: list[Caller] = []
        self.findings: list[str] = []
        registries = [host.front_address for host in self.deployment.registries]
        has_slow_starts = (seed >= faults.FIRST_SEED_OF_SLOW_STARTS or self.only in (
            faults.reopen_with_late_reports.__name__, faults.restart_without_start.__name__))
        self.operator = Operator(registries, random.Random(seed + 1), options.routes, has_slow_starts)
        zones = [host.zone for host in self.deployment.gateways[:len(REGIONS)] for _ in range(TARGETS_PER_ZONE)]
        network = self.deployment.network
        self.targets = [Target(f"{network}.{101 + i}:{18080}", f"{network}.{141 + i}:{18080}", SERVICES[i % len(SERVICES)],
                               zone, registries, self.runs, random.Random(f"{seed}-target-{i}"),
                               random.Random(f"{seed}-surplus-{i}"))
                        for i, zone in enumerate(zones)]
        self.world = faults.World(self.deployment, self.targets, self.operator, self.rng, self.findings)
        self.troubles = TroubleMonitor(self.deployment, self.world)
        # From its own random generator, so that recorded seeds keep drawing the same sequence.
        fatal_rng = random.Random(f"{seed}-fatal")
        count = options.fatal
        if count is None:
            count = fatal_rng.choice(FATAL_CALLER_COUNTS) if seed >= faults.FIRST_SEED_OF_FATAL_REQUESTS else 0
        gateways = [host.front_address for host in self.deployment.gateways]
        self.fatal_callers = [FatalCaller(number, gateways, random.Random(f"{seed}-fatal-{number}"))
                              for number in range(count)]
        self.tasks: list[asyncio.Task] = []
        self.fatal_tasks: list[asyncio.Task] = []

    async def execute(self):
        await self.deployment.start()
        for target in self.targets:
            await target.forwarder.start()
            await target.start()
        if not await self.operator.replace_plan(READY_TIMEOUT_S):
            return self.findings.append("the first plan was not acknowledged")
        directory_addresses = [host.second_address for host in self.deployment.registries]
        for number in range(CALLER_COUNT):
            host = self.deployment.gateways[number % len(self.deployment.gateways)]
            # Half of the callers stay at the gateways of their first look-up, so that isolated gateways have callers.
            stays = self.seed >= faults.FIRST_SEED_OF_ISOLATIONS and number >= CALLER_COUNT // 2
            caller = Caller(number, host.zone, host.region, directory_addresses, random.Random(f"{number}"), self.outcomes,
                            follows_look_ups=not stays)
            self.callers.append(caller)
            self.tasks.append(asyncio.create_task(caller.run()))
        self.fatal_tasks = [asyncio.create_task(caller.run()) for caller in self.fatal_callers]
        self.tasks.append(asyncio.create_task(self.troubles.monitor()))
        self.tasks.append(asyncio.create_task(self._change_plans()))
        self.tasks.append(asyncio.create_task(self._read_plans()))
        await self._inject_faults()
        await self._end_fatal_callers()
        await self._check_recovery()
        await self._check_orders()
        self.findings += promises.findings_of_outcomes(self.outcomes, self.runs.count)
        self.findings += promises.findings_of_responses(self.outcomes, self.runs.responses)
        self.findings += promises.findings_of_unrequested([item for caller in self.callers for item in caller.unrequested])
        self.findings += promises.findings_of_plans(
            self.outcomes, self.runs.services, self.operator.sent, self.operator.acknowledged,
            {gateway: self.troubles.spans_of(gateway) for gateway in self.troubles.spans})
        self.findings += promises.findings_of_reads(self.operator.reads, self.operator.acknowledged)
        sent = {request: gateway_and_time for caller in self.fatal_callers for request, gateway_and_time in caller.sent.items()}
        self.findings += promises.findings_of_fatal_requests(
            self.runs.fatal, sent, {gateway: self.troubles.spans_of(gateway) for gateway in self.troubles.spans})
        self.findings += promises.findings_of_leaves(
            self.runs.after_leave, self.outcomes, {gateway: self.troubles.spans_of(gateway) for gateway in self.troubles.spans})
        self.findings += promises.findings_of_limits(
            self.runs.limits, self.runs.arrivals, self.runs.limit_responses,
            {outcome.request: outcome.gateway for outcome in self.outcomes},
            {gateway: self.troubles.spans_of(gateway) for gateway in self.troubles.spans}, self.troubles.held_spans)
        self.findings += promises.findings_of_backoffs(
            self.runs.backoffs, self.runs.arrivals, {outcome.request: outcome.gateway for outcome in self.outcomes},
            {gateway: self.troubles.spans_of(gateway) for gateway in self.troubles.spans}, self.troubles.held_spans)
        self.findings += promises.findings_of_leaving_responses(
            self.runs.leaving_responses, self.runs.arrivals, self.outcomes,
            {gateway: self.troubles.spans_of(gateway) for gateway in self.troubles.spans})
        self.findings += promises.findings_of_abandoned_bursts(
            self.world.abandoned, self.runs.arrivals, self.troubles.held_spans)
        self.findings += promises.findings_of_slow_starts(
            self.runs.slow_starts, self.runs.arrivals, self.troubles.held_spans)
        if self.only == faults.isolate_gateways.__name__:
            self.findings += promises.findings_of_isolations(self.world.isolations, self.outcomes)
        self.findings += self.deployment.unexpected_exits()

    async def _end_fatal_callers(self):
        """Ends fatal requests and waits until all targets are back: the checks without faults need every target."""
        for task in self.fatal_tasks:
            task.cancel()
        await asyncio.gather(*self.fatal_tasks, return_exceptions=True)
        await asyncio.sleep(LAST_CRASH_S)
        restarting = [target.restart_task for target in self.targets if target.restart_task is not None]
        await asyncio.gather(*restarting, return_exceptions=True)

    async def _change_plans(self):
        while True:
            await asyncio.sleep(random.uniform(0.3, 1.5))
            await faults.change_plan(self.world)

    async def _read_plans(self):
        while True:
            await asyncio.sleep(0.1)
            await self.operator.read()

    async def _inject_faults(self):
        end = time.monotonic() + self.seconds
        running = []
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(*(SINGLE_FAULT_INTERVAL_S if self.only else FAULT_INTERVAL_S)))
            fault = faults.BY_NAME[self.only] if self.only else faults.draw(self.rng, self.seed)
            running.append(asyncio.create_task(fault(self.world)))
        await asyncio.gather(*running)

    async def _served_within(self, timeout_s: float) -> bool:
        """Whether at least 90 % of ten or more requests in half a second are served, within the time limit."""
        end = time.monotonic() + timeout_s
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
            self.findings.append(f"requests were not served {RECOVERY_S} s after the last fault; last outcomes {statuses}")

    async def _check_orders(self):
        """Without faults, orders must be acknowledged, be in force at every gateway and keep their promises."""
        self.tasks[-2].cancel()  # The task that changes plans.
        await asyncio.gather(self.tasks[-2], return_exceptions=True)
        self.findings += [f"an order was refused without a competing operator: {refusal}"
                          for refusal in self.operator.refusals]
        self.operator.refusals.clear()
        if not await self._replace_plan_after_cancelled_change():
            return self.findings.append(f"a plan was not acknowledged without faults: {self.operator.refusals}")
        zone = self.targets[0].zone
        # The evacuation closes a target of each service. The one that has more routes keeps the others, since a single
        # target could not run what all callers send.
        service = less_used_service(self.operator.version)
        leaving_target = next(target for target in reversed(self.targets) if target.service == service)
        leaving_target.state = "leaving"
        if not await self.operator.evacuate(zone, ORDER_TIMEOUT_S):
            return self.findings.append("an evacuation was not acknowledged without faults")
        await asyncio.sleep(IN_FORCE_S)
        if leaving_target.leave_acknowledged_at is None:
            self.findings.append(f"the leave of {leaving_target.id} was not acknowledged")
        since = time.monotonic()
        await asyncio.sleep(2)
        self.findings += promises.findings_of_orders(self.runs.executions, since, zone, leaving_target.incarnation)
        if not await self._served_within(ORDER_TIMEOUT_S):
            self.findings.append("requests were not served during an evacuation")

    async def _replace_plan_after_cancelled_change(self) -> bool:
        """The change that was cancelled before its response may be in force, with the version that this one takes, or come
        into force between the read and this one: each can refuse it once."""
        for _ in range(3):
            if await self.operator.replace_plan(ORDER_TIMEOUT_S, extra_path="/late/"):
                return True
            self.operator.version = await self.operator.read() or self.operator.version
        return False

    async def end(self):
        for task in [*self.tasks, *self.fatal_tasks]:
            task.cancel()
        for target in self.targets:
            target.crash()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.deployment.system.end()
        for forwarder in faults.forwarders(self.world):
            await forwarder.stop()


async def run_seed(seed: int, options) -> list[str]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    run = Run(seed, options, folder)
    try:
        await run.execute()
    finally:
        await run.end()
    statuses = {status: sum(outcome.status == status for outcome in run.outcomes)
                for status in sorted({outcome.status for outcome in run.outcomes})}
    print(f"seed {seed}: {len(run.outcomes)} requests, by status {statuses}, plan {run.operator.version}, "
          f"{len(run.fatal_callers)} fatal callers, {len(run.runs.fatal)} ends, "
          f"soak stood still {run.troubles.longest_gap_s:.1f} s at the longest, {len(run.findings)} findings", flush=True)
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
    parser.add_argument("--seeds-of", type=pathlib.Path, help="a file with one seed and its cause per line")
    parser.add_argument("--runs", type=int, default=1, help="number of new seeds, if none is given")
    parser.add_argument("--seconds", type=float, default=10, help="duration of fault injection in each run")
    parser.add_argument("--only", choices=sorted(faults.BY_NAME), help="inject only this fault, every 8 to 10 s")
    parser.add_argument("--fatal", type=int,
                        help="number of callers whose request crashes the targets that run it; drawn by default")
    parser.add_argument("--routes", type=int, default=0, help="number of additional routes in every plan, one of which changes")
    parser.add_argument("--registries", type=int, default=3, help="number of registry hosts, at most 9")
    parser.add_argument("--gateways", type=int, default=3, help="number of gateways, at most 29")
    parser.add_argument("--keep", type=pathlib.Path)
    options = parser.parse_args()
    seed_lines = options.seeds_of.read_text().splitlines() if options.seeds_of else []
    listed_seeds = [int(line.split()[0]) for line in seed_lines if line and not line.startswith("#")]
    seeds = (options.seed or []) + listed_seeds or [
        random.SystemRandom().randrange(faults.FIRST_SEED_OF_RESTARTS_WITHOUT_START, 10**18) for _ in range(options.runs)]
    failed_seeds = [seed for seed in seeds if asyncio.run(run_seed(seed, options))]
    print(f"soak: {len(seeds) - len(failed_seeds)} passed, {len(failed_seeds)} failed"
          + (f": {failed_seeds}" if failed_seeds else ""))
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
