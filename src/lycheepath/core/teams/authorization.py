"""
Decides whose request it is and whether it may run.

A request runs for the team that holds its key, or without a team if its route is open to
all and it carries no key. A key is only judged, in its favour or not, while the
configuration is proven recent: it may have been revoked, or added, since::

    owner = authorize(route, request_head.credentials, table.teams, is_proven)
    if isinstance(owner, Denial): ...

``authorize_relayed`` is for requests whose team another host has determined.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from ..serving.requests import CredentialsKind

if TYPE_CHECKING:
    from ..catalog.model import Route
    from ..catalog.teams import Team, TeamTable
    from ..serving.requests import Credentials


class Denial(Enum):
    """Why a request may not run."""

    NO_KEY = "no-key"
    MALFORMED_KEY = "malformed-key"
    UNKNOWN_KEY = "unknown-key"
    VIEW_UNPROVEN = "view-unproven"
    UNKNOWN_TEAM = "unknown-team"


# What callers are told, and what log lines say.
DETAILS = {
    Denial.NO_KEY: "the request needs a key",
    Denial.MALFORMED_KEY: "the key can't be read",
    Denial.UNKNOWN_KEY: "the key isn't known",
    Denial.VIEW_UNPROVEN: "the configuration isn't proven recent",
    Denial.UNKNOWN_TEAM: "the team isn't known",
}


def authorize(
    route: Route, credentials: Credentials, teams: TeamTable, is_proven: bool
) -> Team | Denial | None:
    """
    Return the team whose request it is, None if it needs none, or why it may not run.

    ``is_proven`` says that the configuration is known to be recent.
    """
    if credentials.kind is CredentialsKind.NONE and route.open_to_all:
        return None
    if not is_proven:
        return Denial.VIEW_UNPROVEN
    if credentials.kind is CredentialsKind.NONE:
        return Denial.NO_KEY
    if credentials.kind is CredentialsKind.MALFORMED:
        return Denial.MALFORMED_KEY
    return teams.find_by_key(credentials.digest) or Denial.UNKNOWN_KEY


def authorize_relayed(
    route: Route, name: str | None, teams: TeamTable
) -> Team | Denial | None:
    """
    Return the team that another host has determined, None if it needs none, or why not.

    A host that knows no teams states no name; only routes open to all are served for it.
    """
    if name is None:
        return None if route.open_to_all else Denial.NO_KEY
    return teams.find(name) or Denial.UNKNOWN_TEAM
