#!/usr/bin/env python3
"""Shows that each check of the soak test can fail."""
import asyncio
import collections
import json
import random
import unittest

from callers import Outcome
from faults import AbandonedBurst, Isolation
from messages import Message, encode, read_message
from plans import SERVICES, STEADY_PATHS, SELDOM_PATHS, VERSIONS_PER_MOVE, less_used_service, routes_of, service_of
from promises import MAX_RUN_AFTER_LEAVE_S, MAX_STALE_RUN_S, MIN_SERVED, SLOW_START_ALLOWED, findings_of_fatal_requests, \
    findings_of_leaves, findings_of_slow_starts, \
    findings_of_leaving_responses, findings_of_limits, findings_of_orders, findings_of_outcomes, findings_of_plans, \
    findings_of_reads, findings_of_backoffs, findings_of_abandoned_bursts, findings_of_isolations, findings_of_responses, \
    findings_of_unrequested
from targets import HEALTH_PATH, Given, Runs, Target, response_body


def served(request: str, **changes) -> Outcome:
    outcome = Outcome(request, True, 0.0, 200, {"saltvane-request-id": request}, response_body(request))
    for name, value in changes.items():
        setattr(outcome, name, value)
    return outcome


class OutcomesTest(unittest.TestCase):
    def check(self, outcome: Outcome, runs: int) -> list[str]:
        others = [served(f"other-{number}") for number in range(MIN_SERVED)]
        counts = collections.Counter({other.request: 1 for other in others})
        counts[outcome.request] = runs
        return findings_of_outcomes([*others, outcome], counts)

    def test_a_correct_response_is_no_finding(self):
        self.assertEqual(self.check(served("a"), 1), [])

    def test_a_second_run_is_a_finding(self):
        self.assertIn("ran 2 times", self.check(served("a"), 2)[0])

    def test_a_repeatable_request_may_run_twice(self):
        self.assertEqual(self.check(served("a", is_once=False), 2), [])

    def test_a_request_reported_as_not_run_must_not_run(self):
        refused = served("a", status=503, headers={"retry-after": "0.2"}, body=b"")
        self.assertEqual(self.check(refused, 0), [])
        self.assertIn("not run", self.check(refused, 1)[0])

    def test_a_503_needs_a_retry_after_header(self):
        self.assertIn("503 without a Retry-After header", self.check(served("a", status=503, headers={}, body=b""), 0)[0])

    def test_a_response_to_another_request_is_a_finding(self):
        self.assertIn("another request or is corrupted", self.check(served("a", body=response_body("b")), 1)[0])
        self.assertIn("another request or is corrupted", self.check(served("a", headers={"saltvane-request-id": "b"}), 1)[0])

    def test_a_truncated_response_is_a_finding(self):
        self.assertIn("another request or is corrupted", self.check(served("a", body=response_body("a")[:-1]), 1)[0])

    def test_a_404_on_a_steady_route_is_a_finding(self):
        self.assertIn("404", self.check(served("a", status=404), 0)[0])

    def test_too_few_served_requests_are_a_finding(self):
        self.assertIn(f"fewer than {MIN_SERVED} requests were served", findings_of_outcomes([], collections.Counter()))


