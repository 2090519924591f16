#!/usr/bin/env python3
"""Each check of the soak is able to fail."""
import collections
import unittest

from callers import Outcome
from plans import SERVICES, STEADY_PATHS, SELDOM_PATHS, VERSIONS_PER_MOVE, routes_of, service_of
from promises import LATEST_AFTER_LEAVE_S, LATEST_OLD_RUN_S, LEAST_SERVED, findings_of_fatal, findings_of_leaves, \
    findings_of_leaving_words, findings_of_limits, findings_of_orders, findings_of_outcomes, findings_of_plans, findings_of_reads, \
    findings_of_rests
from targets import answer_body


def served(request: str, **changes) -> Outcome:
    outcome = Outcome(request, True, 0.0, 200, {"saltvane-request-id": request}, answer_body(request))
    for name, value in changes.items():
        setattr(outcome, name, value)
    return outcome


class OutcomesTest(unittest.TestCase):
    def check(self, outcome: Outcome, runs: int) -> list[str]:
        others = [served(f"other-{number}") for number in range(LEAST_SERVED)]
        counts = collections.Counter({other.request: 1 for other in others})
        counts[outcome.request] = runs
        return findings_of_outcomes([*others, outcome], counts)

    def test_a_good_answer_is_no_finding(self):
        self.assertEqual(self.check(served("a"), 1), [])

    def test_a_second_run(self):
        self.assertIn("ran 2 times", self.check(served("a"), 2)[0])

    def test_a_repeatable_request_may_run_twice(self):
        self.assertEqual(self.check(served("a", is_once=False), 2), [])

    def test_told_as_not_run(self):
        refused = served("a", status=503, headers={"retry-after": "0.2"}, body=b"")
        self.assertEqual(self.check(refused, 0), [])
        self.assertIn("not run", self.check(refused, 1)[0])

    def test_a_refusal_says_when_to_come_back(self):
        self.assertIn("time to come back", self.check(served("a", status=503, headers={}, body=b""), 0)[0])

    def test_the_answer_of_another(self):
        self.assertIn("not its own", self.check(served("a", body=answer_body("b")), 1)[0])
        self.assertIn("not its own", self.check(served("a", headers={"saltvane-request-id": "b"}), 1)[0])

    def test_an_answer_cut_short(self):
        self.assertIn("not its own", self.check(served("a", body=answer_body("a")[:-1]), 1)[0])

    def test_a_route_that_is_denied(self):
        self.assertIn("404", self.check(served("a", status=404), 0)[0])

    def test_nothing_served(self):
        self.assertIn("hardly anything was served", findings_of_outcomes([], collections.Counter()))


class PlansTest(unittest.TestCase):
    """A plan that moves a route and one that drops one, acknowledged at 100 s."""
    BEFORE = VERSIONS_PER_MOVE - 1  # Of route 0: it moves with the next version.
    STEADY, SELDOM = STEADY_PATHS[0], SELDOM_PATHS[0]

    def check(self, path: str, sent_at: float, use: str | None, spans=()) -> list[str]:
        outcome = Outcome("a", False, sent_at, 200 if use else 404, path=path, gateway="g")
        services = {"a": {use}} if use else {}
        sent = [(80.0, self.BEFORE), (99.0, self.BEFORE + 1)]
        acknowledged = [(81.0, self.BEFORE), (100.0, self.BEFORE + 1)]
        return findings_of_plans([outcome], services, sent, acknowledged, {"g": list(spans)})

    def test_plans_move_drop_and_add_routes(self):
        self.assertEqual(service_of(self.STEADY, self.BEFORE), SERVICES[0])
        self.assertEqual(service_of(self.STEADY, self.BEFORE + 1), SERVICES[1])
        self.assertIsNone(service_of(self.SELDOM, self.BEFORE + 1))
        self.assertIsNotNone(service_of(self.SELDOM, self.BEFORE + 1 + VERSIONS_PER_MOVE))
        self.assertNotIn(self.SELDOM, [path for path, _ in routes_of(self.BEFORE + 1)])

    def test_a_run_by_an_old_plan(self):
        self.assertEqual(self.check(self.STEADY, 100 + LATEST_OLD_RUN_S - 1, SERVICES[0]), [])
        self.assertIn("no plan from 8 on", self.check(self.STEADY, 100 + LATEST_OLD_RUN_S, SERVICES[0])[0])
        self.assertEqual(self.check(self.STEADY, 100 + LATEST_OLD_RUN_S, SERVICES[1]), [])

    def test_a_run_on_a_dropped_route(self):
        self.assertIn("no plan from 8 on", self.check(self.SELDOM, 100 + LATEST_OLD_RUN_S, SERVICES[0])[0])
        self.assertEqual(self.check(self.SELDOM, 100 + LATEST_OLD_RUN_S, None), [])

    def test_a_route_that_is_denied_though_the_plan_has_it(self):
        self.assertIn("no route", self.check(self.SELDOM, 90.0, None)[0])

    def test_a_gateway_that_was_away_has_time_to_learn(self):
        away = [(101.0, 104.0)]
        self.assertEqual(self.check(self.STEADY, 104 + LATEST_OLD_RUN_S - 1, SERVICES[0], away), [])
        self.assertEqual(len(self.check(self.STEADY, 104 + LATEST_OLD_RUN_S, SERVICES[0], away)), 1)


class OrdersTest(unittest.TestCase):
    def test_an_older_plan(self):
        self.assertEqual(findings_of_reads([(11.0, 4)], [(10.0, 5)]), [])
        self.assertEqual(len(findings_of_reads([(13.0, 4)], [(10.0, 5)])), 1)

    def test_work_in_an_evacuated_zone(self):
        runs = [(9.0, "t-1", "north-a"), (11.0, "t-2", "south-a")]
        self.assertEqual(findings_of_orders(runs, 10.0, "north-a", "t-9"), [])
        self.assertEqual(len(findings_of_orders(runs, 10.0, "south-a", "t-9")), 1)

    def test_work_at_a_target_that_left(self):
        self.assertEqual(len(findings_of_orders([(11.0, "t-2", "south-a")], 10.0, "north-a", "t-2")), 1)


class FatalTest(unittest.TestCase):
    """A request that ended its third target at 10 s."""
    ENDS = [(8.0, "/read/0/fatal", "a"), (9.0, "/read/0/fatal", "b"), (10.0, "/read/0/fatal", "c")]

    def check(self, late: list[float], spans: dict | None = None) -> list[str]:
        ends = self.ENDS + [(at, "/read/0/fatal", f"late-{at}") for at in late]
        sent = {request: ("gateway", at) for at, _, request in ends}
        return findings_of_fatal(ends, sent, spans or {})

    def test_three_late_sends_are_no_finding(self):
        self.assertEqual(self.check([15.1, 16, 17]), [])

    def test_sends_within_the_contact_time_do_not_count(self):
        self.assertEqual(self.check([11, 12, 13, 14, 14.9, 15.1, 16, 17]), [])

    def test_a_fourth_late_send(self):
        self.assertIn("4 times later", self.check([15.1, 16, 17, 18])[0])

    def test_a_gateway_in_trouble_is_not_held_to_it(self):
        self.assertEqual(self.check([15.1, 16, 17, 18], {"gateway": [(17.5, 17.6)]}), [])
        self.assertEqual(len(self.check([15.1, 16, 17, 18], {"gateway": [(12, 12.5)]})), 0)
        self.assertEqual(len(self.check([18, 19, 20, 21], {"gateway": [(12, 12.5)]})), 1)

    def test_a_harmless_request_that_is_refused_for_what_it_is(self):
        refused = served("a", status=503, headers={"retry-after": "60", "saltvane-reason": "request-quarantined"}, body=b"")
        others = [served(f"other-{number}") for number in range(LEAST_SERVED)]
        counts = collections.Counter({other.request: 1 for other in others})
        self.assertIn("does no harm", findings_of_outcomes([*others, refused], counts)[0])


class LeavesTest(unittest.TestCase):
    """A request sent at 20 s that a target ran after its leaving was acknowledged."""

    def check(self, seconds: float, spans: dict | None = None) -> list[str]:
        outcome = served("a", sent_at=20.0, gateway="gateway")
        return findings_of_leaves([("a", "t-1", seconds)], [outcome], spans or {})

    def test_a_target_that_ran_a_request_long_after_it_left(self):
        self.assertEqual(self.check(LATEST_AFTER_LEAVE_S - 0.1), [])
        self.assertIn("t-1 ran a", self.check(LATEST_AFTER_LEAVE_S + 0.1)[0])

    def test_a_gateway_in_trouble_is_not_held_to_it(self):
        self.assertEqual(self.check(9, {"gateway": [(14, 15.5)]}), [])
        self.assertEqual(len(self.check(9, {"gateway": [(14, 14.5)]})), 1)


