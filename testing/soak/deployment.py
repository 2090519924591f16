"""The processes of the soak test: registry hosts and gateways, spread over the regions in turn."""
import pathlib
import shutil
import signal
import sys

from forwarder import Forwarder

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent / "system"))
from processes import System, free_network  # noqa: E402

REGIONS = ("north", "south", "west")
LINK_PORT, FRONT_PORT, SECOND_PORT = 19000, 18080, 18081

SETTINGS = """deployment: soak
roles: [{role}]
first_start: {first_start}
zone: {region}-a
region: {region}
zones: [{zones}]
link_address: "{link_address}"
link_listen_address: "{backend_address}"
seeds: [{seeds}]
link_key: {key}
stop_time_limit_s: 6
look_up_ttl_s: 1
"""
GATEWAY = """front_address: "{ip}:18080"
readiness_address: "{ip}:18081"
"""
REGISTRY = """control_address: "{ip}:18080"
directory_address: "{ip}:18081"
data_folder: {name}-data
"""


class Host:
    """A saltvane process and the forwarder in front of its link address."""

    def __init__(self, role: str, number: int, network: str):
        self.role = role
        self.region = REGIONS[number % len(REGIONS)]
        self.name = f"{role}-{self.region}-{number // len(REGIONS)}"
        last = number + (1 if role == "registry" else 11)
        self.ip = f"{network}.{last}"
        self.link_address = f"{self.ip}:{LINK_PORT}"
        self.backend_address = f"{network}.{last + 40}:{LINK_PORT}"
        self.forwarder = Forwarder(self.link_address, self.backend_address)
        self.is_paused = False

    @property
    def zone(self) -> str:
        return f"{self.region}-a"

    @property
    def front_address(self) -> str:
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def second_address(self) -> str:
        return f"{self.ip}:{SECOND_PORT}"


class Deployment:
    def __init__(self, binaries: pathlib.Path, folder: pathlib.Path, registries: int, gateways: int):
        self.system = System(binaries, folder)
        self.network = free_network()
        self.registries = [Host("registry", number, self.network) for number in range(registries)]
        self.gateways = [Host("gateway", number, self.network) for number in range(gateways)]
        self.hosts = self.registries + self.gateways

    async def start(self):
        for host in self.hosts:
            await host.forwarder.start()
        for host in self.hosts:
            self.launch(host, is_first=True)

    def write_settings(self, host: Host, is_first: bool):
        zones = ", ".join(f"{{zone: {region}-a, region: {region}}}" for region in REGIONS)
        seeds = ", ".join(f'"{registry.link_address}"' for registry in self.registries[:len(REGIONS)])
        role_settings = REGISTRY if host.role == "registry" else GATEWAY
        text = (SETTINGS + role_settings).format(
            role=host.role, first_start=str(is_first).lower(), region=host.region, zones=zones, link_address=host.link_address,
            backend_address=host.backend_address, seeds=seeds, key="k" * 40, ip=host.ip, name=host.name)
        (self.system.folder / f"{host.name}.yaml").write_text(text)

    def launch(self, host: Host, is_first: bool = False):
        self.write_settings(host, is_first)
        self.system.start_host(host.name)
        host.is_paused = False

    def is_running(self, host: Host) -> bool:
        return host.name in self.system.processes

    def send(self, host: Host, number: signal.Signals):
        self.system.processes[host.name].send_signal(number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            host.is_paused = number == signal.SIGSTOP

    def has_reached_main(self, host: Host) -> bool:
        """Whether the process handles or ignores SIGHUP already, which is the first thing that main() sets up."""
        lines = pathlib.Path(f"/proc/{self.system.processes[host.name].pid}/status").read_text().splitlines()
        masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn", "SigCgt"))]
        return any(mask & 1 << (signal.SIGHUP - 1) for mask in masks)

    def kill(self, host: Host):
        self.system.kill(host.name)

    def wipe(self, host: Host):
        shutil.rmtree(self.system.folder / f"{host.name}-data", ignore_errors=True)

    def append_torn_record(self, host: Host, garbage: bytes):
        """Appends bytes behind the last record, as an unsynced write leaves them when the host dies."""
        segments = sorted((self.system.folder / f"{host.name}-data").glob("segment-*"))
        if segments:
            with open(segments[-1], "ab") as segment:
                segment.write(garbage)

    def unexpected_exits(self) -> list[str]:
        """Processes that exited without being stopped or killed."""
        return [f"{name} exited unexpectedly with code {process.returncode}"
                for name, process in self.system.processes.items() if process.poll() is not None]
