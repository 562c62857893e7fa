"""Runs the HTTP interface on uvicorn."""

import contextlib
from collections.abc import Iterator

import uvicorn
from litestar import Litestar

BACKLOG = 2048

#: Seconds for which open connections may finish at shutdown.
SHUTDOWN_TIMEOUT_S = 30


class HttpServer(uvicorn.Server):
    """A uvicorn server whose signals are handled by the program."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leaves the installed signal handlers unchanged."""
        yield


def build_server(application: Litestar, address: str) -> HttpServer:
    """Returns a server for ``address``; it does not listen yet."""
    host, _, port = address.rpartition(':')
    return HttpServer(
        uvicorn.Config(
            application,
            host=host.strip('[]'),
            port=int(port),
            http='httptools',
            loop='asyncio',
            ws='none',
            lifespan='off',
            access_log=False,
            log_config=None,
            backlog=BACKLOG,
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
        ),
    )
