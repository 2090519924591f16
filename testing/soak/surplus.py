"""Places at which faulty targets cut their responses."""
import itertools
import random


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
