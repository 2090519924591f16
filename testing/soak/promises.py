"""The promises of the system, checked against what callers, targets and the operator of the soak test recorded."""
import collections

from callers import Outcome
from faults import AbandonedBurst, Isolation
from plans import SLOW_START_PER_S, STEADY_PATHS, service_of
from surplus import DIGEST
from targets import Given, response_body
from troubles import Span

MAX_STALE_READ_S = 2.5  # A read sent later than this after an acknowledgement returns that plan or a newer one.
# A request sent later than this after an acknowledgement is routed by that plan or a newer one: a plan is in force 2 s
# after its acknowledgement at a gateway that has been free of faults for 3 s.
MAX_STALE_RUN_S = 5
# Later than this after its leave was acknowledged, a target runs no request from gateways free of faults: 2.5 s plus a
# margin for a busy machine.
MAX_RUN_AFTER_LEAVE_S = 5
NOT_RUN_STATUSES = (408, 421, 429, 503)
MIN_SERVED = 50
# Starting LIMIT_CONVERGENCE_S after a target first announced a limit (2 s of it are a margin for a busy machine), it gets
# at most LIMIT_FACTOR times the allowed requests plus LIMIT_SLACK in any LIMIT_WINDOW_S. Only requests of gateways that
# received the limit at least LIMIT_PROPAGATION_S before count.
LIMIT_CONVERGENCE_S = 5
LIMIT_WINDOW_S = 4
LIMIT_PROPAGATION_S = 0.5
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# From this long after a target requested backoff from a gateway until the backoff ends, the gateway sends it at most
# MAX_REQUESTS_IN_BACKOFF requests. 1 s of it is a margin for a busy machine.
BACKOFF_PROPAGATION_S = 1.5
MAX_REQUESTS_IN_BACKOFF = 2
# A request that crashes each target that runs it: starting CONVERGENCE_S after its third crash, at most
# MAX_RUNS_AFTER_THIRD more may be sent by gateways that were free of faults for as long. 2 s of it are a margin for a busy
# machine.
CONVERGENCE_S = 5
MAX_RUNS_AFTER_THIRD = 3
# Later than this after their callers have closed their connections, requests of a stopped gateway reach no target: 0.5 s plus
# a margin for a busy machine.
MAX_ARRIVAL_AFTER_CLOSE_S = 1
# A stop between the last look at a caller's socket and the first byte of its request lets that request through.
MAX_LATE_PER_STOP = 1
# From this long after the start of a partition between some gateways and all targets, the gateways are served at least
# MIN_ISOLATED_FRACTION as well as the others.
ISOLATION_DETECTION_S = 4
MIN_ISOLATED_FRACTION = 2 / 3
MIN_ISOLATED_REQUESTS = 10
# Requests that a target in its slow start gets in any second, of all gateways together: as the defaults of the gateways'
# settings slow_start_overage and slow_start_slack.
SLOW_START_ALLOWED = SLOW_START_PER_S * 1.5 + 5


def findings_of_outcomes(outcomes: list[Outcome], runs: collections.Counter) -> list[str]:
    findings = [finding for outcome in outcomes for finding in _findings_of_outcome(outcome, runs[outcome.request])]
    if sum(outcome.status == 200 for outcome in outcomes) < MIN_SERVED:
        findings.append(f"fewer than {MIN_SERVED} requests were served")
    return findings


def _findings_of_outcome(outcome: Outcome, count: int) -> list[str]:
    findings = []
    request = outcome.request
    if outcome.is_once and count > 1:
        findings.append(f"{request} ran {count} times")
    if outcome.is_once and outcome.status in NOT_RUN_STATUSES and count > 0:
        findings.append(f"{request} was reported as not run ({outcome.status}), and ran")
    if outcome.headers.get("saltvane-reason") == "request-quarantined":
        findings.append(f"{request} was quarantined, but is harmless")
    if outcome.status == 503 and "retry-after" not in outcome.headers:
        findings.append(f"{request}: 503 without a Retry-After header")
    if outcome.status == 200:
        is_own = outcome.body == response_body(request) and outcome.headers.get("saltvane-request-id") == request
        if not is_own or count == 0:
            findings.append(f"{request}: the response belongs to another request or is corrupted: {outcome.body[:60]!r}")
    if outcome.status == 404 and outcome.path in STEADY_PATHS:
        findings.append(f"{request}: 404 on a route that every plan contains")
    return findings