class ResponsesTest(unittest.TestCase):
    """A target answered request "a" with a success and "b" with a failure."""
    RESPONSES = {"a": [Given(200, "da", response_body("a"))], "b": [Given(500, "db", b"failed b")]}

    def check(self, request: str, status: int, digest: str | None, body: bytes) -> list[str]:
        headers = {"saltvane-request-id": request} | ({"response-digest": digest} if digest else {})
        return findings_of_responses([served(request, status=status, headers=headers, body=body)], self.RESPONSES)

    def test_responses_of_targets_are_no_finding(self):
        self.assertEqual(self.check("a", 200, "da", response_body("a")), [])
        self.assertEqual(self.check("b", 500, "db", b"failed b"), [])

    def test_responses_of_gateways_are_no_finding(self):
        self.assertEqual(self.check("a", 502, None, b""), [])
        self.assertEqual(self.check("a", 0, None, b""), [])

    def test_a_success_for_a_failure_is_a_finding(self):
        self.assertIn("200, and the target answered 500", self.check("b", 200, "db", b"failed b")[0])

    def test_a_failure_for_a_success_is_a_finding(self):
        self.assertIn("500, and the target answered 200", self.check("a", 500, "da", response_body("a"))[0])

    def test_a_response_to_another_request_is_a_finding(self):
        self.assertIn("the response to b", self.check("a", 500, "db", b"failed b")[0])

    def test_a_second_response_is_a_finding(self):
        self.assertIn("the response to no request", self.check("a", 500, "dc", b"second response")[0])

    def test_a_success_without_a_digest_is_a_finding(self):
        self.assertIn("that no target sent", self.check("a", 200, None, b"second response")[0])

    def test_a_body_that_is_cut_is_a_finding(self):
        self.assertIn("a body other than the target's", self.check("a", 200, "da", response_body("a")[:-1])[0])

    def test_bytes_without_a_request_are_a_finding(self):
        self.assertEqual(findings_of_unrequested([]), [])
        self.assertIn("g sent bytes", findings_of_unrequested([("g", b"HTTP/1.1 200 OK")])[0])


