"""Copies of what the store holds, from one host to another."""

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
from .calls import ANSWER_S, CallFailedError, fetch

if TYPE_CHECKING:
    from ..adapters.http1.downstream import CallerConnection, ReceivedRequest
    from ..core.fleet.view import HostRow
    from .node import GatewayNode

# Between hosts; the revision that the asking one has follows, and whether it
# wants the configuration: then it gets everything, as a copy without it may have
# taken the host past the configuration's revision.
COPY_PATH = "/copy?"
NOTHING_NEWER = 404
# For changes of another host; six times the way to another region and back.
CHANGES_S = 1.0


async def fetch_copy(
    node: GatewayNode, row: HostRow, with_configuration: bool
) -> CatalogCopy | None:
    """
    Return what another host knows and this one doesn't; None if it is nothing.

    Raises CallFailedError.
    """
    address = Address(row.ip, node.settings.relay_port)
    after = 0 if with_configuration else node.catalog.revision
    wanted = f"after={after}&configuration={int(with_configuration)}"
    limit_s = ANSWER_S if with_configuration else CHANGES_S
    status, body = await fetch(node, address, COPY_PATH + wanted, limit_s)
    if status == NOTHING_NEWER:
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
    """Give another host what this one has read, if it is newer than its own."""
    query = request.target.decode("latin-1").removeprefix(COPY_PATH)
    fields = {name: values[0] for name, values in parse_qs(query).items()}
    after = fields.get("after", "")
    held = int(after) if after.isdigit() else 0
    catalog = node.catalog
    if catalog.routes is None or catalog.revision <= held:
        await caller.answer(NOTHING_NEWER, [], b"")
        return
    content = catalog.history.since(held, catalog.revision)
    copy = CatalogCopy(content, node.store.knowledge(node.now()).age_s)
    with_configuration = fields.get("configuration") == "1"
    await caller.answer(200, [], encode_catalog_copy(copy, with_configuration))
