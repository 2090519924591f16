"""What the scripts of the second review share: a small deployment on loopback, an operator, and the record of a run."""
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = "target/bin/saltvaned"  # The command of the deploy file; it starts at the repository's root.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = [("north-a", "north"), ("south-a", "south"), ("west-a", "west"), ("north-b", "north"), ("south-b", "south"), ("west-b", "west")]
LINK, FRONT, SECOND = 19000, 18080, 18081

COMMON = """deployment: review
roles: [{role}]
first_start: {first}
zone: {zone}
region: {region}
zones: [{zones}]
link_address: "{ip}:19000"
{listen}seeds: [{seeds}]
link_key: {key}
retry_ratio: 0.2
retry_slack: 58
shift_cap: 0.15
leave_limit_ms: 2500
plan_limit_ms: 2500
stop_time_limit_s: 6
memory_mb: {memory}
"""
REGISTRY = """control_address: "{ip}:18080"
directory_address: "{ip}:18081"
data_folder: {folder}
"""
GATEWAY = """front_address: "{ip}:18080"
readiness_address: "{ip}:18081"
"""


class CannotRun(Exception):
    """The case could not be set up; the run says nothing about the rule."""


def free_network() -> str:
    rng = random.SystemRandom()
    for _ in range(200):
        network = f"127.{rng.randrange(64, 250)}.{rng.randrange(1, 250)}"
        try:
            for last in (1, 2, 3, 11, 101):
                for port in (LINK, FRONT, SECOND):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{last}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Record:
    def __init__(self, folder: pathlib.Path):
        self.file = open(folder / "record.txt", "w")
        self.start = time.monotonic()

    def say(self, text: str):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Host:
    def __init__(self, deployment: "Deployment", role: str, number: int, zone: int | None = None):
        self.deployment = deployment
        self.role = role
        self.number = number
        self.zone, self.region = ZONES[(number if zone is None else zone) % len(ZONES)]
        self.name = f"{role}-{number}"
        self.ip = f"{deployment.network}.{number + (1 if role == 'registry' else 11)}"
        self.folder = deployment.folder / f"{self.name}-data"
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.own_exits: list[int] = []

    def start(self, first: bool):
        seeds = ", ".join(f'"{host.ip}:19000"' for host in self.deployment.registries[:3])
        zones = ", ".join(f"{{zone: {zone}, region: {region}}}" for zone, region in ZONES)
        own = REGISTRY if self.role == "registry" else GATEWAY
        text = (COMMON + own).format(role=self.role, first=str(first).lower(), zone=self.zone, region=self.region, zones=zones, ip=self.ip,
                                     seeds=seeds, key="k" * 40, memory=256, folder=self.folder, listen=self.deployment.listen_line(self))
        settings = self.deployment.folder / f"{self.name}.yaml"
        settings.write_text(text)
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["SALTVANE_CONFIG"] = str(settings)
        self.process = subprocess.Popen([str(ROOT / PROGRAM)], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.starts += 1

    def has_ended(self) -> bool:
        return self.process is not None and self.process.poll() is not None

    def restart_if_ended(self):
        """The platform starts a process that ended by itself again."""
        if self.has_ended():
            self.own_exits.append(self.process.returncode)
            self.start(first=False)

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    def last_log_line(self) -> str:
        lines = (self.deployment.folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        return lines[-1].replace(str(self.deployment.folder), "FOLDER") if lines else ""


class Deployment:
    def __init__(self, registries: int, gateways: int, gateway_zones: list[int] | None = None):
        if not (ROOT / PROGRAM).exists():
            raise CannotRun(f"{PROGRAM} is not built")
        self.network = free_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="saltvane-review-"))
        self.registries = [Host(self, "registry", number) for number in range(registries)]
        self.gateways = [Host(self, "gateway", number, gateway_zones and gateway_zones[number]) for number in range(gateways)]
        self.hosts = self.registries + self.gateways

    def listen_line(self, host: Host) -> str:
        return ""

    def start(self):
        for host in self.hosts:
            host.start(first=True)

    def end(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(ip: str, port: int, method: str, path: str, body: bytes | None = None, headers: dict | None = None, timeout: float = 5.0):
    """(status, headers, body); status 0: no answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, str(error).encode()
    finally:
        connection.close()


class Operator:
    """Sends each order to one registry host after the other until it has a final answer, as the users' operator does."""

    def __init__(self, deployment: Deployment, record: Record, seed: int = 1):
        self.deployment = deployment
        self.record = record
        self.rng = random.Random(seed)
        self.leader: tuple[str, int] | None = None

    def order(self, method: str, path: str, body: bytes | None = None, headers: dict | None = None, limit_s: float = 30.0, timeout: float = 5.0):
        end = time.monotonic() + limit_s
        pause = 0.05
        status = 0
        while time.monotonic() < end:
            target = self.leader or (self.rng.choice(self.deployment.registries).ip, FRONT)
            self.leader = None
            for _ in range(3):
                status, answered, text = call(*target, method, path, body, headers, timeout)
                if status != 307:
                    break
                ip, port = answered["Location"].split("/")[2].rsplit(":", 1)
                target = (ip, int(port))
            if status and status < 500 and status not in (307, 408, 429):
                if status == 200:
                    self.leader = target
                return status, text
            time.sleep(pause)
            pause = min(pause * 1.5, 0.5)
        return status, b""


def run(case, folder: str):
    """Runs case(record), which returns whether the rule held, and exits as the review asks."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # At the time limit: ends the processes on the way out.
    record = Record(pathlib.Path(folder).resolve())
    record.say(f"disruption: {'on' if TROUBLE else 'off (TROUBLE=0)'}")
    try:
        held = case(record)
    except CannotRun as error:
        record.say(f"could not run: {error}")
        sys.exit(2)
    record.say("RESULT: the rule held" if held else "RESULT: the rule was broken")
    sys.exit(0 if held else 1)


def dump(value) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
