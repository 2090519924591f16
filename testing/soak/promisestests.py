#!/usr/bin/env python3
"""Each check of the soak is able to fail."""
import collections
import unittest

from callers import Outcome
from promises import LEAST_SERVED, findings_of_orders, findings_of_outcomes, findings_of_reads
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


if __name__ == "__main__":
    unittest.main()
