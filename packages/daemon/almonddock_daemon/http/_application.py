"""The HTTP interface for callers, operators and the balancer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import orjson
from litestar import Litestar, Request, Response, get, post
from litestar.exceptions import HTTPException
from litestar.openapi.config import OpenAPIConfig
from litestar.openapi.datastructures import ResponseSpec

from almonddock_core.model import (
    AlmonddockError,
    Answer,
    InvalidRequestError,
    UnknownWorkloadError,
)
from almonddock_daemon.http._openapi import JSON_TYPE, QueryOperation
from almonddock_daemon.http._responses import (
    STATUS_BAD_REQUEST,
    STATUS_INTERNAL,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_UNAVAILABLE,
    choose_status,
    format_answer,
    format_error,
)
from almonddock_daemon.telemetry import LOG

METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


@dataclass(frozen=True, slots=True)
class HttpPorts:
    """What the HTTP interface calls; supplied by the host."""

    #: Answers a query, given its body and its trace context.
    answer_query: Callable[[bytes, str], Awaitable[Answer]]
    #: Why the host is not ready for the balancer; empty when it is.
    explain_unready: Callable[[], str]
    #: The status of the host, for operators.
    describe_status: Callable[[], dict[str, Any]]
    #: The services of the configuration in force.
    describe_services: Callable[[], dict[str, Any]]
    #: The metrics in the text format of Prometheus.
    render_metrics: Callable[[], bytes]


def build_application(ports: HttpPorts, body_bytes: int) -> Litestar:
    """Returns the application; bodies above ``body_bytes`` are refused."""

    @post(
        '/v1/query',
        status_code=STATUS_OK,
        operation_class=QueryOperation,
        request_max_body_size=body_bytes,
        responses={
            STATUS_BAD_REQUEST: ResponseSpec(
                data_container=None,
                description='The request is malformed; nothing was run.',
            ),
        },
    )
    async def post_query(request: Request[Any, Any, Any]) -> Response[bytes]:
        """Answers a query over all shards of a workload."""
        body = await request.body()
        traceparent = request.headers.get('traceparent', '')
        answer = await ports.answer_query(body, traceparent)
        return _respond(format_answer(answer), choose_status(answer))

    @get('/v1/ready')
    async def get_ready() -> Response[bytes]:
        """Tells the balancer whether to send queries here."""
        reason = ports.explain_unready()
        status = STATUS_UNAVAILABLE if reason else STATUS_OK
        shown = {'ready': not reason, 'reason': reason}
        return _respond(orjson.dumps(shown), status)

    @get('/v1/status')
    async def get_status() -> Response[bytes]:
        """Returns the status of the host, for operators."""
        return _respond(orjson.dumps(ports.describe_status()), STATUS_OK)

    @get('/v1/services')
    async def get_services() -> Response[bytes]:
        """Lists the services of the configuration in force."""
        return _respond(orjson.dumps(ports.describe_services()), STATUS_OK)

    @get('/metrics')
    async def get_metrics() -> Response[bytes]:
        """Returns all metrics."""
        return Response(ports.render_metrics(), media_type=METRICS_TYPE)

    return Litestar(
        [post_query, get_ready, get_status, get_services, get_metrics],
        openapi_config=OpenAPIConfig(title='almonddock', version='1'),
        exception_handlers={
            AlmonddockError: _handle_error,
            HTTPException: _handle_http_error,
            Exception: _handle_fault,
        },
        logging_config=None,
    )


def _respond(body: bytes, status: int) -> Response[bytes]:
    return Response(body, status_code=status, media_type=JSON_TYPE)


def _handle_error(
    request: Request[Any, Any, Any],
    error: AlmonddockError,
) -> Response[bytes]:
    if isinstance(error, UnknownWorkloadError):
        return _respond(format_error(error), STATUS_NOT_FOUND)
    if isinstance(error, InvalidRequestError):
        return _respond(format_error(error), STATUS_BAD_REQUEST)
    return _respond(format_error(error, ran=True), STATUS_UNAVAILABLE)


def _handle_http_error(
    request: Request[Any, Any, Any],
    error: HTTPException,
) -> Response[bytes]:
    fault = InvalidRequestError(str(error.detail))
    return _respond(format_error(fault), error.status_code)


def _handle_fault(
    request: Request[Any, Any, Any],
    error: Exception,
) -> Response[bytes]:
    LOG.error('internal', path=request.url.path, message=repr(error))
    fault = AlmonddockError('the host failed; its log names the request')
    return _respond(format_error(fault, ran=True), STATUS_INTERNAL)
