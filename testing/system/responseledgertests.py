#!/usr/bin/env python3
"""Shows that each check of the response ledger can fail."""
import unittest

from responseledger import DIGEST, Ledger, Outcome, Response


class LedgerTest(unittest.TestCase):
    """Targets ran "once" with a success and "read" with a failure, and refused "refused"; one sent a second response to "once"."""

    def setUp(self):
        self.ledger = Ledger()
        for request, status, body in (("once", 200, b"body"), ("read", 500, b"failed"), ("refused", 503, b"refused")):
            self.ledger.given[f"d-{request}"] = Response(request, status, body, f"d-{request}", {})
            self.ledger.runs[request] += status != 503
        self.ledger.copies["d-second"] = Response("once", 500, b"second", "d-second", {})
        self.get("once", "POST", 200, "d-once", b"body")
        self.get("read", "GET", 500, "d-read", b"failed")
        self.get("refused", "POST", 503, None, b"")

    def get(self, request: str, method: str, status: int, digest: str | None, body: bytes):
        self.ledger.outcomes[request] = Outcome(request, method, status, {DIGEST.lower(): digest} if digest else {}, body)

    def check(self, *kinds: str):
        self.assertEqual(sorted(self.ledger.wrong()), sorted(kinds))

    def test_what_targets_gave_is_right(self):
        self.check()

    def test_failures_of_the_gateway_are_right(self):
        self.get("once", "POST", 502, None, b"")
        self.get("read", "GET", 0, None, b"")
        self.check()

    def test_a_success_for_a_failure(self):
        self.get("read", "GET", 200, "d-read", b"failed")
        self.check("success 200 for 500")

    def test_a_failure_for_a_success(self):
        self.get("once", "POST", 500, "d-once", b"body")
        self.check("failure 500 for 200")

    def test_a_response_of_another_request(self):
        self.get("once", "POST", 500, "d-read", b"failed")
        self.check("response of another request")

    def test_a_second_response(self):
        self.get("once", "POST", 500, "d-second", b"second")
        self.check("second response")

    def test_a_digest_that_no_target_gave(self):
        self.get("once", "POST", 200, "d-other", b"body")
        self.check("unknown digest")

    def test_a_success_without_a_digest(self):
        self.get("once", "POST", 200, None, b"body")
        self.check("200 without a digest")

    def test_bodies(self):
        self.get("once", "POST", 200, "d-once", b"bod")
        self.check("body not whole")
        self.get("once", "POST", 200, "d-once", b"bodx")
        self.check("other body")
        self.get("once", "HEAD", 200, "d-once", b"")
        self.check()

    def test_a_second_run(self):
        self.ledger.runs["once"] += 1
        self.ledger.runs["read"] += 1
        self.check("at most once, but ran twice")

    def test_a_run_that_is_told_as_not_run(self):
        self.get("once", "POST", 503, None, b"")
        self.get("read", "GET", 429, None, b"")
        self.check("503, but ran (at most once)", "429, but ran (repeatable)")

    def test_a_request_that_the_gateway_denies(self):
        self.get("once", "POST", 404, None, b"")
        self.check("404 of the gateway")

    def test_a_run_that_no_caller_asked_for(self):
        self.ledger.runs["other"] += 1
        self.check("run of an unknown request")

    def test_bytes_out_of_place(self):
        self.ledger.unasked_bytes.append(b"HTTP/1.1 200 OK")
        self.ledger.invalid.append("read")
        self.check("bytes without a request", "bytes that are no response")


if __name__ == "__main__":
    unittest.main()
