"""The two registry hosts of a region are cut off from the other four, but not from gateways. They go on granting credits by
the limit of a plan that was replaced meanwhile."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

# Bounds of the site that claim.txt names.
CONTACT_S, CONFIG_APPLY_S, WINDOW_S, OVERAGE, SLACK = 4, 2.5, 5, 0.1, 20
OLD_RATE, OLD_BURST, NEW_RATE, NEW_BURST = 240, 240, 20, 20
HOT_PER_S, CALM_PER_S = 60, 2  # Requests a second of the account in each zone of that region, and in each other zone.
JUDGED_S = 12
ACCOUNT, KEY = "cotiza", "key-of-cotiza"


def plan(version: int, rate: float, burst: float) -> dict:
    return {"version": version, "limits": harness.LIMITS, "routes": [harness.route("r-quote", "/quote/", "valuator")],
            "services": [harness.service("valuator")],
            "client_accounts": [{"name": ACCOUNT, "keys": [KEY], "rate_per_s": rate, "burst": burst},
                                {"name": "fondex", "keys": ["key-of-fondex"], "rate_per_s": 100, "burst": 100}]}


def most_in_window(runs, sent, begin: float, end: float) -> tuple[int, float]:
    """The most runs of the account that were sent and arrived in one window between these times."""
    sent_at = {item.request: item.at for item in sent}
    pairs = sorted((sent_at[run.request], run.at) for run in runs if run.account == ACCOUNT and run.request in sent_at)
    most, most_at = 0, begin
    for first, _ in pairs:
        if begin <= first <= end - WINDOW_S:
            count = sum(1 for at, run_at in pairs if at >= first and run_at <= first + WINDOW_S)
            if count > most:
                most, most_at = count, first
    return most, most_at


async def case(record) -> bool:
    deployment = harness.Deployment(record, harness.VALORIA)
    runs, sent, targets = [], [], []
    try:
        await deployment.start()
        operator = harness.Operator(deployment)
        await operator.replace_plan(0, plan(1, OLD_RATE, OLD_BURST))
        for number, zone in enumerate(harness.VALORIA):
            targets.append(harness.Target(deployment, number, "valuator", zone, 9, 0.05, runs))
            await targets[-1].start()
        await deployment.wait_for("ready gateways", deployment.are_gateways_ready)
        await asyncio.sleep(CONTACT_S)
        leader = await deployment.leader()
        region = next(host.region for host in deployment.registries if host.region != leader.region)
        lost = [host for host in deployment.registries if host.region == region]
        others = [host for host in deployment.registries if host.region != region]
        traffic_end = time.monotonic() + 2 * CONTACT_S + 2 * CONFIG_APPLY_S + WINDOW_S + JUDGED_S
        traffic = [asyncio.create_task(harness.call_steadily(
            harness.Caller(record, f"c-{gateway.zone}", sent), gateway.first_address, lambda rng: f"/quote/{rng.randrange(87)}",
            HOT_PER_S if gateway.region == region else CALM_PER_S, traffic_end, {"Saltvane-Client-Key": KEY}))
            for gateway in deployment.gateways]
        await asyncio.sleep(2)
        if harness.has_trouble():
            record.say(f"{' and '.join(host.name for host in lost)} in {region} are cut off from the other registry hosts")
            deployment.separate(lost, others)
        await asyncio.sleep(CONTACT_S + 0.5)  # The core is stable again: more than half of it runs and is connected.
        _, acknowledged_at = await operator.replace_plan(1, plan(2, NEW_RATE, NEW_BURST), hosts=others)
        await asyncio.gather(*traffic)
        if deployment.ended():
            raise harness.NotRun(f"processes ended: {deployment.ended()}")
    finally:
        for target in targets:
            await target.stop()
        await deployment.stop()
    binding_at = acknowledged_at + CONFIG_APPLY_S + WINDOW_S
    most, most_at = most_in_window(runs, sent, binding_at, traffic_end)
    bound = (NEW_RATE * WINDOW_S + NEW_BURST) * (1 + OVERAGE) + SLACK
    statuses = {status: sum(1 for item in sent if item.status == status and item.at >= binding_at) for status in (200, 429, 503, 502, 504, 0)}
    record.say(f"answers since the lower limit binds: {statuses}")
    record.say(f"most runs of the account in {WINDOW_S} s: {most}, from {most_at - record.started_at:.3f} s on; allowed: {bound:.0f}")
    return most <= bound


harness.play(case, FOLDER)
