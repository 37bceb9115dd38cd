"""The HTTP server for callers, and its graceful stop."""

import socket
from dataclasses import dataclass
from pathlib import Path
from typing import cast

import anyio
from anyio.abc import TaskStatus
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from egrethall.ingress._application import IngressApplication
from egrethall.ingress._connection_server import serve_connections

#: Connections that wait in the kernel to be accepted.
LISTEN_BACKLOG = 1024

#: Messages of a request body that the server holds for a call. One is at most three
#: reads long, so that this stays within the bound of section 5.7.
MAX_QUEUED_MESSAGES = 1

#: Bounds of the server on the head of a request, above those of the application so
#: that the application's refusal with its reason reaches most callers.
MAX_SERVER_HEAD_BYTES = 64 * 1024
MAX_CONCURRENT_STREAMS = 100

#: Requests on one connection; the default of the server would close busy ones.
MAX_REQUESTS_PER_CONNECTION = 1_000_000

#: Time to close connections after all calls have ended.
MIN_CLOSE_SECONDS = 1.0


@dataclass(frozen=True)
class CallerServerSettings:
    """Where and how callers are served."""

    #: IP number; a port of 0 lets the system choose.
    host: str
    port: int
    #: PEM files; HTTP without TLS if both are None.
    certificate_file: Path | None = None
    private_key_file: Path | None = None
    #: Time during which a stopping instance is not ready and goes on serving, so that
    #: the platform's balancer takes it out first.
    not_ready_seconds: float = 5.0
    #: Longest time that running calls may take after that.
    grace_seconds: float = 60.0


async def serve_callers(
    application: IngressApplication,
    settings: CallerServerSettings,
    stop_requested: anyio.Event,
    *,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serves callers until ``stop_requested`` is set and all calls have ended.

    Reports the port through ``task_status`` when it listens. After the
    stop was requested the instance is not ready and serves for
    ``not_ready_seconds``. Then it accepts no connections, closes each HTTP/1.1
    connection after its current answer, sends GOAWAY on HTTP/2 connections, and
    returns when the last call has ended or ``grace_seconds`` are over.
    """
    listener = _open_listener(settings, application.caller_idle_seconds)
    port: int = listener.getsockname()[1]
    config = _build_config(settings, application.caller_idle_seconds)

    async def wait_for_stop() -> None:
        await stop_requested.wait()
        application.announce_stop()
        await anyio.sleep(settings.not_ready_seconds)
        grace_end_seconds = anyio.current_time() + settings.grace_seconds
        # New connections are refused from here on, by the kernel.
        listener.shutdown(socket.SHUT_RD)
        with anyio.move_on_after(settings.grace_seconds):
            await application.refuse_new_calls()
            await application.wait_until_idle()
        # What is left is bytes in the buffers of connections.
        config.graceful_timeout = max(
            MIN_CLOSE_SECONDS, grace_end_seconds - anyio.current_time()
        )

    task_status.started(port)
    with listener:
        await serve_connections(
            cast(ASGIFramework, application), config, listener.dup(), wait_for_stop
        )


def _build_config(settings: CallerServerSettings, idle_seconds: float) -> Config:
    config = Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.backlog = LISTEN_BACKLOG
    config.keep_alive_timeout = idle_seconds
    config.ssl_handshake_timeout = idle_seconds
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.max_app_queue_size = MAX_QUEUED_MESSAGES
    config.h11_max_incomplete_size = MAX_SERVER_HEAD_BYTES
    config.h2_max_header_list_size = MAX_SERVER_HEAD_BYTES
    config.h2_max_concurrent_streams = MAX_CONCURRENT_STREAMS
    if settings.certificate_file is not None and settings.private_key_file is not None:
        config.certfile = str(settings.certificate_file)
        config.keyfile = str(settings.private_key_file)
    return config


def _open_listener(
    settings: CallerServerSettings, idle_seconds: float
) -> socket.socket:
    family = socket.AF_INET6 if ":" in settings.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Connections inherit this: the kernel drops one whose peer has taken no byte for
    # this long, also while the server only waits for its buffer to empty.
    listener.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(idle_seconds * 1000),
    )
    listener.bind((settings.host, settings.port))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener
