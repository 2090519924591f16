"""What the soak holds the system to, checked from what callers, targets and the operator saw."""
import collections

from callers import Outcome
from plans import STEADY_PATHS, service_of
from targets import answer_body
from troubles import Span

LATEST_OLD_READ_S = 2.5  # A read sent later after an acknowledgement tells that plan or a newer one.
# A request sent later after an acknowledgement is treated as that plan or a newer one says: a plan is in force 2 s after
# it at a gateway that has been free of faults for 3 s.
LATEST_OLD_RUN_S = 5
# A target runs nothing later after its leaving was acknowledged, of what gateways free of faults sent it: 2.5 s, and a
# margin for a busy machine.
LATEST_AFTER_LEAVE_S = 5
NOT_RUN = (408, 421, 429, 503)
LEAST_SERVED = 50
# In any four seconds, from so long after a target first named a limit, it gets one and a half times what that allows and
# five requests of gateways that had its word for half a second. Two seconds of it are a margin for a busy machine.
LIMIT_CONTACT_S = 5
LIMIT_WINDOW_S = 4
LIMIT_TOLD_S = 0.5
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# A gateway that a target asked for rest sends it two requests at the most from so long after until the end of the rest. A
# second of it is a margin for a busy machine.
REST_HEARD_S = 1.5
MOST_IN_A_REST = 2
# Of a request that ends the targets that run it: from so long after its third end on, so many more may be sent by
# gateways that were free of faults for as long. Two seconds of it are a margin for a busy machine.
CONTACT_S = 5
MOST_AFTER_THIRD = 3


def findings_of_outcomes(outcomes: list[Outcome], runs: collections.Counter) -> list[str]:
    findings = [finding for outcome in outcomes for finding in _findings_of(outcome, runs[outcome.request])]
    if sum(outcome.status == 200 for outcome in outcomes) < LEAST_SERVED:
        findings.append("hardly anything was served")
    return findings


def _findings_of(outcome: Outcome, count: int) -> list[str]:
    findings = []
    name = outcome.request
    if outcome.is_once and count > 1:
        findings.append(f"{name} ran {count} times")
    if outcome.is_once and outcome.status in NOT_RUN and count > 0:
        findings.append(f"{name} was told as not run ({outcome.status}), and ran")
    if outcome.headers.get("saltvane-reason") == "request-quarantined":
        findings.append(f"{name} was refused for what it is, and does no harm")
    if outcome.status == 503 and "retry-after" not in outcome.headers:
        findings.append(f"{name}: 503 without the time to come back")
    if outcome.status == 200:
        is_own = outcome.body == answer_body(name) and outcome.headers.get("saltvane-request-id") == name
        if not is_own or count == 0:
            findings.append(f"{name}: an answer that is not its own: {outcome.body[:60]!r}")
    if outcome.status == 404 and outcome.path in STEADY_PATHS:
        findings.append(f"{name}: 404 for a route that every plan has")
    return findings


def findings_of_plans(outcomes: list[Outcome], services: dict[str, set[str]], sent: list[tuple[float, int]],
                      acknowledged: list[tuple[float, int]], spans: dict[str, list[Span]]) -> list[str]:
    """Each run, and each refusal for want of a route, is allowed by a plan that is new enough. `services`: what ran a
    request. `spans`: when a gateway could not have known."""
    findings = []
    for outcome in outcomes:
        due = _due(outcome.sent_at, acknowledged, spans.get(outcome.gateway, []))
        plans = [version for at, version in sent if version >= due and at <= outcome.sent_at + LATEST_OLD_RUN_S]
        uses = services.get(outcome.request, set()) | ({None} if outcome.status == 404 else set())
        findings += [f"{outcome.request} on {outcome.path} at {outcome.gateway}: {use or 'no route'}, which no plan from {due} on "
                     f"allows" for use in uses
                     if due > 0 and all(service_of(outcome.path, version) != use for version in plans)]
    return findings


def _due(sent_at: float, acknowledged: list[tuple[float, int]], spans: list[Span]) -> int:
    for start, end in reversed(spans):
        if start <= sent_at < end + LATEST_OLD_RUN_S:
            sent_at = start
    return max((version for at, version in acknowledged if at + LATEST_OLD_RUN_S <= sent_at), default=0)


def findings_of_reads(reads: list[tuple[float, int]], acknowledged: list[tuple[float, int]]) -> list[str]:
    """No host shows an older plan than was acknowledged well before it was asked."""
    findings = []
    for sent_at, version in reads:
        due = max((one for at, one in acknowledged if at + LATEST_OLD_READ_S <= sent_at), default=0)
        if version < due:
            findings.append(f"a read told plan {version}; {due} was acknowledged {LATEST_OLD_READ_S} s before")
    return findings


def findings_of_orders(runs_at: list[tuple[float, str, str]], since: float, zone: str, target: str) -> list[str]:
    """From `since` on an evacuated zone and a target that left run nothing."""
    late = [f"{ran_at} in {ran_in} ran a request {at - since:.1f} s after it had to stop"
            for at, ran_at, ran_in in runs_at if at > since and (ran_in == zone or ran_at == target)]
    return late[:1]