class LimitsTest(unittest.TestCase):
    """A target that names a limit of 2 at 100 s, of which gateway g hears at 101 s: 17 requests are allowed."""

    def check(self, requests: int, seconds: float = 3.9, since: float = 110, limits=((100.0, "t", 2.0),), spans=None, held=None):
        arrivals = [(since + seconds * number / requests, "t", "address", f"r{number}") for number in range(requests)]
        gateways = {"first": "g"} | {f"r{number}": "g" for number in range(requests)}
        return findings_of_limits(list(limits), arrivals, [(101.0, "t", "first")], gateways, spans or {}, held or {})

    def test_as_many_as_allowed(self):
        self.assertEqual(self.check(17), [])

    def test_one_more(self):
        self.assertIn("18 requests", self.check(18)[0])

    def test_more_over_a_longer_time(self):
        self.assertEqual(self.check(30, seconds=8), [])

    def test_before_the_gateways_had_contact(self):
        self.assertEqual(self.check(18, since=103), [])

    def test_after_the_limit_was_lowered(self):
        self.assertIn("12 requests", self.check(12, limits=((100.0, "t", 20.0), (105.0, "t", 1.0)))[0])

    def test_once_it_is_over(self):
        self.assertEqual(self.check(50, limits=((100.0, "t", 2.0), (109.0, "t", None))), [])

    def test_of_a_gateway_in_trouble(self):
        self.assertEqual(self.check(18, spans={"g": [(108.0, 111.0)]}), [])

    def test_held_up_on_the_way(self):
        self.assertEqual(self.check(18, held={"address": [(108.0, 111.0)]}), [])


class RestsTest(unittest.TestCase):
    """A target that asks gateway g for 3 s of rest at 100 s."""

    def check(self, arrivals, gateway="g", spans=None) -> list[str]:
        gateways = {"first": "g"} | {f"r{number}": gateway for number in range(len(arrivals))}
        sent = [(at, "t", "address", f"r{number}") for number, at in enumerate(arrivals)]
        return findings_of_rests([(100.0, "t", "first", 3.0)], sent, gateways, spans or {}, {})

    def test_two_requests(self):
        self.assertEqual(self.check([101.6, 102.0]), [])

    def test_three_requests(self):
        self.assertIn("got 3 requests", self.check([101.6, 102.0, 102.9])[0])

    def test_before_it_was_heard_and_after_its_end(self):
        self.assertEqual(self.check([100.1, 101.4, 101.6, 102.0, 103.0, 104.0]), [])

    def test_of_another_gateway(self):
        self.assertEqual(self.check([101.6, 102.0, 102.9], gateway="other"), [])

    def test_of_a_gateway_in_trouble(self):
        self.assertEqual(self.check([101.6, 102.0, 102.9], spans={"g": [(99.0, 101.0)]}), [])


class LeavingWordsTest(unittest.TestCase):
    """A target that says to gateway g at 100 s that it leaves."""

    def check(self, sent_at: float, gateway: str = "g", spans=None) -> list[str]:
        outcomes = [served("first", gateway="g", sent_at=99.9), served("r", gateway=gateway, sent_at=sent_at)]
        return findings_of_leaving_words([(100.0, "t", "first")], [(sent_at, "t", "address", "r")], outcomes, spans or {})

    def test_in_time(self):
        self.assertEqual(self.check(100 + LATEST_AFTER_LEAVE_S), [])

    def test_late(self):
        self.assertIn("said that it leaves", self.check(100.1 + LATEST_AFTER_LEAVE_S)[0])

    def test_of_a_gateway_that_was_not_told(self):
        self.assertEqual(self.check(100.1 + LATEST_AFTER_LEAVE_S, gateway="other"), [])

    def test_of_a_gateway_that_started_anew(self):
        self.assertEqual(self.check(100.1 + LATEST_AFTER_LEAVE_S, spans={"g": [(101.0, 102.0)]}), [])


if __name__ == "__main__":
    unittest.main()
