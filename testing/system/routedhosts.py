#!/usr/bin/env python3
"""System test with a registry host, a gateway and a test target over loopback: plans, requests, commands for rollouts, SIGHUP and
stops."""
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


def plan(version: int, prefix: str = "/quotes/", extra_routes: int = 0) -> bytes:
    """`extra_routes`: number of routes with random names, the same in each plan."""
    names = random.Random(1)
    extra = [route(f"/{names.getrandbits(64):x}/") for _ in range(extra_routes)]
    return json.dumps({
        "version": version,
        "routes": [route(prefix), *extra],
        "services": [{"name": "quotes", "probe_path": "/health", "connections": 100, "slow_start_s": 1,
                      "slow_start_per_s": 5}]}).encode()


class Target(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    runs: list[str] = []

    def respond(self):
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

    do_GET = respond
    do_POST = respond

    def log_message(self, *_):
        pass


class Redirector(http.server.BaseHTTPRequestHandler):
    """Redirects every request to the leader, as a registry host does that is not the leader."""
    leader = ""

    def redirect(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.send_response(307)
        self.send_header("Location", f"http://{Redirector.leader}{self.path}")
        self.send_header("Content-Length", "0")
        self.end_headers()

    do_GET = redirect
    do_POST = redirect

    def log_message(self, *_):
        pass


def send_heartbeat(control: str, target: str, sequence: int, state: str = "ready"):
    body = json.dumps({"service": "quotes", "address": target, "zone": "north-a", "version": "v1", "slots": 3,
                       "state": state, "slow_start_left_ms": 0, "sequence": sequence}).encode()
    return call(control, "/v1/targets/t-1/heartbeat", "POST", body)


def send_request(front: str, path: str, request_id: str):
    return call(front, path, "POST", b"x", {"Host": "prices.example", "Saltvane-Request-Id": request_id,
                                          "Saltvane-Deadline-Ms": "3000", "Saltvane-Object": "7"})


def check_sighup_during_start(system: System):
    """SIGHUP must not terminate a process that has not reached its event loop yet (soak seed 112669)."""
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
    """A plan of 3,000 routes is sent in parts: the complete plan, then the difference to the next plan, then the complete
    plan to a gateway that starts."""
    for version, prefix in ((3, "/prices/"), (4, "/large/")):
        text = plan(version, prefix, 3000)
        wait_until("the plan to be accepted",
                   lambda: call(control, "/v1/plan", "PUT", text, {"Saltvane-Plan-Base": str(version - 1)}).status == 200)
        wait_until("the large plan", lambda: "version=%d " % version in (system.folder / "gateway.log").read_text(), 5)
    assert send_request(front, "/large/1", "try-7").status == 200
    system.kill("gateway")
    system.start_host("gateway")
    wait_until("the large plan at a gateway that starts",
               lambda: send_request(front, "/large/1", f"try-{time.monotonic()}").status == 200, 10)
    assert call(control, "/v1/plan", "PUT", plan(5, "/prices/"), {"Saltvane-Plan-Base": "4"}).status == 200
    wait_until("the small plan", lambda: send_request(front, "/prices/1", f"try-{time.monotonic()}").status == 200, 5)


def check_rollout_commands(system: System, control: str, network: str):
    """A rollout to a version that no target reports ends as rolled back; orders and states go by way of a redirect."""
    Redirector.leader = control
    other = f"{network}.102:18080"
    server = http.server.ThreadingHTTPServer((f"{network}.102", 18080), Redirector)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    start = ("rollout", "start", "quotes", "v2", "--limit", "3")
    assert "rollout status quotes --wait" in system.command(*start, servers=other)
    system.command(*start, servers=control)  # The same order again.
    system.command("rollout", "start", "quotes", "v3", "--limit", "3", servers=control, expected_exit_code=1)
    state = json.loads(system.command("rollout", "status", "quotes", "--json", servers=other))
    assert state["to_version"] == "v2" and state["state"] == "running", state
    text = system.command("rollout", "status", "quotes", "--wait", "--timeout", "20", servers=control, expected_exit_code=1)
    assert "quotes: v2 running" in text and text.endswith("quotes: v2 rolled_back\n"), text
    system.command("rollout", "status", "files", servers=control, expected_exit_code=1)


def run(system: System, network: str):
    registry, gateway, target_ip = f"{network}.1", f"{network}.2", f"{network}.101"
    for name, role, ip, role_settings in (("registry", "registry", registry, REGISTRY),
                                          ("gateway", "gateway", gateway, GATEWAY)):
        text = (SETTINGS + role_settings).format(role=role, ip=ip, seed=registry, key="l" * 40)
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
    assert send_heartbeat(control, target, 1).status == 200
    response = wait_until("a first response",
                          lambda: (lambda r: r if r.status == 200 else None)(send_request(front, "/quotes/1", "try-1")))
    assert response.body == b"ran /quotes/1 x", response.body
    assert send_request(front, "/other/", "try-2").status == 404
    entry = call(f"{registry}:18081", "/v1/entry?zone=north-a&region=north").json()
    assert entry["hosts"] == [front], entry

    # A changed plan is in force within seconds, without a restart.
    assert call(control, "/v1/plan", "PUT", plan(2, "/prices/"), {"Saltvane-Plan-Base": "1"}).status == 200
    wait_until("the second plan", lambda: send_request(front, "/prices/1", "try-3").status == 200, 5)
    assert send_request(front, "/quotes/1", "try-4").status == 404

    check_large_plans(system, control, front)

    # SIGHUP must not terminate the processes, which would lose all of their requests.
    for name in ("gateway", "registry"):
        system.processes[name].send_signal(signal.SIGHUP)
    time.sleep(0.5)
    assert all(process.poll() is None for process in system.processes.values())
    wait_until("a response after SIGHUP", lambda: send_request(front, "/prices/1", "try-5").status == 200, 5)

    check_rollout_commands(system, control, network)
    assert b"saltvane_latency_seconds" in call(f"{gateway}:18082", "/metrics").body
    assert send_heartbeat(control, target, 2, "leaving").status == 200
    wait_until("the target's retirement", lambda: send_request(front, "/prices/1", "try-6").status == 503, 5)
    assert len(Target.runs) == len(set(Target.runs)), "a request ran twice"

    assert system.stop("gateway") == 0
    assert system.stop("registry") == 0
    # An acknowledged plan is on disk and survives a restart.
    system.start_host("registry")
    restored = wait_until("the plan after a restart",
                          lambda: (lambda r: r if r.status == 200 else None)(call(control, "/v1/plan")))
    assert restored.body == plan(5, "/prices/")
    lines = (system.folder / "gateway.log").read_text()
    assert "event=started" in lines and "event=plan_in_force" in lines and "event=stopped" in lines, lines[-2000:]


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        system = System(pathlib.Path(sys.argv[1]).resolve(), pathlib.Path(folder))
        try:
            check_sighup_during_start(system)
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
