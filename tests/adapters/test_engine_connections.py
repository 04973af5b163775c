from __future__ import annotations

import trio

from lycheepath.adapters.targets.engine import EngineClient
from lycheepath.ports.targets import EngineRequest

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
TOKEN = b"data: {}\n\n"
LIMIT_S = 5.0


async def test_engine_client_keeps_the_connection_of_a_whole_answer() -> None:
    connections = 0

    async def serve(stream: trio.SocketStream) -> None:
        nonlocal connections
        connections += 1
        async with stream:
            while await receive_request(stream):
                await stream.send_all(HEAD + b"%x\r\n%b\r\n" % (len(TOKEN), TOKEN))
                await trio.sleep(0.01)
                await stream.send_all(b"0\r\n\r\n")

    client = EngineClient()
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(LIMIT_S):
            for _ in range(3):
                request = EngineRequest("r", {}, 5, "", 0)
                async with client.stream(f"127.0.0.1:{port}", request) as events:
                    async for _ in events:
                        break
        await client.aclose()
        nursery.cancel_scope.cancel()

    assert connections == 1


async def receive_request(stream: trio.SocketStream) -> bool:
    """Read one request, whose body is a JSON object; False at the end."""
    received = b""
    while not received.endswith(b"}"):
        piece = await stream.receive_some()
        if not piece:
            return False
        received += piece
    return True
