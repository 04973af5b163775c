"""
Shields the last send of an answer from cancellation of its handler.

Once the last byte of an answer is sent, the server reports the request as
finished, and the framework cancels the handler, which is still inside that
last send. If the send were cancelled there, the server would neither prepare
the connection for the next request nor close it: a caller that reuses the
connection would wait forever, and an idle connection would never time out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from .gate import AsgiApplication, Receive, Scope, Send

LAST_SEND_TIMEOUT_S = 5.0


def complete_answers(application: AsgiApplication) -> AsgiApplication:
    """Return an ASGI application whose last send of an answer is shielded."""

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await application(scope, receive, send)
            return
        await application(scope, receive, _shield_last_send(send))

    return serve


def _shield_last_send(send: Send) -> Send:
    async def send_message(message: dict[str, Any]) -> None:
        if message["type"] != "http.response.body" or message.get("more_body"):
            await send(message)
            return
        with trio.move_on_after(LAST_SEND_TIMEOUT_S) as finishing:
            finishing.shield = True
            await send(message)

    return send_message
