"""The plans of the soak test. With rising versions, routes move between services, disappear and come back, so that the
service that ran a request shows which plans can have routed it."""
import random

SERVICES = ("quotes", "files")
SLOW_START_S = 3.0  # Of each service, in runs with slow starts.
SLOW_START_PER_S = 3.0
ROUTES = 8
# Each route moves once in this many versions, and each at a different version: a gateway with an older plan is wrong on
# some route, and no route returns to its old service before the plan must be in force everywhere.
VERSIONS_PER_MOVE = 8
LARGE_PLAN_INTERVAL = 3  # Every third plan has many routes and is sent in several parts.
ROUTES_OF_LARGE_PLAN = 1500

STEADY_PATHS = tuple(f"/{kind}/{number}/" for kind in ("read", "once") for number in range(ROUTES))
SELDOM_PATHS = tuple(f"/seldom/{number}/" for number in range(ROUTES))


def service_of(path: str, version: int) -> str | None:
    """The service to which this version routes a path; None: the plan has no such route."""
    _, kind, number, _ = path.split("/")
    moves = (version + int(number)) // VERSIONS_PER_MOVE
    if kind == "seldom":
        return SERVICES[0] if moves % 2 == 0 else None
    return SERVICES[moves % len(SERVICES)]


def less_used_service(version: int) -> str:
    """The service to which this version routes fewer of the paths that every plan has; every eight versions, none."""
    routed = [service_of(path, version) for path in STEADY_PATHS]
    return min(SERVICES, key=routed.count)


def routes_of(version: int) -> list[tuple[str, str]]:
    """Path prefix and service of each route of this version."""
    routes = [(path, service_of(path, version)) for path in (*STEADY_PATHS, *SELDOM_PATHS)]
    return [route for route in routes if route[1] is not None] + [(path, SERVICES[0]) for path in _large_plan_paths(version)]


def _large_plan_paths(version: int) -> list[str]:
    if version % LARGE_PLAN_INTERVAL != 0:
        return []
    names = random.Random(version)
    return [f"/{names.getrandbits(40):x}/" for _ in range(ROUTES_OF_LARGE_PLAN)]
