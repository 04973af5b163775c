"""Transfers copies of the catalog of the store from one host to another."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from ..adapters.catalog_copies import (
    CatalogCopy,
    CopyError,
    decode_catalog_copy,
    encode_catalog_copy,
)
from ..core.addresses import Address
from .calls import ANSWER_TIMEOUT_S, CallFailedError, fetch

if TYPE_CHECKING:
    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..core.fleet.view import HostRow
    from .node import GatewayNode

# Path of the call between hosts. Its query holds the requesting host's revision, whether
# it can decode the versions of targets, and whether it needs the configuration. If it
# does, it gets a complete snapshot, since an earlier copy without the configuration may
# have advanced the host past the revision of the configuration.
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
    query = f"after={after}&configuration={int(with_configuration)}&versions=1"
    timeout_s = ANSWER_TIMEOUT_S if with_configuration else CHANGES_TIMEOUT_S
    status, body = await fetch(node, address, COPY_PATH + query, timeout_s)
    if status == NOT_NEWER_STATUS:
        return None
    if status != 200:
        raise CallFailedError(f"status {status}")
    try:
        return decode_catalog_copy(body)
    except CopyError as error:
        raise CallFailedError(str(error)) from error


async def answer_copy(
    node: GatewayNode, caller: CallerConnection, request: ReceivedRequest
) -> None:
    """Send this host's catalog to another host if its revision is newer."""
    query = request.target.decode("latin-1").removeprefix(COPY_PATH)
    fields = {name: values[0] for name, values in parse_qs(query).items()}
    after = fields.get("after", "")
    known_revision = int(after) if after.isdigit() else 0
    catalog = node.catalog
    if catalog.routes is None or catalog.revision <= known_revision:
        await caller.answer_within(ANSWER_TIMEOUT_S, NOT_NEWER_STATUS, [], b"")
        return
    content = catalog.history.since(known_revision, catalog.revision)
    copy = CatalogCopy(content, node.store.catalog_status(node.now()).age_s)
    with_configuration = fields.get("configuration") == "1"
    with_versions = fields.get("versions") == "1"
    body = encode_catalog_copy(copy, with_configuration, with_versions)
    await caller.answer_within(ANSWER_TIMEOUT_S, 200, [], body)
