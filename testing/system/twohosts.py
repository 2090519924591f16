#!/usr/bin/env python3
"""System test with two hosts and targets over loopback: requests, idempotency keys, the drain of a zone, planned stops."""
import pathlib
import signal
import sys
import tempfile
import threading
import time

from processes import System, call, free_network, wait_until

LINK_KEY = "l" * 40
TOKEN_KEY = "t" * 40
SECRET = "s" * 40

HOST = """deployment: pair
host: {name}
zone: {zone}
region: {region}
roles: [{roles}]
entry_address: {ip}:18080
link_address: {ip}:18081
seeds: [{seed}:18081]
control_hosts:
  - {{host: north-1, link_address: {network}.1:18081}}
link_key: {link_key}
token_key: {token_key}
announce_keys:
  - {{service: prices, secret: {secret}}}
"""

CONTROL = """data_folder: data
operators:
  - {{name: ana, public_key: "{ana}"}}
  - {{name: luis, public_key: "{luis}"}}
"""

BUNDLE = """deployment: pair
version: {version}
objective: latency
delays: {{between_zones_ms: 1, between_regions_ms: 2, to_clients_ms: 1}}
regions:
  - {{name: north, zones: [north-a]}}
  - {{name: south, zones: [south-a]}}
clients:
  default_region: north
  blocks: []
services:
  - name: prices
    zones:
      - {{zone: north-a, open: {north_open}}}
      - {{zone: south-a, open: 1.0}}
    shift_cap: {{share: 0.5, window_s: 1}}
    repeatable:
      - {{method: GET, path_prefix: /}}
    default_deadline_ms: 5000
    maximum_deadline_ms: 20000
operators:
  - {{name: ana, public_key: "{ana}"}}
  - {{name: luis, public_key: "{luis}"}}
"""

TARGETS = """targets:
  - {{name: t-north, service: prices, zone: north-a, slots: 4, connections: 50, address: "{network}.101:19000", service_time_ms: 2}}
  - {{name: t-south, service: prices, zone: south-a, slots: 4, connections: 50, address: "{network}.102:19000", service_time_ms: 2}}
"""


def write_files(system: System, network: str):
    keys = {}
    for name in ("ana", "luis"):
        line = system.command("key", "new", f"{name}.key", servers="")
        keys[name] = line.split("public_key:")[1].strip()
    folder = system.folder
    for index, (name, region, roles) in enumerate((("north-1", "north", "entry, control"), ("south-1", "south", "entry"))):
        text = HOST.format(name=name, zone=f"{region}-a", region=region, roles=roles, ip=f"{network}.{index + 1}",
                           seed=f"{network}.{2 - index}", network=network, link_key=LINK_KEY, token_key=TOKEN_KEY,
                           secret=SECRET)
        if "control" in roles:
            text += CONTROL.format(**keys)
        (folder / f"{name}.yaml").write_text(text)
    (folder / "1.yaml").write_text(BUNDLE.format(version=1, north_open=1.0, **keys))
    (folder / "2.yaml").write_text(BUNDLE.format(version=2, north_open=0.0, **keys))
    (folder / "targets.yaml").write_text(TARGETS.format(network=network))


def install_first_bundle(system: System, servers: str):
    wait_until("control", lambda: call(servers.split(",")[0], "/v1/control/bundles").status == 200)
    system.command("bundle", "propose", "1.yaml", "--operator", "ana", "--key", "ana.key", servers=servers)
    system.command("bundle", "approve", "1", "--operator", "ana", "--key", "ana.key", servers=servers, expected_exit_code=1)
    system.command("bundle", "approve", "1", "--operator", "luis", "--key", "luis.key", servers=servers)
    system.command("bundle", "status", "1", "--wait", "--timeout", "60", servers=servers)


def start_pair(system: System, network: str, servers: str):
    """Starts both hosts and their targets and puts the first bundle in force."""
    write_files(system, network)
    for name in ("north-1", "south-1"):
        system.start_host(name)
    system.start("targets", system.binaries / "saltvane_standin", "targets.yaml", "north-1.yaml", "south-1.yaml")
    install_first_bundle(system, servers)


def check_reads(north: str, south: str, network: str):
    read = {"Saltvane-Service": "prices"}
    for address in (north, south):
        wait_until(f"{address} to answer", lambda: call(address, "/nav/7", headers=read).status == 200)
        response = call(address, "/nav/7", headers=read)
        assert response.headers["Saltvane-Outcome"] == "answered", response.headers
        direct = call(f"{network}.101:19000", "/nav/7")
        assert response.body == direct.body, (response.body, direct.body)
    large = call(south, "/bytes/3000000", headers=read)
    assert large.status == 200 and len(large.body) == 3000000, (large.status, len(large.body))
    assert large.body == call(f"{network}.101:19000", "/bytes/3000000").body
    entry = call(north, "/v1/entry?service=prices").json()
    assert [host["host"] for host in entry["entry_hosts"]][0] == "north-1", entry
    return entry["token"]


