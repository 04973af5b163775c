"""The configuration of a run: its services, and a route for each kind of request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from standins.site import make_configuration, make_route

from .answers import RequestKind

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVICES = ("plain", "streams")
KIND_NAMES = {
    RequestKind.SAFE: "safe",
    RequestKind.UNSAFE: "unsafe",
    RequestKind.STREAM: "streaming",
    RequestKind.RESUMED: "streaming",
}
# Connections to one target from all hosts; far more than a run's callers need.
MAX_CONNECTIONS_PER_TARGET = 200


def make_version(
    version: int, resumed_attempts: int, idle_s: float, tenants: Sequence[Any] | None
) -> dict[str, Any]:
    """
    Return a version, which has a route of its own for each one up to it.

    ``resumed_attempts`` are those of resumable streams, ``idle_s`` is the idle limit
    (the hosts' own if 0). With ``tenants``, no route is open to all.
    """
    routes = [
        make_route(
            SERVICES[kind.is_stream],
            KIND_NAMES[kind],
            f"/v0/{kind.value}/",
            timeout_ms=4000,
            resumable=kind is RequestKind.RESUMED,
            gap_aim_ms=400,
            max_attempts=resumed_attempts if kind is RequestKind.RESUMED else 2,
        )
        for kind in RequestKind
    ]
    routes += [
        make_route(SERVICES[0], "safe", f"/v{number}/", timeout_ms=4000)
        for number in range(1, version + 1)
    ]
    limits = {"idle_timeout_ms": int(idle_s * 1000)} if idle_s else {}
    value = make_configuration(version, routes, MAX_CONNECTIONS_PER_TARGET, limits)
    if tenants is not None:
        value["tenants"] = list(tenants)
        for route in routes:
            route["allow_anonymous"] = False
    return value
