"""The plans of the soak: routes that move between services, go and come back as versions grow, so that what runs a request
tells which plan sent it there."""
import random

SERVICES = ("quotes", "files")
ROUTES = 8
# A route moves once in so many versions, each at another one: whoever works by an older plan is wrong on some route, and
# no route is back where it was before a plan is due everywhere.
VERSIONS_PER_MOVE = 8
LARGE_PLAN_EACH = 3  # Every third plan is as large as one of a deployment with many routes: it goes in parts.
ROUTES_OF_LARGE_PLAN = 1500

STEADY_PATHS = tuple(f"/{kind}/{number}/" for kind in ("read", "once") for number in range(ROUTES))
SELDOM_PATHS = tuple(f"/seldom/{number}/" for number in range(ROUTES))


def service_of(path: str, version: int) -> str | None:
    """Where this version sends requests of a path; None: it has no such route."""
    _, kind, number, _ = path.split("/")
    turn = (version + int(number)) // VERSIONS_PER_MOVE
    if kind == "seldom":
        return SERVICES[0] if turn % 2 == 0 else None
    return SERVICES[turn % len(SERVICES)]


def routes_of(version: int) -> list[tuple[str, str]]:
    """Path prefix and service of each route."""
    steady = [(path, service_of(path, version)) for path in (*STEADY_PATHS, *SELDOM_PATHS)]
    return [route for route in steady if route[1] is not None] + [(path, SERVICES[0]) for path in _more_paths(version)]


def _more_paths(version: int) -> list[str]:
    if version % LARGE_PLAN_EACH != 0:
        return []
    names = random.Random(version)
    return [f"/{names.getrandbits(40):x}/" for _ in range(ROUTES_OF_LARGE_PLAN)]
