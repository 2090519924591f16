"""Starts saltvane processes on separate loopback addresses, for tests of the whole system."""
import json
import os
import pathlib
import random
import resource
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

WAIT_TIMEOUT_S = 60  # Only a bound against hanging: a loaded machine may take long.


def free_network() -> str:
    """The first three bytes of a loopback network in which the ports of the tests are free."""
    rng = random.SystemRandom()
    for _ in range(100):
        network = f"127.{rng.randrange(64, 250)}.{rng.randrange(1, 250)}"
        try:
            for last in (1, 2, 101, 102):
                for port in (18080, 18081, 19000):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{last}", port))
            return network
        except OSError:
            continue
    raise RuntimeError("no free loopback network found")


def wait_until(description: str, condition, timeout_s: float = WAIT_TIMEOUT_S):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting for {description}")


class Response:
    def __init__(self, status: int, headers, body: bytes):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def call(address: str, path: str, method: str = "GET", body: bytes | None = None, headers: dict | None = None) -> Response:
    request = urllib.request.Request(f"http://{address}{path}", data=body, method=method, headers=headers or {})
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=20) as response:
            return Response(response.status, response.headers, response.read())
    except urllib.error.HTTPError as error:
        return Response(error.code, error.headers, error.read())
    except (urllib.error.URLError, OSError):
        return Response(0, {}, b"")


class System:
    """The processes of one deployment and their folder; processes are ended by id."""

    def __init__(self, binaries: pathlib.Path, folder: pathlib.Path):
        self.binaries = binaries
        self.folder = folder
        self.processes: dict[str, subprocess.Popen] = {}

    def start(self, name: str, *arguments, descriptors: int | None = None) -> subprocess.Popen:
        """`descriptors`: how many the process may have open; none: as many as this process."""
        log = open(self.folder / f"{name}.log", "ab")
        limit = None if descriptors is None else lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
        process = subprocess.Popen([str(a) for a in arguments], stdout=log, stderr=log, cwd=self.folder, preexec_fn=limit)
        self.processes[name] = process
        return process

    def start_host(self, name: str, descriptors: int | None = None) -> subprocess.Popen:
        return self.start(name, self.binaries / "saltvaned", self.folder / f"{name}.yaml", descriptors=descriptors)

    def command(self, *arguments, servers: str, expected_exit_code: int = 0) -> str:
        environment = dict(os.environ, SALTVANE_SERVERS=servers)
        result = subprocess.run([str(self.binaries / "saltvane"), *map(str, arguments)], cwd=self.folder,
                                env=environment, capture_output=True, text=True, timeout=WAIT_TIMEOUT_S)
        assert result.returncode == expected_exit_code, f"{arguments}: exit {result.returncode}: {result.stdout}{result.stderr}"
        return result.stdout

    def stop(self, name: str) -> int:
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=WAIT_TIMEOUT_S)

    def kill(self, name: str):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def end(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def print_logs(self):
        for log in sorted(self.folder.glob("*.log")):
            print(f"--- {log.name}")
            print("".join(log.read_text(errors="replace").splitlines(keepends=True)[-40:]))
