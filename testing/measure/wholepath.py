#!/usr/bin/env python3
"""Measures the whole path with two real hosts: look-ups against bare libmicrohttpd, and latency added to a request."""
import pathlib
import re
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "system"))

import twohosts  # noqa: E402
from processes import System, call, free_network, wait_until  # noqa: E402

SECONDS = 4
CONNECTIONS = 32
LATENCY_CALLS = 2000


def requests_per_second(address: str, path: str) -> float:
    output = subprocess.run(["wrk", "-t", "2", "-c", str(CONNECTIONS), "-d", f"{SECONDS}s", f"http://{address}{path}"],
                            capture_output=True, text=True, check=True).stdout
    if "Non-2xx" in output:
        raise RuntimeError(output)
    return float(re.search(r"Requests/sec:\s+([\d.]+)", output)[1])


def measure_lookups(system: System, binaries: pathlib.Path, network: str, north: str):
    lookup = "/v1/entry?service=prices&client=10.0.0.1"
    size = len(call(north, lookup).body)
    system.start("bare", binaries / "saltvane_barehttp", f"{network}.101", 18080, size)
    bare = f"{network}.101:18080"
    wait_until("the baseline", lambda: call(bare, "/").status == 200)
    rates = [(requests_per_second(bare, "/"), requests_per_second(north, lookup)) for _ in range(3)]
    bare_rate, lookup_rate = sorted(rates, key=lambda pair: pair[1] / pair[0])[1]
    print(f"lookup_per_s {lookup_rate:.0f} 1/s")
    print(f"lookup_bare_http_per_s {bare_rate:.0f} 1/s")
    print(f"lookup_vs_bare_http_ratio {lookup_rate / bare_rate:.3f} ratio")


def measure_latency(binaries: pathlib.Path, network: str, north: str):
    output = subprocess.run([binaries / "saltvane_latency", str(LATENCY_CALLS), f"http://{network}.101:19000/nav/1",
                             f"http://{north}/nav/1", "prices"], capture_output=True, text=True, check=True).stdout
    print(output, end="")


def main() -> int:
    binaries = pathlib.Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory() as folder:
        system = System(binaries, pathlib.Path(folder))
        try:
            network = free_network()
            north, south = f"{network}.1:18080", f"{network}.2:18080"
            twohosts.start_pair(system, network, f"{north},{south}")
            read = {"Saltvane-Service": "prices"}
            wait_until("answers", lambda: call(north, "/nav/1", headers=read).status == 200)
            measure_latency(binaries, network, north)
            measure_lookups(system, binaries, network, north)
            return 0
        finally:
            system.end()


if __name__ == "__main__":
    sys.exit(main())
