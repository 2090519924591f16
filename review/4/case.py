"""A loss of power keeps one of two file removals that were not synced: the registry host refuses its folder for good."""
import os
import pathlib
import random
import sys
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent))
from harness_2 import FRONT, TROUBLE, CannotRun, Deployment, Operator, Record, call, dump, run  # noqa: E402

ROUTES = 7000  # 20 times the 350 routes by which one entry of a day lets the configuration grow.
MAX_CHANGES = 330  # "a day may be long and contain hundreds of changes"
MAX_CHANGES_S = 75
READ_BACK_S = 20.0  # recovery_s is 15
FIRST, SECOND = "segment-0000000000000001", "segment-0000000000000002"


class Plans:
    def __init__(self):
        self.rng = random.Random(4)
        self.routes = [self.route() for _ in range(ROUTES)]

    def word(self, length: int) -> str:
        return "".join(self.rng.choice("abcdefghijklmnopqrstuvwxyz0123456789") for _ in range(length))

    def route(self) -> dict:
        return {"name": f"r-{self.word(7)}", "host": "prices.example", "path_prefix": f"/{self.word(7)}/", "kind": "repeatable", "objective_ms": 400,
                "rank": 2, "affinity": True, "service": "valuator", "timeout_ms": 3000, "attempts": 2, "permitted_regions": []}

    def next(self, version: int) -> bytes:
        self.routes[self.rng.randrange(ROUTES)] = self.route()
        return dump({"version": version, "routes": self.routes,
                     "services": [{"name": "valuator", "probe_path": "/health", "connections": 330, "slow_start_s": 3.0, "slow_start_per_s": 14.0}],
                     "limits": {"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})


def keep_names(deployment: Deployment, shadows: pathlib.Path):
    """Links each segment under a second name outside the data folder: what a disk still holds after an unsynced removal."""
    for host in deployment.registries:
        for path in host.folder.glob("segment-*"):
            if path.name.endswith(".unfinished"):
                continue
            copy = shadows / host.name / path.name
            if not copy.exists():
                copy.parent.mkdir(exist_ok=True)
                try:
                    os.link(path, copy)
                except FileNotFoundError:
                    pass


def has_removed_two(host) -> bool:
    names = {path.name for path in host.folder.iterdir()}
    return FIRST not in names and SECOND not in names


def is_removal_unsynced(host) -> bool:
    """The program syncs its folder only after it renamed a file into it, which sets that file's ctime. The removals come right after the
    file `last-segment` was renamed and the folder synced. No file has come since, so no sync of the folder followed the removals."""
    current = max(path.name for path in host.folder.glob("segment-*"))
    others = [path.stat().st_ctime_ns for path in host.folder.iterdir() if path.name not in (current, "lock", "last-segment")]
    return (host.folder / "last-segment").stat().st_ctime_ns >= max(others)


def lose_power(deployment: Deployment, shadows: pathlib.Path, record: Record):
    """Each removed name is kept or lost, independently of the others: all four combinations, the harmful one on half of the hosts."""
    outcomes = [(True, False), (False, False), (True, False), (True, True), (True, False), (False, True)]
    for host, (first_is_back, second_is_back) in zip(deployment.registries, outcomes):
        if first_is_back:
            os.link(shadows / host.name / FIRST, host.folder / FIRST)
        if second_is_back:
            os.link(shadows / host.name / SECOND, host.folder / SECOND)
        record.say(f"{host.name}: after the loss of power the folder holds {sorted(path.name for path in host.folder.glob('s*-0*'))}")


def read_back(deployment: Deployment, acknowledged: bytes, record: Record) -> bool:
    end = time.monotonic() + READ_BACK_S
    next_note = time.monotonic()
    while time.monotonic() < end:
        time.sleep(0.6)  # The platform starts a process that ended again after a short delay.
        statuses = []
        for host in deployment.registries:
            host.restart_if_ended()
            status, _, body = call(host.ip, FRONT, "GET", "/v1/plan", timeout=2.0)
            statuses.append(status)
            if status == 200:
                record.say(f"{host.name}: 200, the plan read back is {'the acknowledged one' if body == acknowledged else 'another one'}")
                return body == acknowledged
        if time.monotonic() >= next_note:
            next_note = time.monotonic() + 3
            record.say(f"read of the configuration at all registry hosts: {statuses}")
    return False


def case(record: Record) -> bool:
    deployment = Deployment(registries=6, gateways=0)
    try:
        deployment.start()
        shadows = deployment.folder / "shadows"
        shadows.mkdir()
        operator = Operator(deployment, record)
        plans = Plans()
        acknowledged = b""
        version = 0
        while version < MAX_CHANGES and time.monotonic() - record.start < MAX_CHANGES_S:
            plan = plans.next(version + 1)
            status, text = operator.order("PUT", "/v1/plan", plan, {"Saltvane-Plan-Base": str(version), "Content-Type": "application/json"})
            if status != 200:
                raise CannotRun(f"change {version + 1}: {status} {text[:200]!r}")
            version += 1
            acknowledged = plan
            keep_names(deployment, shadows)
            if version % 50 == 1:
                record.say(f"change {version} acknowledged, {len(plan)} bytes")
            if all(has_removed_two(host) for host in deployment.registries):
                break
        else:
            raise CannotRun("no host has removed two segments")
        record.say(f"change {version} acknowledged; every host has written a snapshot and removed {FIRST} and {SECOND}")
        unsynced = [is_removal_unsynced(host) for host in deployment.registries]
        record.say(f"no file came into the folder after the removals, so that it was not synced since: {unsynced}")
        if not all(unsynced):
            raise CannotRun("a folder was synced after the removal")
        for host in deployment.registries:
            host.kill()
        record.say("all registry hosts end at the same moment")
        if TROUBLE:
            lose_power(deployment, shadows, record)
        for host in deployment.registries:
            host.start(first=False)
        held = read_back(deployment, acknowledged, record)
        for host in deployment.registries:
            if host.own_exits:
                record.say(f"{host.name}: ended by itself {len(host.own_exits)} times with code {host.own_exits[0]}: {host.last_log_line()}")
        return held
    finally:
        deployment.end()


if __name__ == "__main__":
    run(case, pathlib.Path(__file__).parent)
