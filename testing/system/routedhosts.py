#!/usr/bin/env python3
"""Real processes over loopback: a registry host, a gateway and a target written here; a plan, requests, SIGHUP, stops."""
import http.server
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

from processes import System, call, free_network, wait_until

SETTINGS = """deployment: routed
roles: [{role}]
first_start: true
zone: north-a
region: north
zones: [{{zone: north-a, region: north}}]
link_address: "{ip}:19000"
seeds: ["{seed}:19000"]
link_key: {key}
metrics_address: "{ip}:18082"
stop_time_limit_s: 6
look_up_ttl_s: 1
"""
GATEWAY = """front_address: "{ip}:18080"
readiness_address: "{ip}:18081"
"""
REGISTRY = """control_address: "{ip}:18080"
directory_address: "{ip}:18081"
data_folder: data
"""


def route(prefix: str) -> dict:
    return {"name": "r" + prefix, "host": "prices.example", "path_prefix": prefix, "kind": "at_most_once",
            "timeout_ms": 3000, "objective_ms": 500, "rank": 0, "service": "quotes", "attempts": 2, "affinity": True}


def plan(version: int, prefix: str = "/quotes/", more_routes: int = 0) -> bytes:
    """`more_routes`: with random names, the same in each plan."""
    names = random.Random(1)
    more = [route(f"/{names.getrandbits(64):x}/") for _ in range(more_routes)]
    return json.dumps({
        "version": version,
        "routes": [route(prefix), *more],
        "services": [{"name": "quotes", "probe_path": "/health", "connections": 100, "slow_start_s": 1,
                      "slow_start_per_s": 5}]}).encode()


