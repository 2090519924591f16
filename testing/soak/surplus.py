"""Second responses and cut ones, as faulty targets send them."""
import asyncio
import dataclasses
import itertools
import random

from messages import encode

REQUEST_ID = "Saltvane-Request-Id"
DIGEST = "Response-Digest"
FAULT_RATE = 1 / 6  # Of the responses of a target while it is faulty.
DELAY_S = (0, 0.6)  # Of second responses.
KINDS = ("whole", "cut in the head", "cut in the body", "other", "cut and closed")


@dataclasses.dataclass
class Reply:
    """A response before it is encoded."""
    start: str
    headers: dict[str, str]
    body: bytes = b""

    def encoded(self) -> bytes:
        return encode(self.start, self.headers, self.body)

    def without_id(self) -> "Reply":
        return Reply(self.start, {name: value for name, value in self.headers.items() if name != REQUEST_ID}, self.body)


def cut_position(head: bytes, rng: random.Random) -> int:
    """A number of bytes of the head, at least one and never all: each kind of place is as likely as the others."""
    line_ends = [at for at in range(len(head) - 2) if head[at:at + 2] == b"\r\n"]
    values = [(head.index(b":", start) + 2, end) for start, end in itertools.pairwise(line_ends) if end > start + 2]
    place = rng.choice(("status line", "value", "line end", "complete line", "any"))
    if place == "status line":
        return rng.randint(1, line_ends[0])
    if place == "value":
        return rng.randint(*rng.choice(values))
    if place == "line end":
        return rng.choice(line_ends) + rng.randint(0, 1)
    if place == "complete line":
        return rng.choice(line_ends) + 2
    return rng.randint(1, len(head) - 1)


class FaultyConnection:
    """A target's side of a connection on which some responses are cut, or followed late by a second one."""

    def __init__(self, writer: asyncio.StreamWriter, rng: random.Random):
        self.writer = writer
        self.rng = rng
        self.has_surplus = False  # Of second responses, sent or to be sent: a gateway may not read what follows.
        self.timers: list[asyncio.TimerHandle] = []

    def draw(self) -> str | None:
        """What goes wrong with the next response; none: nothing."""
        return self.rng.choice(KINDS) if self.rng.random() < FAULT_RATE else None

    def send(self, reply: Reply, kind: str | None) -> bool:
        """Returns whether the connection goes on."""
        data = reply.encoded()
        if kind == "cut and closed":
            self.writer.write(data[:self.rng.randrange(len(data))])
            return False
        self.writer.write(data)
        if kind is not None:
            self.has_surplus = True
            delay_s = self.rng.uniform(*DELAY_S)
            self.timers.append(asyncio.get_running_loop().call_later(delay_s, self.writer.write, self._surplus(reply, kind)))
        return True

    def end(self):
        for timer in self.timers:
            timer.cancel()

    def _surplus(self, reply: Reply, kind: str) -> bytes:
        if kind == "other":
            start = self.rng.choice([start for start in ("HTTP/1.1 200 OK", "HTTP/1.1 500 Failed", "HTTP/1.1 503 Full")
                                     if start != reply.start])
            reply = Reply(start, {name: value for name, value in reply.headers.items() if name != DIGEST}, b"second response")
            if "503" in start:
                reply.headers["Saltvane-Not-Run"] = "1"
        if self.rng.random() < 0.5:
            reply = reply.without_id()
        data = reply.encoded()
        head_bytes = data.index(b"\r\n\r\n") + 4
        if kind == "cut in the head":
            return data[:cut_position(data[:head_bytes], self.rng)]
        if kind == "cut in the body":
            return data[:self.rng.randrange(head_bytes, max(len(data), head_bytes + 1))]
        return data
