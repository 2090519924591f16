"""The registry hosts of a region are cut off from the others for a while and come back. They were taken out of the group
meanwhile and never join it again, so that the loss of another region stops control for good."""
import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

# Bounds of the site that claim.txt names.
CONTACT_S, ACK_TIMEOUT_S, CATCH_UP_S = 4, 4, 4
CUT_S = 25
READ_S = 2 * CONTACT_S  # How long the operator asks for the configuration at the end.


def plan(version: int) -> dict:
    return {"version": version, "limits": harness.LIMITS, "routes": [harness.route("r-quote", "/quote/", "valuator")],
            "services": [harness.service("valuator")]}


async def members(deployment) -> str:
    """What each registry host says of the group: its leader's name, whether it is sure of it, and the voters."""
    names = {host.link_address: host.name for host in deployment.registries}
    lines = []
    for host in deployment.registries:
        response = await harness.call(host.first_address, "GET", "/v1/status", timeout_s=1)
        if response is None or response.status != 200:
            lines.append(f"{host.name}: no answer")
            continue
        status = json.loads(response.body)
        voters = [names[replica["host"]].removeprefix("registry-") for replica in status["replicas"] if replica["voter"]]
        lines.append(f"{host.name}: leader {names.get(status['leader'], 'none')}, current {status['current']}, voters {','.join(voters)}")
    return "\n    ".join(lines)


async def try_order(operator, base: int, version: int, timeout_s: float) -> float | None:
    """Seconds until the order was acknowledged, or None."""
    try:
        sent_at, acknowledged_at = await operator.order(
            "PUT", "/v1/plan", json.dumps(plan(version)).encode(), {"Saltvane-Plan-Base": str(base)}, timeout_s=timeout_s)
    except harness.NotRun:
        return None
    return acknowledged_at - sent_at


async def read_plan(record, hosts, timeout_s: float) -> int | None:
    """The version that the first registry host answers with; all are asked again and again."""
    end, statuses = time.monotonic() + timeout_s, {}
    while time.monotonic() < end:
        for host in hosts:
            response = await harness.call(host.first_address, "GET", "/v1/plan", timeout_s=1)
            status = 0 if response is None else response.status
            statuses[status] = statuses.get(status, 0) + 1
            if status == 200:
                return json.loads(response.body)["version"]
        await asyncio.sleep(0.2)
    record.say(f"answers to reads of the configuration, by status: {statuses}")
    return None


async def case(record) -> bool:
    deployment = harness.Deployment(record, harness.VALORIA)
    has_cut, has_loss = harness.has_trouble() and os.environ.get("TROUBLE") != "loss", harness.has_trouble()
    try:
        await deployment.start()
        operator = harness.Operator(deployment)
        await operator.replace_plan(0, plan(1))
        await deployment.wait_for("ready gateways", deployment.are_gateways_ready)
        await asyncio.sleep(12)
        leader = await deployment.leader()
        regions = [region for region in dict.fromkeys(deployment.zones.values()) if region != leader.region]
        first, second = ([host for host in deployment.registries if host.region == region] for region in regions)
        others = [host for host in deployment.registries if host not in first]
        if has_cut:
            record.say(f"{' and '.join(host.name for host in first)} are cut off from the other registry hosts for {CUT_S} s")
            deployment.separate(first, others)
            await asyncio.sleep(CUT_S)
            deployment.join()
            record.say("the cut is healed")
        await asyncio.sleep(CONTACT_S + CATCH_UP_S + 4)
        record.say("the group, with all machines up and connected:\n    " + await members(deployment))
        if await try_order(operator, 1, 2, ACK_TIMEOUT_S) is None:
            raise harness.NotRun("no acknowledgement before the second disruption")
        if deployment.ended():
            raise harness.NotRun(f"processes ended: {deployment.ended()}")
        if has_loss:
            record.say(f"{regions[1]} loses power: {' and '.join(host.name for host in second)} and its gateways are killed")
            for host in deployment.hosts:
                if host.region == regions[1]:
                    host.process.kill()
                    host.process.wait()
        await asyncio.sleep(CONTACT_S + 1)  # The core is stable again: four of its six machines run and are connected.
        running = [host for host in deployment.registries if host.process.poll() is None]
        waited = await try_order(operator, 2, 3, 3 * ACK_TIMEOUT_S)
        record.say("the order " + (f"was acknowledged after {waited:.2f} s" if waited is not None else "was not acknowledged")
                   + f"; allowed: {ACK_TIMEOUT_S} s")
        version = await read_plan(record, running, READ_S)
        record.say(f"the configuration that was read back: {version}; acknowledged: {3 if waited is not None else 2}")
        record.say("the group:\n    " + await members(deployment))
    finally:
        await deployment.stop()
    return waited is not None and waited <= ACK_TIMEOUT_S and version == 3


harness.play(case, FOLDER)