class Target(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    runs: list[str] = []

    def answer(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        request = self.headers.get("Saltvane-Request-Id", "")
        if self.headers.get("Saltvane-Expect-Target") != "t-1":
            self.send_response(421)
            text = b""
        else:
            Target.runs.append(request)
            self.send_response(200)
            text = b"ran " + self.path.encode() + b" " + body
        self.send_header("Saltvane-Request-Id", request)
        self.send_header("Saltvane-Load", "0,0,3")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    do_GET = answer
    do_POST = answer

    def log_message(self, *_):
        pass


def beat(control: str, target: str, sequence: int, state: str = "ready"):
    body = json.dumps({"service": "quotes", "address": target, "zone": "north-a", "version": "v1", "slots": 3,
                       "state": state, "slow_start_left_ms": 0, "sequence": sequence}).encode()
    return call(control, "/v1/targets/t-1/heartbeat", "POST", body)


def ask(front: str, path: str, identity: str):
    return call(front, path, "POST", b"x", {"Host": "prices.example", "Saltvane-Request-Id": identity,
                                          "Saltvane-Deadline-Ms": "3000", "Saltvane-Object": "7"})


def check_hang_up_while_starting(system: System):
    """Found by the soak (seed 112669): SIGHUP ended a process that had not come as far as its loop."""
    settings = system.folder / "slow.yaml"
    os.mkfifo(settings)  # The process waits for its settings.
    process = system.start_host("slow")

    def reading():
        try:
            return os.open(settings, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            return None

    writer = wait_until("the process to read its settings", reading)
    process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    assert process.poll() is None, f"ended by SIGHUP: {process.returncode}"
    os.close(writer)
    system.kill("slow")


def check_large_plans(system: System, control: str, front: str):
    """A plan of 3,000 routes goes in parts: the whole, then its difference to the next one, then the whole to a gateway that
    starts."""
    for version, prefix in ((3, "/prices/"), (4, "/large/")):
        text = plan(version, prefix, 3000)
        wait_until("the plan to be taken", lambda: call(control, "/v1/plan", "PUT", text, {"Saltvane-Plan-Base": str(version - 1)}).status == 200)
        wait_until("the large plan", lambda: "version=%d " % version in (system.folder / "gateway.log").read_text(), 5)
    assert ask(front, "/large/1", "try-7").status == 200
    system.kill("gateway")
    system.start_host("gateway")
    wait_until("the large plan at a gateway that starts", lambda: ask(front, "/large/1", f"try-{time.monotonic()}").status == 200, 10)
    assert call(control, "/v1/plan", "PUT", plan(5, "/prices/"), {"Saltvane-Plan-Base": "4"}).status == 200
    wait_until("the small plan", lambda: ask(front, "/prices/1", f"try-{time.monotonic()}").status == 200, 5)


def run(system: System, network: str):
    registry, gateway, target_ip = f"{network}.1", f"{network}.2", f"{network}.101"
    for name, role, ip, rest in (("registry", "registry", registry, REGISTRY), ("gateway", "gateway", gateway, GATEWAY)):
        text = (SETTINGS + rest).format(role=role, ip=ip, seed=registry, key="l" * 40)
        (system.folder / f"{name}.yaml").write_text(text)
    server = http.server.ThreadingHTTPServer((target_ip, 18080), Target)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    target = f"{target_ip}:18080"
    control, front = f"{registry}:18080", f"{gateway}:18080"
    for name in ("gateway", "registry"):
        system.start_host(name)

    wait_until("the first plan", lambda: call(control, "/v1/plan", "PUT", plan(1), {"Saltvane-Plan-Base": "0"}).status == 200)
    assert call(control, "/v1/plan", "PUT", plan(2), {"Saltvane-Plan-Base": "9"}).status == 412
    assert call(control, "/v1/plan", "PUT", b"{", {"Saltvane-Plan-Base": "1"}).status == 400
    wait_until("readiness", lambda: call(f"{gateway}:18081", "/v1/ready").status == 200)
    assert beat(control, target, 1).status == 200
    answer = wait_until("a first answer", lambda: (lambda a: a if a.status == 200 else None)(ask(front, "/quotes/1", "try-1")))
    assert answer.body == b"ran /quotes/1 x", answer.body
    assert ask(front, "/other/", "try-2").status == 404
    entry = call(f"{registry}:18081", "/v1/entry?zone=north-a&region=north").json()
    assert entry["hosts"] == [front], entry

    # A changed plan is in force within seconds, without a restart.
    assert call(control, "/v1/plan", "PUT", plan(2, "/prices/"), {"Saltvane-Plan-Base": "1"}).status == 200
    wait_until("the second plan", lambda: ask(front, "/prices/1", "try-3").status == 200, 5)
    assert ask(front, "/quotes/1", "try-4").status == 404

    check_large_plans(system, control, front)

    # Found on the users' bench: SIGHUP ended both processes, with all their requests.
    for name in ("gateway", "registry"):
        system.processes[name].send_signal(signal.SIGHUP)
    time.sleep(0.5)
    assert all(process.poll() is None for process in system.processes.values())
    wait_until("an answer after SIGHUP", lambda: ask(front, "/prices/1", "try-5").status == 200, 5)

    assert b"saltvane_latency_seconds" in call(f"{gateway}:18082", "/metrics").body
    assert beat(control, target, 2, "leaving").status == 200
    wait_until("the target's retirement", lambda: ask(front, "/prices/1", "try-6").status == 503, 5)
    assert len(Target.runs) == len(set(Target.runs)), "a request ran twice"

    assert system.stop("gateway") == 0
    assert system.stop("registry") == 0
    # What was acknowledged is on the disk.
    system.start_host("registry")
    kept = wait_until("the plan after a restart", lambda: (lambda a: a if a.status == 200 else None)(call(control, "/v1/plan")))
    assert kept.body == plan(5, "/prices/")
    lines = (system.folder / "gateway.log").read_text()
    assert "event=started" in lines and "event=plan_in_force" in lines and "event=stopped" in lines, lines[-2000:]


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        system = System(pathlib.Path(sys.argv[1]).resolve(), pathlib.Path(folder))
        try:
            check_hang_up_while_starting(system)
            run(system, free_network())
        except BaseException:
            system.print_logs()
            raise
        finally:
            system.end()
    print("routed hosts: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
