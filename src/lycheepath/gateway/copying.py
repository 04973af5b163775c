"""Transfers copies of the catalog of the store from one host to another."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from ..adapters.catalog_copies import (
    CatalogCopy,
    CopyError,
    decode_catalog_copy,
    encode_catalog_copy,
)
from ..core.addresses import Address
from ..core.catalog.changes import Position, Snapshot
from ..core.catalog.model import Configuration
from .calls import ANSWER_TIMEOUT_S, CallFailedError, fetch

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..core.catalog.catalog import Catalog
    from ..core.catalog.changes import Change, Delta
    from ..core.fleet.view import HostRow
    from .node import GatewayNode

# Path of the call between hosts. Its query holds the requesting host's revision and era,
# whether it can decode the versions of targets and teams, and whether it needs the
# configuration.
# If it does, it gets a complete snapshot, since an earlier copy without the configuration
# may have advanced the host past the revision of the configuration.
COPY_PATH = "/copy?"
NOT_NEWER_STATUS = 404
# Timeout for fetching changes from another host; six times the round-trip time to
# another region.
CHANGES_TIMEOUT_S = 1.0


async def fetch_copy(
    node: GatewayNode, row: HostRow, with_configuration: bool
) -> CatalogCopy | None:
    """
    Fetch the catalog entries that this host lacks from another host.

    Returns None if the other host's revision is not newer. Raises CallFailedError.
    """
    address = Address(row.ip, node.settings.relay_port)
    after = 0 if with_configuration else node.catalog.revision
    query = (
        f"after={after}&configuration={int(with_configuration)}&versions=1"
        f"&era={node.catalog.era}&teams=1"
    )
    timeout_s = ANSWER_TIMEOUT_S if with_configuration else CHANGES_TIMEOUT_S
    answer = await fetch(node, address, COPY_PATH + query, timeout_s)
    if answer.status == NOT_NEWER_STATUS:
        return None
    if answer.status != 200:
        raise CallFailedError(f"status {answer.status}")
    try:
        return decode_catalog_copy(answer.body)
    except CopyError as error:
        raise CallFailedError(str(error)) from error


def omit_configuration_without_teams(content: Snapshot | Delta) -> Snapshot | Delta:
    """
    Return what a host of an earlier version sent without its configuration.

    Such a host leaves out the teams, so any request would run without a key.
    """
    if isinstance(content, Snapshot):
        return replace(content, entries=tuple(filter(_may_use, content.entries)))
    return replace(content, changes=tuple(filter(_may_use, content.changes)))


def _may_use(change: Change) -> bool:
    return not isinstance(change, Configuration) or change.teams is not None


async def answer_copy(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Send this host's catalog to another host if its position is later."""
    query = request.target.decode("latin-1").removeprefix(COPY_PATH)
    fields = {name: values[0] for name, values in parse_qs(query).items()}
    catalog = node.catalog
    known = _read_position(fields, catalog)
    if catalog.routes is None or catalog.position <= known:
        await caller.answer_within(ANSWER_TIMEOUT_S, NOT_NEWER_STATUS, [], b"")
        return
    content = catalog.history.since(known, catalog.position)
    copy = CatalogCopy(
        content,
        node.store.catalog_status(node.now()).age_s,
        node.view_proofs.find_known_version(),
    )
    with_configuration = fields.get("configuration") == "1"
    with_versions = fields.get("versions") == "1"
    with_era = "era" in fields
    with_teams = fields.get("teams") == "1"
    body = encode_catalog_copy(
        copy, with_configuration, with_versions, with_era, with_teams
    )
    await caller.answer_within(ANSWER_TIMEOUT_S, 200, [], body)


def _read_position(fields: Mapping[str, str], catalog: Catalog) -> Position:
    """Return the position that another host has; (0, 0) if it needs everything."""
    after, era = fields.get("after", ""), fields.get("era", "")
    if not after.isdigit() or int(after) == 0:
        return Position(0, 0)
    if era.isdigit():
        return Position(int(era), int(after))
    # Hosts of earlier versions don't state their era. It is this host's unless the
    # store has been restored.
    return Position(0 if catalog.restores else catalog.era, int(after))
