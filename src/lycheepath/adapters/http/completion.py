"""
Lets the server finish with an answer before its handler is cancelled.

When an answer's last byte is out, the server tells the framework that the
request is over, and the framework cancels the handler, which is still inside
that last call. Cut off there, the server neither readies the connection for
the next request nor closes it: a caller that used it again would wait for
ever, and an idle connection would never time out. The last call is therefore
shielded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from .gate import AsgiApplication, Receive, Scope, Send

FINISH_LIMIT_S = 5.0


def complete_answers(application: AsgiApplication) -> AsgiApplication:
    """Return an ASGI application whose answers end undisturbed."""

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await application(scope, receive, send)
            return
        await application(scope, receive, _shield_last(send))

    return serve


def _shield_last(send: Send) -> Send:
    async def send_message(message: dict[str, Any]) -> None:
        if message["type"] != "http.response.body" or message.get("more_body"):
            await send(message)
            return
        with trio.move_on_after(FINISH_LIMIT_S) as finishing:
            finishing.shield = True
            await send(message)

    return send_message
