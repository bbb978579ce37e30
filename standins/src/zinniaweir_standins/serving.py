"""Server loop of the stand-ins."""

from __future__ import annotations

from grpclib.utils import graceful_exit

from zinniaweir.wire.service import ServiceHandler, make_server


async def serve(host: str, port: int, handlers: list[ServiceHandler]) -> None:
    """Serve gRPC services until SIGINT or SIGTERM.

    Args:
        host: Address to listen on.
        port: Port to listen on.
        handlers: Handlers of the services.
    """
    server = make_server(handlers)
    with graceful_exit([server]):
        await server.start(host, port)
        await server.wait_closed()
