"""Compares the responses that callers got with those that targets gave."""
import collections
import dataclasses

ID, DIGEST = "Saltvane-Request-Id", "Response-Digest"
MIN_STATUS, MAX_STATUS = 100, 599  # RFC 9110, section 15.
NOT_RUN_STATUSES = (408, 421, 429, 503)
REASONS = {200: "OK", 204: "No Content", 304: "Not Modified", 500: "Internal Server Error", 503: "Service Unavailable"}


@dataclasses.dataclass
class Response:
    """A response of a target to a request."""
    request: str
    status: int
    body: bytes
    digest: str
    headers: dict[str, str]
    chunk_bytes: int | None = None

    def head(self) -> bytes:
        lines = [f"HTTP/1.1 {self.status:03d} {REASONS.get(self.status, 'Invalid')}", *(f"{name}: {value}" for name, value in self.headers.items())]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def content(self) -> bytes:
        if self.chunk_bytes is None:
            return self.body
        parts = [self.body[at:at + self.chunk_bytes] for at in range(0, len(self.body), self.chunk_bytes)]
        return b"".join(f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts) + b"0\r\n\r\n"


@dataclasses.dataclass
class Outcome:
    """What a caller got. Status 0: no complete response."""
    request: str
    method: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""

    @property
    def is_once(self) -> bool:
        return self.method == "POST"


class Ledger:
    """What callers and targets saw, and what is wrong with it: callers get whole responses of targets to their own requests, with
    the status that the target gave, or failures of the gateway; what counts as not run has not run."""

    def __init__(self):
        self.outcomes: dict[str, Outcome] = {}
        self.runs = collections.Counter()  # By request id.
        self.given: dict[str, Response] = {}  # Responses to requests, by digest.
        self.copies: dict[str, Response] = {}  # Second responses that differ, by digest.
        self.unasked_bytes: list[bytes] = []  # Received by callers while no request was waiting.
        self.invalid: list[str] = []  # Requests of callers that received bytes which are no response, or an invalid status.
        # That targets accepted, by what they carried: health checks (True), requests (False).
        self.connections: collections.Counter[frozenset[bool]] = collections.Counter()
        self.faults = 0
        self.faults_at_requests = 0  # Second responses that targets sent while a request was waiting on the connection.
        self.health_checks = 0

    def wrong(self) -> dict[str, list[str]]:
        """Request ids or bytes by the kind of what was wrong."""
        kinds = collections.defaultdict(list)
        for request, outcome in self.outcomes.items():
            for kind in self._wrong_kinds(outcome):
                kinds[kind].append(request)
        kinds["run of an unknown request"] = [request for request in self.runs if request not in self.outcomes]
        kinds["bytes that are no response"] = self.invalid
        kinds["bytes without a request"] = [repr(received[:80]) for received in self.unasked_bytes]
        return {kind: what for kind, what in kinds.items() if what}

    def _wrong_kinds(self, outcome: Outcome):
        runs = self.runs[outcome.request]
        if outcome.is_once and runs > 1:
            yield "at most once, but ran twice"
        if outcome.status == 0:
            return
        digest = outcome.headers.get(DIGEST.lower())
        if outcome.status in NOT_RUN_STATUSES and runs > 0:
            yield f"{outcome.status}, but ran ({'at most once' if outcome.is_once else 'repeatable'})"
        if digest is None:
            if outcome.status < 400:
                yield f"{outcome.status} without a digest"
            elif outcome.status < 500 and outcome.status not in NOT_RUN_STATUSES:
                yield f"{outcome.status} of the gateway"
            return
        given = self.given.get(digest)
        if given is None:
            yield "second response" if digest in self.copies else "unknown digest"
        elif given.request != outcome.request:
            yield "response of another request"
        elif given.status != outcome.status:
            yield f"{'failure' if outcome.status >= 300 else 'success'} {outcome.status} for {given.status}"
        elif outcome.method != "HEAD" and given.body != outcome.body:
            yield "body not whole" if given.body.startswith(outcome.body) else "other body"

    def is_answered(self, outcome: Outcome) -> bool:
        return outcome.status != 0 and DIGEST.lower() in outcome.headers