def findings_of_responses(outcomes: list[Outcome], responses: dict[str, list[Given]]) -> list[str]:
    """What a caller gets with a digest is a response of a target to this request, with its status and its whole body.
    `responses`: by request id, without second responses. Responses without a digest are the gateways' own."""
    requests_by_digest = {given.digest: request for request, all_given in responses.items() for given in all_given}
    findings = []
    for outcome in outcomes:
        digest = outcome.headers.get(DIGEST.lower())
        if digest is None:
            if 200 <= outcome.status < 300:
                findings.append(f"{outcome.request}: {outcome.status} that no target sent")
            continue
        given = next((given for given in responses.get(outcome.request, []) if given.digest == digest), None)
        if given is None:
            owner = requests_by_digest.get(digest, "no request")
            findings.append(f"{outcome.request}: {outcome.status} with the digest of the response to {owner}")
        elif given.status != outcome.status:
            findings.append(f"{outcome.request}: {outcome.status}, and the target answered {given.status}")
        elif given.body != outcome.body:
            findings.append(f"{outcome.request}: {outcome.status} with a body other than the target's: {outcome.body[:60]!r}")
    return findings


def findings_of_unrequested(unrequested: list[tuple[str, bytes]]) -> list[str]:
    """`unrequested`: gateway, and bytes that it sent on a connection on which no request was waiting."""
    return [f"{gateway} sent bytes while no request was waiting: {received[:60]!r}" for gateway, received in unrequested]


def findings_of_plans(outcomes: list[Outcome], services: dict[str, set[str]], sent: list[tuple[float, int]],
                      acknowledged: list[tuple[float, int]], spans: dict[str, list[Span]]) -> list[str]:
    """Each run, and each refusal because no route matches, must agree with a plan that is new enough.

    `services`: the services that ran a request, by request id. `spans`: when a gateway was in trouble."""
    findings = []
    for outcome in outcomes:
        required_version = _required_version(outcome.sent_at, acknowledged, spans.get(outcome.gateway, []))
        plans = [version for at, version in sent if version >= required_version and at <= outcome.sent_at + MAX_STALE_RUN_S]
        uses = services.get(outcome.request, set()) | ({None} if outcome.status == 404 else set())
        findings += [f"{outcome.request} on {outcome.path} at {outcome.gateway}: {use or 'no route'}, which "
                     f"no plan from {required_version} on allows" for use in uses
                     if required_version > 0 and all(service_of(outcome.path, version) != use for version in plans)]
    return findings


def _required_version(sent_at: float, acknowledged: list[tuple[float, int]], spans: list[Span]) -> int:
    for start, end in reversed(spans):
        if start <= sent_at < end + MAX_STALE_RUN_S:
            sent_at = start
    return max((version for at, version in acknowledged if at + MAX_STALE_RUN_S <= sent_at), default=0)


def findings_of_reads(reads: list[tuple[float, int]], acknowledged: list[tuple[float, int]]) -> list[str]:
    """No host returns a plan older than one acknowledged more than MAX_STALE_READ_S before the read."""
    findings = []
    for sent_at, version in reads:
        required_version = max((acknowledged_version for at, acknowledged_version in acknowledged
                                if at + MAX_STALE_READ_S <= sent_at), default=0)
        if version < required_version:
            findings.append(f"a read returned plan {version}; {required_version} was acknowledged {MAX_STALE_READ_S} s before")
    return findings


def findings_of_orders(executions: list[tuple[float, str, str]], since: float, zone: str, target: str) -> list[str]:
    """From `since` on, neither an evacuated zone nor a target that left runs a request."""
    late = [f"{target_id} in {target_zone} ran a request {at - since:.1f} s after it had to stop"
            for at, target_id, target_zone in executions
            if at > since and (target_zone == zone or target_id == target)]
    return late[:1]


def findings_of_leaves(after_leave: list[tuple[str, str, float]], outcomes: list[Outcome],
                       spans: dict[str, list[Span]]) -> list[str]:
    """`after_leave`: request id, target, and seconds from the acknowledgement of the target's leave to the run."""
    by_request = {outcome.request: outcome for outcome in outcomes}
    findings = []
    for request, target, seconds in after_leave:
        outcome = by_request.get(request)
        if seconds > MAX_RUN_AFTER_LEAVE_S and outcome and _was_free_of_trouble(outcome.gateway, outcome.sent_at, spans):
            findings.append(f"{target} ran {request} from {outcome.gateway} {seconds:.1f} s after its leave was "
                            f"acknowledged")
    return findings