class PlansTest(unittest.TestCase):
    """A plan that moves one route and drops another, acknowledged at 100 s."""
    BEFORE = VERSIONS_PER_MOVE - 1  # Route 0 moves with the next version.
    STEADY, SELDOM = STEADY_PATHS[0], SELDOM_PATHS[0]

    def check(self, path: str, sent_at: float, use: str | None, spans=()) -> list[str]:
        outcome = Outcome("a", False, sent_at, 200 if use else 404, path=path, gateway="g")
        services = {"a": {use}} if use else {}
        sent = [(80.0, self.BEFORE), (99.0, self.BEFORE + 1)]
        acknowledged = [(81.0, self.BEFORE), (100.0, self.BEFORE + 1)]
        return findings_of_plans([outcome], services, sent, acknowledged, {"g": list(spans)})

    # Guards against evacuations that leave one target to a service with the routes of all callers.
    def test_the_less_used_service_has_at_most_half_of_the_routes(self):
        for version in range(2 * VERSIONS_PER_MOVE):
            routed = [service_of(path, version) for path in STEADY_PATHS]
            self.assertLessEqual(routed.count(less_used_service(version)), len(routed) // 2)

    def test_plans_move_drop_and_add_routes(self):
        self.assertEqual(service_of(self.STEADY, self.BEFORE), SERVICES[0])
        self.assertEqual(service_of(self.STEADY, self.BEFORE + 1), SERVICES[1])
        self.assertIsNone(service_of(self.SELDOM, self.BEFORE + 1))
        self.assertIsNotNone(service_of(self.SELDOM, self.BEFORE + 1 + VERSIONS_PER_MOVE))
        self.assertNotIn(self.SELDOM, [path for path, _ in routes_of(self.BEFORE + 1)])

    def test_a_run_by_an_old_plan_is_a_finding(self):
        self.assertEqual(self.check(self.STEADY, 100 + MAX_STALE_RUN_S - 1, SERVICES[0]), [])
        self.assertIn("no plan from 8 on", self.check(self.STEADY, 100 + MAX_STALE_RUN_S, SERVICES[0])[0])
        self.assertEqual(self.check(self.STEADY, 100 + MAX_STALE_RUN_S, SERVICES[1]), [])

    def test_a_run_on_a_dropped_route_is_a_finding(self):
        self.assertIn("no plan from 8 on", self.check(self.SELDOM, 100 + MAX_STALE_RUN_S, SERVICES[0])[0])
        self.assertEqual(self.check(self.SELDOM, 100 + MAX_STALE_RUN_S, None), [])

    def test_a_404_on_a_planned_route_is_a_finding(self):
        self.assertIn("no route", self.check(self.SELDOM, 90.0, None)[0])

    def test_a_gateway_has_time_to_catch_up_after_trouble(self):
        away = [(101.0, 104.0)]
        self.assertEqual(self.check(self.STEADY, 104 + MAX_STALE_RUN_S - 1, SERVICES[0], away), [])
        self.assertEqual(len(self.check(self.STEADY, 104 + MAX_STALE_RUN_S, SERVICES[0], away)), 1)


class OrdersTest(unittest.TestCase):
    def test_a_read_of_an_older_plan_is_a_finding(self):
        self.assertEqual(findings_of_reads([(11.0, 4)], [(10.0, 5)]), [])
        self.assertEqual(len(findings_of_reads([(13.0, 4)], [(10.0, 5)])), 1)

    def test_a_run_in_an_evacuated_zone_is_a_finding(self):
        runs = [(9.0, "t-1", "north-a"), (11.0, "t-2", "south-a")]
        self.assertEqual(findings_of_orders(runs, 10.0, "north-a", "t-9"), [])
        self.assertEqual(len(findings_of_orders(runs, 10.0, "south-a", "t-9")), 1)

    def test_a_run_at_a_target_that_left_is_a_finding(self):
        self.assertEqual(len(findings_of_orders([(11.0, "t-2", "south-a")], 10.0, "north-a", "t-2")), 1)


class FatalTest(unittest.TestCase):
    """A request that crashed its third target at 10 s."""
    CRASHES = [(8.0, "/read/0/fatal", "a"), (9.0, "/read/0/fatal", "b"), (10.0, "/read/0/fatal", "c")]

    def check(self, late: list[float], spans: dict | None = None) -> list[str]:
        crashes = self.CRASHES + [(at, "/read/0/fatal", f"late-{at}") for at in late]
        sent = {request: ("gateway", at) for at, _, request in crashes}
        return findings_of_fatal_requests(crashes, sent, spans or {})

    def test_three_late_sends_are_no_finding(self):
        self.assertEqual(self.check([15.1, 16, 17]), [])

    def test_sends_within_the_convergence_time_do_not_count(self):
        self.assertEqual(self.check([11, 12, 13, 14, 14.9, 15.1, 16, 17]), [])

    def test_a_fourth_late_send_is_a_finding(self):
        self.assertIn("4 times later", self.check([15.1, 16, 17, 18])[0])

    def test_requests_of_a_gateway_in_trouble_do_not_count(self):
        self.assertEqual(self.check([15.1, 16, 17, 18], {"gateway": [(17.5, 17.6)]}), [])
        self.assertEqual(len(self.check([15.1, 16, 17, 18], {"gateway": [(12, 12.5)]})), 0)
        self.assertEqual(len(self.check([18, 19, 20, 21], {"gateway": [(12, 12.5)]})), 1)

    def test_a_quarantined_harmless_request_is_a_finding(self):
        refused = served("a", status=503, headers={"retry-after": "60", "saltvane-reason": "request-quarantined"}, body=b"")
        others = [served(f"other-{number}") for number in range(MIN_SERVED)]
        counts = collections.Counter({other.request: 1 for other in others})
        self.assertIn("was quarantined, but is harmless", findings_of_outcomes([*others, refused], counts)[0])


class LeavesTest(unittest.TestCase):
    """A request sent at 20 s that a target ran after its leave was acknowledged."""

    def check(self, seconds: float, spans: dict | None = None) -> list[str]:
        outcome = served("a", sent_at=20.0, gateway="gateway")
        return findings_of_leaves([("a", "t-1", seconds)], [outcome], spans or {})

    def test_a_run_long_after_the_leave_is_a_finding(self):
        self.assertEqual(self.check(MAX_RUN_AFTER_LEAVE_S - 0.1), [])
        self.assertIn("t-1 ran a", self.check(MAX_RUN_AFTER_LEAVE_S + 0.1)[0])

    def test_requests_of_a_gateway_in_trouble_do_not_count(self):
        self.assertEqual(self.check(9, {"gateway": [(14, 15.5)]}), [])
        self.assertEqual(len(self.check(9, {"gateway": [(14, 14.5)]})), 1)


class LimitsTest(unittest.TestCase):
    """A target announces a limit of 2 requests per second at 100 s; gateway g receives it at 101 s: 17 requests are allowed."""

    def check(self, requests: int, seconds: float = 3.9, since: float = 110, limits=((100.0, "t", 2.0),), spans=None,
              held_spans=None):
        arrivals = [(since + seconds * number / requests, "t", "address", f"r{number}") for number in range(requests)]
        gateways = {"first": "g"} | {f"r{number}": "g" for number in range(requests)}
        return findings_of_limits(list(limits), arrivals, [(101.0, "t", "first")], gateways, spans or {}, held_spans or {})

    def test_as_many_requests_as_allowed_are_no_finding(self):
        self.assertEqual(self.check(17), [])

    def test_one_request_more_is_a_finding(self):
        self.assertIn("18 requests", self.check(18)[0])

    def test_more_requests_over_a_longer_time_are_no_finding(self):
        self.assertEqual(self.check(30, seconds=8), [])

    def test_requests_before_convergence_do_not_count(self):
        self.assertEqual(self.check(18, since=103), [])

    def test_a_lowered_limit_holds(self):
        self.assertIn("12 requests", self.check(12, limits=((100.0, "t", 20.0), (105.0, "t", 1.0)))[0])

    def test_a_target_that_starts_again_under_its_id_has_no_limit(self):
        runs = Runs()
        asyncio.run(self.restart_target_with_limit(runs))
        (_, limited_id, _), *later = runs.limits
        self.assertEqual([(target_id, limit) for _, target_id, limit in later], [(limited_id, None)])

    @staticmethod
    async def restart_target_with_limit(runs: Runs):
        target = Target("127.0.0.1:1", "127.0.0.1:0", SERVICES[0], "north-a", ["127.0.0.1:1"], runs, random.Random(1), random.Random(2))
        await target.start(states_start=True)
        target.announce_limit(2.0)
        target.crash()
        await target.start(states_start=True, keeps_id=True)
        target.crash()

    def test_requests_after_the_end_of_the_limit_do_not_count(self):
        self.assertEqual(self.check(50, limits=((100.0, "t", 2.0), (109.0, "t", None))), [])

    def test_requests_of_a_gateway_in_trouble_do_not_count(self):
        self.assertEqual(self.check(18, spans={"g": [(108.0, 111.0)]}), [])

    def test_requests_held_back_on_the_way_do_not_count(self):
        self.assertEqual(self.check(18, held_spans={"address": [(108.0, 111.0)]}), [])


class BackoffsTest(unittest.TestCase):
    """A target requests 3 s of backoff from gateway g at 100 s."""

    def check(self, arrivals, gateway="g", spans=None) -> list[str]:
        gateways = {"first": "g"} | {f"r{number}": gateway for number in range(len(arrivals))}
        sent = [(at, "t", "address", f"r{number}") for number, at in enumerate(arrivals)]
        return findings_of_backoffs([(100.0, "t", "first", 3.0)], sent, gateways, spans or {}, {})

    def test_two_requests_are_no_finding(self):
        self.assertEqual(self.check([101.6, 102.0]), [])

    def test_three_requests_are_a_finding(self):
        self.assertIn("got 3 requests", self.check([101.6, 102.0, 102.9])[0])

    def test_requests_before_propagation_and_after_the_backoff_do_not_count(self):
        self.assertEqual(self.check([100.1, 101.4, 101.6, 102.0, 103.0, 104.0]), [])

    def test_requests_of_another_gateway_do_not_count(self):
        self.assertEqual(self.check([101.6, 102.0, 102.9], gateway="other"), [])

    def test_requests_of_a_gateway_in_trouble_do_not_count(self):
        self.assertEqual(self.check([101.6, 102.0, 102.9], spans={"g": [(99.0, 101.0)]}), [])


class SlowStartsTest(unittest.TestCase):
    def check(self, arrivals: list[float], held_spans=None) -> list[str]:
        arrived = [(at, "t", "address", f"r{number}") for number, at in enumerate(arrivals)]
        return findings_of_slow_starts([(100.0, 103.0, "t")], arrived, held_spans or {})

    def test_allowed_requests_are_no_finding(self):
        self.assertEqual(self.check([100 + number / int(SLOW_START_ALLOWED) for number in range(27)]), [])

    def test_burst_is_a_finding(self):
        self.assertEqual(len(self.check([101.5] * (int(SLOW_START_ALLOWED) + 1))), 1)

    def test_health_checks_count(self):
        arrived = [(101.5, "t", "address", "" if number < 4 else f"r{number}") for number in range(int(SLOW_START_ALLOWED) + 1)]
        self.assertIn("4 of them are health checks", findings_of_slow_starts([(100.0, 103.0, "t")], arrived, {})[0])

    def test_burst_outside_the_slow_start_is_no_finding(self):
        self.assertEqual(self.check([99.9] * 50 + [103.1] * 50), [])

    def test_burst_after_held_connections_is_no_finding(self):
        self.assertEqual(self.check([101.5] * 50, {"address": [(100.0, 101.0)]}), [])


class RestartWithoutStartTest(unittest.IsolatedAsyncioTestCase):
    """A target in a slow start crashes and starts again under its id; a report of before arrives late."""

    async def asyncSetUp(self):
        self.reports: list[dict] = []
        self.registry = await asyncio.start_server(self.serve_registry, "127.0.0.1", 0)
        address = f"127.0.0.1:{self.registry.sockets[0].getsockname()[1]}"
        self.runs = Runs()
        self.target = Target("127.0.0.1:1", "127.0.0.1:0", SERVICES[0], "north-a", [address], self.runs, random.Random(1),
                             random.Random(2))
        await self.target.start()
        self.first_incarnation = self.target.incarnation
        self.target.begin_slow_start(0.1)
        self.target.delay_reports(0.3, 5)
        await asyncio.sleep(0.02)
        await self.ask("r1")
        await self.target.restart_without_start(0.1, 3.0, is_refusing=False)
        await self.ask("r2")

    async def asyncTearDown(self):
        self.target.crash()
        self.registry.close()

    async def serve_registry(self, reader, writer):
        self.reports.append(json.loads((await read_message(reader)).body))
        writer.write(encode("HTTP/1.1 200 OK", {}))
        writer.close()
        await writer.wait_closed()

    async def ask(self, request: str, path: str = "/read/0/1"):
        headers = {"saltvane-request-id": request, "saltvane-expect-target": self.target.id}
        return await self.target._respond(Message(["GET", path, "HTTP/1.1"], headers, b""), True)

    async def test_reports_state_no_start_and_count_from_one(self):
        await asyncio.sleep(0.5)
        self.assertEqual([report["sequence"] for report in self.reports], [1, 1])
        self.assertFalse(any("started_ms" in report for report in self.reports))

    async def test_a_report_of_before_arrives_after_one_of_the_slow_start(self):
        await asyncio.sleep(0.5)
        self.assertEqual([report["slow_start_left_ms"] > 1000 for report in self.reports], [True, False])

    async def test_each_start_is_recorded_by_itself(self):
        later = f"{self.first_incarnation}/2"
        self.assertEqual([incarnation for _, _, incarnation in self.runs.slow_starts], [self.first_incarnation, later])
        self.assertEqual([(incarnation, request) for _, incarnation, _, request in self.runs.arrivals],
                         [(self.first_incarnation, "r1"), (later, "r2")])

    async def test_answers_to_health_checks_state_the_slow_start(self):
        self.assertIn("Saltvane-Slow-Start-Left-Ms", (await self.ask("", HEALTH_PATH)).headers)
        self.assertNotIn("Saltvane-Slow-Start-Left-Ms", (await self.ask("r3")).headers)

    async def test_another_fault_may_start_it_first(self):
        restart = asyncio.create_task(self.target.restart_without_start(0.1, 3.0, is_refusing=False))
        await asyncio.sleep(0.02)
        self.assertFalse(self.target.can_restart_without_start())
        await self.target.start()
        started = self.target.incarnation
        await restart
        self.assertEqual(self.target.incarnation, started)
        self.assertTrue(self.target.can_restart_without_start())


class LeavingResponsesTest(unittest.TestCase):
    """A target announces its leave to gateway g at 100 s."""

    def check(self, sent_at: float, gateway: str = "g", spans=None) -> list[str]:
        outcomes = [served("first", gateway="g", sent_at=99.9), served("r", gateway=gateway, sent_at=sent_at)]
        return findings_of_leaving_responses([(100.0, "t", "first")], [(sent_at, "t", "address", "r")], outcomes, spans or {})

    def test_a_request_in_time_is_no_finding(self):
        self.assertEqual(self.check(100 + MAX_RUN_AFTER_LEAVE_S), [])

    def test_a_late_request_is_a_finding(self):
        self.assertIn("announced its leave", self.check(100.1 + MAX_RUN_AFTER_LEAVE_S)[0])

    def test_requests_of_a_gateway_without_the_announcement_do_not_count(self):
        self.assertEqual(self.check(100.1 + MAX_RUN_AFTER_LEAVE_S, gateway="other"), [])

    def test_requests_of_a_restarted_gateway_do_not_count(self):
        self.assertEqual(self.check(100.1 + MAX_RUN_AFTER_LEAVE_S, spans={"g": [(101.0, 102.0)]}), [])


class AbandonedBurstsTest(unittest.TestCase):
    """The callers of three requests leave at 100 s."""

    def check(self, arrivals: list[float], held_spans=None) -> list[str]:
        burst = AbandonedBurst("g", 100.0, ["r0", "r1", "r2"])
        arrived = [(at, "t", "address", f"r{number}") for number, at in enumerate(arrivals)]
        return findings_of_abandoned_bursts([burst], arrived, held_spans or {})

    def test_arrivals_in_time_are_no_finding(self):
        self.assertEqual(self.check([99.9, 100.1, 101.0]), [])

    def test_one_late_arrival_is_no_finding(self):
        self.assertEqual(self.check([101.1]), [])

    def test_two_late_arrivals_are_a_finding(self):
        self.assertIn("2 requests", self.check([99.9, 101.1, 103.0])[0])

    def test_requests_held_back_on_the_way_do_not_count(self):
        self.assertEqual(self.check([99.9, 101.1, 103.0], {"address": [(100.5, 101.0)]}), [])


class IsolationsTest(unittest.TestCase):
    """Gateway "g" is isolated from 100 to 110 s."""

    def check(self, served_requests: int, sent_at: float = 105, isolations=None) -> list[str]:
        outcomes = [served(f"o{number}", gateway="other", sent_at=sent_at) for number in range(20)]
        outcomes += [served(f"r{number}", gateway="g", sent_at=sent_at, status=200 if number < served_requests else 503)
                     for number in range(20)]
        return findings_of_isolations(isolations or [Isolation(["g"], 100, 110)], outcomes)

    def test_an_isolated_gateway_that_serves_is_no_finding(self):
        self.assertEqual(self.check(14), [])

    def test_an_isolated_gateway_that_serves_less_is_a_finding(self):
        self.assertIn("isolated gateways served", self.check(13)[0])
        self.assertIn("not served: 7 at g (503, none)", self.check(13)[0])

    def test_requests_before_the_detection_do_not_count(self):
        self.assertEqual(self.check(0, sent_at=103.9), [])

    def test_overlapping_isolations_do_not_count(self):
        self.assertEqual(self.check(0, isolations=[Isolation(["g"], 100, 110), Isolation(["other"], 103, 108)]), [])


if __name__ == "__main__":
    unittest.main()
