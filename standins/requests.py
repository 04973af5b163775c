"""Requests as stand-ins receive them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

if TYPE_CHECKING:
    import trio


@dataclass(frozen=True)
class Seen:
    """
    A request as received by a target.

    ``fields`` are all of its header lines; ``headers`` has the last of each name.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    fields: tuple[tuple[str, str], ...] = ()


async def read_request(
    connection: h11.Connection, stream: trio.SocketStream
) -> Seen | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65_536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            fields = tuple((n.decode(), v.decode()) for n, v in head.headers)
            method, target = head.method.decode(), head.target.decode()
            return Seen(method, target, dict(fields), body, fields)
        else:
            return None
