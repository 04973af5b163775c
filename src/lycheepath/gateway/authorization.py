"""
Authorizes requests where the configuration knows teams, and binds their routes.

The host that receives a request from its caller decides by the key, and states the
team's name when it relays the request. The host that receives it relayed looks the name
up in its own configuration. Neither the key nor a name that the caller sent is forwarded.
Without teams in the configuration, requests stay as they are.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..core.reasons import Absent
from ..core.teams.authorization import DETAILS, Denial, authorize, authorize_relayed
from ..platform.headers import strip_team_headers

if TYPE_CHECKING:
    from ..core.catalog.model import Route
    from ..core.catalog.routes import RouteTable
    from ..core.catalog.teams import Team
    from ..core.serving.requests import RequestHead

UNAUTHORIZED_STATUS = 401
NOT_RUN_STATUS = 503
# Retry-after time while the configuration isn't proven recent. A host asks for a proof
# as often.
UNPROVEN_RETRY_S = 0.5
# Retry-after time if a team and a route have no home region in common, which only
# another configuration changes.
NO_HOME_RETRY_S = 5.0


@dataclass(frozen=True, slots=True)
class AuthorizedRequest:
    """
    A request that may run.

    Its head has no key; the route is bound to ``team``, which is None if the request has
    none or the configuration knows no teams.
    """

    head: RequestHead
    route: Route
    team: Team | None = None


@dataclass(frozen=True, slots=True)
class DeniedRequest:
    """
    A request that has not run, its status for a caller, and why.

    ``cause`` is one of a few, for metrics. ``team`` is the name of its team if it is
    known.
    """

    status: int
    cause: str
    detail: str
    retry_after_s: float | None = None
    team: str = ""


def authorize_request(
    head: RequestHead, route: Route, table: RouteTable, is_proven: bool
) -> AuthorizedRequest | DeniedRequest:
    """Decide on a caller's request; ``is_proven`` says that the table is recent."""
    if table.teams is None:
        return AuthorizedRequest(head, route)
    return _bind(
        head, route, table, authorize(route, head.credentials, table.teams, is_proven)
    )


def authorize_relayed_request(
    head: RequestHead, route: Route, table: RouteTable
) -> AuthorizedRequest | DeniedRequest:
    """Decide on a request that another host relays."""
    if table.teams is None:
        return AuthorizedRequest(head, route)
    return _bind(head, route, table, authorize_relayed(route, head.team, table.teams))


def _bind(
    head: RequestHead, route: Route, table: RouteTable, owner: Team | Denial | None
) -> AuthorizedRequest | DeniedRequest:
    if isinstance(owner, Denial):
        return _deny(owner)
    head = strip_team_headers(head)
    if owner is None:
        return AuthorizedRequest(head, route)
    bound = table.bind(route, owner)
    if isinstance(bound, Absent):
        return DeniedRequest(
            NOT_RUN_STATUS,
            bound.reason.value,
            bound.detail,
            NO_HOME_RETRY_S,
            owner.name,
        )
    return AuthorizedRequest(head, bound, owner)


def _deny(denial: Denial) -> DeniedRequest:
    if denial is Denial.VIEW_UNPROVEN:
        return DeniedRequest(
            NOT_RUN_STATUS, denial.value, DETAILS[denial], UNPROVEN_RETRY_S
        )
    return DeniedRequest(UNAUTHORIZED_STATUS, denial.value, DETAILS[denial])