def check_keys(north: str, south: str, network: str, token: str):
    headers = {"Saltvane-Service": "prices", "Idempotency-Key": f"{token}.correction-1", "Content-Type": "text/plain"}
    first = call(north, "/corrections", "POST", b"fund=7 price=1.25", headers)
    assert first.status == 200, (first.status, first.body, first.headers)
    for address in (north, south):
        repeated = call(address, "/corrections", "POST", b"fund=7 price=1.25", headers)
        assert repeated.status == 200 and repeated.body == first.body, (address, repeated.status, repeated.body)
    conflicting = call(north, "/corrections", "POST", b"fund=7 price=9.99", headers)
    assert conflicting.status == 422 and conflicting.headers["Saltvane-Outcome"] == "not-run", \
        (conflicting.status, conflicting.headers)
    caller_key_headers = dict(headers, **{"Idempotency-Key": "made-by-the-caller"})
    for address in (south, north, south):
        response = call(address, "/corrections", "POST", b"fund=8", caller_key_headers)
        assert response.status == 200, (address, response.status, response.body)
    keyless = {name: value for name, value in headers.items() if name != "Idempotency-Key"}
    missing = call(north, "/corrections", "POST", b"fund=9", keyless)
    assert missing.status == 400 and missing.headers["Saltvane-Reason"] == "missing-key", (missing.status, missing.headers)
    stats = [call(f"{network}.{last}:19000", "/_standin/stats").json() for last in (101, 102)]
    assert sum(stat["double_runs"] for stat in stats) == 0, stats
    assert sum(stat["overfills"] for stat in stats) == 0, stats


def check_refusals(north: str):
    assert call(north, "/x", headers={"Saltvane-Service": "nothing"}).status == 404
    assert call(north, "/x", headers={"Saltvane-Service": "prices", "Saltvane-Deadline-Ms": "soon"}).status == 400
    assert call(north, "/v1/entry").status == 400
    assert call(north, "/v1/announce", "POST", b"{", {"Saltvane-Announce-Key": SECRET}).status == 400
    metrics = call(north, "/metrics").body.decode()
    assert 'saltvane_refusals_total{reason="unknown-service"} 1' in metrics, metrics


def check_drain(system: System, servers: str, network: str):
    system.command("bundle", "propose", "2.yaml", "--operator", "luis", "--key", "luis.key", servers=servers)
    system.command("bundle", "propose", "2.yaml", "--operator", "luis", "--key", "luis.key", servers=servers)
    (system.folder / "2b.yaml").write_text((system.folder / "2.yaml").read_text().replace("5000", "6000"))
    system.command("bundle", "propose", "2b.yaml", "--operator", "ana", "--key", "ana.key", servers=servers,
                   expected_exit_code=1)
    system.command("bundle", "approve", "2", "--operator", "ana", "--key", "ana.key", servers=servers)
    system.command("bundle", "status", "2", "--wait", "--timeout", "60", servers=servers)
    north = servers.split(",")[0]
    read = {"Saltvane-Service": "prices"}

    def is_drained():
        before = call(f"{network}.101:19000", "/_standin/stats").json()["runs"]
        statuses = {call(north, "/nav/8", headers=read).status for _ in range(20)}
        after = call(f"{network}.101:19000", "/_standin/stats").json()["runs"]
        return statuses == {200} and before == after

    wait_until("the drain of north-a", is_drained)


def check_second_stop_request(system: System, south: str):
    """A second SIGTERM ends the requests in flight. Guards against a process that ends before it has sent the answers."""
    read = {"Saltvane-Service": "prices", "Saltvane-Deadline-Ms": "15000"}
    targets, host = system.processes["targets"], system.processes.pop("south-1")
    targets.send_signal(signal.SIGSTOP)
    responses = []
    caller = threading.Thread(target=lambda: responses.append(call(south, "/nav/9", headers=read)))
    caller.start()
    for _ in range(2):
        time.sleep(0.5)
        assert host.poll() is None, f"ended with {host.returncode}"
        host.send_signal(signal.SIGTERM)
    exit_code = host.wait(timeout=10)
    caller.join()
    targets.send_signal(signal.SIGCONT)
    reason = responses[0].headers.get("Saltvane-Reason")
    assert (exit_code, responses[0].status, reason) == (1, 502, "stop-time-limit"), (exit_code, responses[0].status, reason)
    system.start_host("south-1")
    wait_until("south-1 to answer", lambda: call(south, "/nav/8", headers=read).status == 200)


def main() -> int:
    binaries = pathlib.Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory() as folder:
        system = System(binaries, pathlib.Path(folder))
        try:
            network = free_network()
            north, south = f"{network}.1:18080", f"{network}.2:18080"
            servers = f"{north},{south}"
            start_pair(system, network, servers)
            token = check_reads(north, south, network)
            check_keys(north, south, network, token)
            check_refusals(north)
            check_drain(system, servers, network)
            check_second_stop_request(system, south)
            assert system.stop("south-1") == 0, "a planned stop must end with 0"
            assert system.stop("north-1") == 0, "a planned stop must end with 0"
            print("1 passed, 0 failed")
            return 0
        except BaseException:
            system.print_logs()
            raise
        finally:
            system.end()


if __name__ == "__main__":
    sys.exit(main())