def findings_of_fatal_requests(runs: list[tuple[float, str, str]], sent: dict[str, tuple[str, float]],
                               spans: dict[str, list[Span]]) -> list[str]:
    """`runs`: time, path and request id of requests that crashed their targets. `sent`: gateway and time, by request id.
    `spans`: when a gateway was in trouble."""
    findings = []
    for path in sorted({path for _, path, _ in runs}):
        crashes = sorted((at, request) for at, run_path, request in runs if run_path == path)
        if len(crashes) <= MAX_RUNS_AFTER_THIRD:
            continue
        since = crashes[2][0] + CONVERGENCE_S
        late = [request for at, request in crashes if at > since and _was_free_of_trouble(*sent[request], spans)]
        if len(late) > MAX_RUNS_AFTER_THIRD:
            findings.append(f"{path} was run {len(late)} times later than {CONVERGENCE_S} s after its third crash, "
                            f"{len(crashes)} crashes in all")
    return findings


def findings_of_limits(limits: list[tuple[float, str, float | None]], arrivals: list[tuple[float, str, str, str]],
                       responses: list[tuple[float, str, str]], gateways: dict[str, str], spans: dict[str, list[Span]],
                       held_spans: dict[str, list[Span]]) -> list[str]:
    """`gateways`: by request id. `held_spans`: when connections to a target's address were held back, by address."""
    findings = []
    for incarnation in sorted({incarnation for _, incarnation, _ in limits}):
        announced = [(at, limit) for at, target, limit in limits if target == incarnation]
        informed_at: dict[str, float] = {}
        for at, target, request in responses:
            if target == incarnation and request in gateways:
                informed_at.setdefault(gateways[request], at)
        counted = []
        for at, target, address, request in arrivals:
            gateway = gateways.get(request)
            if target != incarnation or gateway not in informed_at or at < informed_at[gateway] + LIMIT_PROPAGATION_S:
                continue
            is_held = any(begin <= at < end + LIMIT_WINDOW_S for begin, end in held_spans.get(address, []))
            if not is_held and _was_free_of_trouble(gateway, at, spans):
                counted.append(at)
        for index, at in enumerate(counted):
            begin = at - LIMIT_WINDOW_S
            allowed = _allowed_requests(announced, begin, at)
            if allowed is None or begin < announced[0][0] + LIMIT_CONVERGENCE_S:
                continue
            count = sum(begin < arrived_at for arrived_at in counted[:index + 1])
            if count > allowed * LIMIT_FACTOR + LIMIT_SLACK:
                findings.append(f"{incarnation} got {count} requests in {LIMIT_WINDOW_S} s, and its limits allow {allowed:.1f}")
                break
    return findings


def findings_of_backoffs(backoffs: list[tuple[float, str, str, float]], arrivals: list[tuple[float, str, str, str]],
                         gateways: dict[str, str], spans: dict[str, list[Span]],
                         held_spans: dict[str, list[Span]]) -> list[str]:
    """`backoffs`: time, target, request id and seconds of each requested backoff. The other parameters are those of
    findings_of_limits()."""
    findings = []
    for requested_at, incarnation, request_id, seconds in backoffs:
        gateway = gateways.get(request_id)
        until = requested_at + seconds
        sent = [at for at, target, address, request in arrivals
                if target == incarnation and gateway is not None and gateways.get(request) == gateway
                and requested_at + BACKOFF_PROPAGATION_S <= at < until and _was_free_of_trouble(gateway, at, spans)
                and not any(begin <= at < end + LIMIT_WINDOW_S for begin, end in held_spans.get(address, []))]
        if len(sent) > MAX_REQUESTS_IN_BACKOFF:
            findings.append(f"{incarnation} requested {seconds} s of backoff from {gateway} and got "
                            f"{len(sent)} requests from it")
    return findings[:3]


def findings_of_slow_starts(slow_starts: list[tuple[float, float, str]], arrivals: list[tuple[float, str, str, str]],
                            held_spans: dict[str, list[Span]]) -> list[str]:
    """`slow_starts`: start, end and target of each. Gateways in trouble count as well, and so do health checks."""
    findings = []
    for start, end, incarnation in slow_starts:
        arrived = sorted((at, request) for at, target, address, request in arrivals
                         if target == incarnation and start <= at < end
                         and not any(begin <= at < until + 1 for begin, until in held_spans.get(address, [])))
        seconds = [[request for other, request in arrived if at - 1 < other <= at] for at, _ in arrived]
        most = max(seconds, key=len, default=[])
        if len(most) > SLOW_START_ALLOWED:
            findings.append(f"{incarnation} got {len(most)} requests in a second of its slow start, {SLOW_START_ALLOWED:.0f} "
                            f"allowed; {most.count('')} of them are health checks")
    return findings


