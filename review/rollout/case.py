"""A registry host that is a seed is down. Gateways send their counts of a rollout to its address, so that a bad version is not
taken back."""
import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

# Bounds of the site that claim.txt names.
CONTACT_S, ROLLBACK_S, BAD_ANSWERS, SHARE, SHARE_SLACK = 4, 5, 50, 0.1, 50
SERVICE, BAD_VERSION, FAILING_SHARE = "seatdesk", "v2", 0.6
PER_S = 35  # Requests a second of each zone.
SETTLED_S = 15  # From the loss to the order.
DURATION_S = 40


async def case(record) -> bool:
    deployment = harness.Deployment(record, harness.BEFFROI)
    runs, sent, targets = [], [], []
    try:
        await deployment.start()
        operator = harness.Operator(deployment)
        plan = {"version": 1, "limits": harness.LIMITS, "routes": [harness.route("r-seat", "/seat/", SERVICE, "at_most_once")],
                "services": [harness.service(SERVICE)]}
        await operator.replace_plan(0, plan)
        for number, zone in enumerate(harness.BEFFROI):
            targets.append(harness.Target(deployment, number, SERVICE, zone, 9, 0.03, runs))
            await targets[-1].start()
        await deployment.wait_for("ready gateways", deployment.are_gateways_ready)
        await asyncio.sleep(CONTACT_S)
        if harness.has_trouble():
            down = deployment.registries.pop(0)
            record.say(f"{down.name} loses power and stays away")
            down.process.kill()
            down.process.wait()
        await asyncio.sleep(SETTLED_S)
        end = time.monotonic() + DURATION_S
        traffic = [asyncio.create_task(harness.call_steadily(
            harness.Caller(record, f"c-{gateway.zone}", sent), gateway.first_address, lambda rng: f"/seat/{rng.randrange(87)}",
            PER_S, end, method="POST")) for gateway in deployment.gateways]
        await asyncio.sleep(2)
        order = {"service": SERVICE, "to_version": BAD_VERSION, "duration_s": DURATION_S}
        ordered_at, _ = await operator.order("POST", "/v1/rollouts", json.dumps(order).encode())
        new_targets = [harness.Target(deployment, 10 + number, SERVICE, zone, 9, 0.03, runs, BAD_VERSION, FAILING_SHARE)
                       for number, zone in enumerate(harness.BEFFROI)]
        for target in new_targets:
            targets.append(target)
            await target.start()
        state = ""
        while time.monotonic() < end:
            response = await harness.call(deployment.registries[-1].first_address, "GET", f"/v1/rollouts/{SERVICE}", timeout_s=1)
            text = json.loads(response.body)["state"] if response is not None and response.status == 200 else state
            if text != state:
                record.say(f"{time.monotonic() - ordered_at:.1f} s after the order: the rollout is {text}")
                state = text
            await asyncio.sleep(0.2)
        await asyncio.gather(*traffic)
        if deployment.ended():
            raise harness.NotRun(f"processes ended: {deployment.ended()}")
    finally:
        for target in targets:
            await target.stop()
        await deployment.stop()
    failures = sorted(at for target in new_targets for at in target.failures)
    if len(failures) < BAD_ANSWERS:
        record.say(f"only {len(failures)} bad answers")
        return True
    sent_at = {item.request: item.at for item in sent}
    late_from = failures[BAD_ANSWERS - 1] + ROLLBACK_S
    late = [run for run in runs if run.version == BAD_VERSION and sent_at[run.request] > late_from]
    record.say(f"bad answers: {len(failures)}, the {BAD_ANSWERS}th {failures[BAD_ANSWERS - 1] - ordered_at:.1f} s after the order")
    record.say(f"requests that the bad version got, sent over {ROLLBACK_S} s after it: {len(late)}; allowed: 0")
    return not late


harness.play(case, FOLDER)