def findings_of_leaves(after_leave: list[tuple[str, str, float]], outcomes: list[Outcome],
                       spans: dict[str, list[Span]]) -> list[str]:
    """`after_leave`: request, target, and how long before its run the target's leaving was acknowledged."""
    by_request = {outcome.request: outcome for outcome in outcomes}
    findings = []
    for request, target, seconds in after_leave:
        outcome = by_request.get(request)
        if seconds > LATEST_AFTER_LEAVE_S and outcome and _in_touch(outcome.gateway, outcome.sent_at, spans):
            findings.append(f"{target} ran {request} of {outcome.gateway} {seconds:.1f} s after it was acknowledged as leaving")
    return findings


def findings_of_fatal(runs: list[tuple[float, str, str]], sent: dict[str, tuple[str, float]],
                      spans: dict[str, list[Span]]) -> list[str]:
    """`runs`: time, path and request id of requests that ended their targets. `sent`: gateway and time, by request id.
    `spans`: when a gateway was in trouble."""
    findings = []
    for path in sorted({path for _, path, _ in runs}):
        ends = sorted((at, request) for at, one, request in runs if one == path)
        if len(ends) <= MOST_AFTER_THIRD:
            continue
        since = ends[2][0] + CONTACT_S
        late = [request for at, request in ends if at > since and _in_touch(*sent[request], spans)]
        if len(late) > MOST_AFTER_THIRD:
            findings.append(f"{path} was run {len(late)} times later than {CONTACT_S} s after its third end, {len(ends)} in all")
    return findings


def findings_of_limits(limits: list[tuple[float, str, float | None]], arrivals: list[tuple[float, str, str, str]],
                       told: list[tuple[float, str, str]], gateways: dict[str, str], spans: dict[str, list[Span]],
                       held: dict[str, list[Span]]) -> list[str]:
    """`gateways`: by request id. `held`: when connections to a target's address were held up, by address."""
    findings = []
    for start in sorted({start for _, start, _ in limits}):
        named = [(at, limit) for at, one, limit in limits if one == start]
        told_at: dict[str, float] = {}
        for at, one, request in told:
            if one == start and request in gateways:
                told_at.setdefault(gateways[request], at)
        counted = []
        for at, one, address, request in arrivals:
            gateway = gateways.get(request)
            if one != start or gateway not in told_at or at < told_at[gateway] + LIMIT_TOLD_S:
                continue
            is_held = any(begin <= at < end + LIMIT_WINDOW_S for begin, end in held.get(address, []))
            if not is_held and _in_touch(gateway, at, spans):
                counted.append(at)
        for index, at in enumerate(counted):
            begin = at - LIMIT_WINDOW_S
            allowed = _allowed(named, begin, at)
            if allowed is None or begin < named[0][0] + LIMIT_CONTACT_S:
                continue
            count = sum(begin < one for one in counted[:index + 1])
            if count > allowed * LIMIT_FACTOR + LIMIT_SLACK:
                findings.append(f"{start} got {count} requests in {LIMIT_WINDOW_S} s, and its limits allow {allowed:.1f}")
                break
    return findings


def findings_of_rests(rests: list[tuple[float, str, str, float]], arrivals: list[tuple[float, str, str, str]],
                      gateways: dict[str, str], spans: dict[str, list[Span]], held: dict[str, list[Span]]) -> list[str]:
    """`rests`: when a target asked for rest, by which request, for how many seconds. The others as above."""
    findings = []
    for asked_at, start, asked_by, seconds in rests:
        gateway = gateways.get(asked_by)
        until = asked_at + seconds
        sent = [at for at, one, address, request in arrivals
                if one == start and gateway is not None and gateways.get(request) == gateway
                and asked_at + REST_HEARD_S <= at < until and _in_touch(gateway, at, spans)
                and not any(begin <= at < end + LIMIT_WINDOW_S for begin, end in held.get(address, []))]
        if len(sent) > MOST_IN_A_REST:
            findings.append(f"{start} asked {gateway} for {seconds} s of rest and got {len(sent)} requests of it")
    return findings[:3]


def findings_of_leaving_words(told: list[tuple[float, str, str]], arrivals: list[tuple[float, str, str, str]],
                              outcomes: list[Outcome], spans: dict[str, list[Span]]) -> list[str]:
    """A target that said to a gateway that it leaves gets nothing that callers sent that gateway later."""
    by_request = {outcome.request: outcome for outcome in outcomes}
    told_at: dict[tuple[str, str], float] = {}
    for at, start, request in told:
        if request in by_request:
            told_at.setdefault((start, by_request[request].gateway), at)
    findings = []
    for _, start, _, request in arrivals:
        outcome = by_request.get(request)
        since = told_at.get((start, outcome.gateway)) if outcome else None
        if since is None or outcome.sent_at <= since + LATEST_AFTER_LEAVE_S:
            continue
        # A gateway that has started anew since knows nothing.
        if not any(end > since for _, end in spans.get(outcome.gateway, [])):
            findings.append(f"{start} got {request} of {outcome.gateway} {outcome.sent_at - since:.1f} s after it said that it leaves")
    return findings[:3]


def _allowed(named: list[tuple[float, float | None]], begin: float, end: float) -> float | None:
    """Requests that a target's limits allow; none where it named no limit for a part of the time."""
    allowed = 0.0
    until = [at for at, _ in named[1:]] + [end]
    for (since, limit), before in zip(named, until):
        seconds = min(before, end) - max(since, begin)
        if seconds > 0 and limit is None:
            return None
        allowed += max(seconds, 0) * (limit or 0)
    return allowed if named and named[0][0] <= begin else None


def _in_touch(gateway: str, at: float, spans: dict[str, list[Span]]) -> bool:
    return not any(start <= at < end + CONTACT_S for start, end in spans.get(gateway, []))