def findings_of_leaving_responses(responses: list[tuple[float, str, str]], arrivals: list[tuple[float, str, str, str]],
                                  outcomes: list[Outcome], spans: dict[str, list[Span]]) -> list[str]:
    """After a target announced its leave to a gateway, it gets no request that callers sent to that gateway later."""
    by_request = {outcome.request: outcome for outcome in outcomes}
    informed_at: dict[tuple[str, str], float] = {}
    for at, incarnation, request in responses:
        if request in by_request:
            informed_at.setdefault((incarnation, by_request[request].gateway), at)
    findings = []
    for _, incarnation, _, request in arrivals:
        outcome = by_request.get(request)
        since = informed_at.get((incarnation, outcome.gateway)) if outcome else None
        if since is None or outcome.sent_at <= since + MAX_RUN_AFTER_LEAVE_S:
            continue
        # A gateway that was in trouble since then may have restarted and lost the information.
        if not any(end > since for _, end in spans.get(outcome.gateway, [])):
            findings.append(f"{incarnation} got {request} from {outcome.gateway} {outcome.sent_at - since:.1f} s after "
                            f"it announced its leave")
    return findings[:3]


def findings_of_abandoned_bursts(bursts: list[AbandonedBurst], arrivals: list[tuple[float, str, str, str]],
                                 held_spans: dict[str, list[Span]]) -> list[str]:
    """`held_spans`: when connections to a target's address were held back, by address."""
    findings = []
    for burst in bursts:
        late = [request for at, _, address, request in arrivals
                if request in burst.requests and at > burst.closed_at + MAX_ARRIVAL_AFTER_CLOSE_S
                and not any(begin <= at < end + LIMIT_WINDOW_S for begin, end in held_spans.get(address, []))]
        if len(late) > MAX_LATE_PER_STOP:
            findings.append(f"{burst.gateway} sent {len(late)} requests on after their callers had left: {late}")
    return findings


def findings_of_isolations(isolations: list[Isolation], outcomes: list[Outcome]) -> list[str]:
    """For runs in which nothing but isolations happens."""
    findings = []
    for isolation in isolations:
        begin, end = isolation.started_at + ISOLATION_DETECTION_S, isolation.ended_at or 0
        overlaps = [other for other in isolations if other is not isolation
                    and other.started_at < end and (other.ended_at or end) + ISOLATION_DETECTION_S > begin]
        counted = [outcome for outcome in outcomes if begin <= outcome.sent_at < end and outcome.path in STEADY_PATHS]
        isolated = [outcome for outcome in counted if outcome.gateway in isolation.gateways]
        others = [outcome for outcome in counted if outcome.gateway and outcome.gateway not in isolation.gateways]
        if overlaps or len(isolated) < MIN_ISOLATED_REQUESTS or not others:
            continue
        if _served_fraction(isolated) < MIN_ISOLATED_FRACTION * _served_fraction(others):
            findings.append(f"isolated gateways served {_served_fraction(isolated):.2f} of {len(isolated)} requests, the others "
                            f"{_served_fraction(others):.2f} of {len(others)}, in {end - begin:.2f} s; not served: "
                            f"{_unserved(isolated)}")
    return findings


def _unserved(outcomes: list[Outcome]) -> str:
    """The numbers of requests that were not served, by gateway, status and reason."""
    counts = collections.Counter((outcome.gateway, outcome.status, outcome.headers.get("saltvane-reason", "none"))
                                 for outcome in outcomes if outcome.status != 200)
    return ", ".join(f"{count} at {gateway} ({status}, {reason})" for (gateway, status, reason), count in counts.items())


def _served_fraction(outcomes: list[Outcome]) -> float:
    return sum(outcome.status == 200 for outcome in outcomes) / len(outcomes)


def _allowed_requests(announced: list[tuple[float, float | None]], begin: float, end: float) -> float | None:
    """The number of requests that a target's limits allow; None if it had no limit for part of the time."""
    allowed = 0.0
    until = [at for at, _ in announced[1:]] + [end]
    for (since, limit), before in zip(announced, until):
        seconds = min(before, end) - max(since, begin)
        if seconds > 0 and limit is None:
            return None
        allowed += max(seconds, 0) * (limit or 0)
    return allowed if announced and announced[0][0] <= begin else None


def _was_free_of_trouble(gateway: str, at: float, spans: dict[str, list[Span]]) -> bool:
    """Whether the gateway was free of trouble for CONVERGENCE_S before `at`."""
    return not any(start <= at < end + CONVERGENCE_S for start, end in spans.get(gateway, []))
