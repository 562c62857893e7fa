"""Parses and validates the body of a caller's query."""

from collections.abc import Callable
from datetime import timedelta
from typing import Annotated, Any, Literal

import orjson
from pydantic import (
    ConfigDict,
    Field,
    StringConstraints,
    TypeAdapter,
    ValidationError,
)
from pydantic.dataclasses import dataclass

from almonddock_core.deployment import Deployment, ServiceFile
from almonddock_core.model import (
    InvalidRequestError,
    Query,
    RequestId,
    UnknownWorkloadError,
    Urgency,
    WorkloadId,
    build_pointer,
)

MAX_KEY_LENGTH = 200
MAX_WORTH = 1e12

REQUEST_CONFIG = ConfigDict(extra='forbid', strict=True, allow_inf_nan=False)


@dataclass(frozen=True, slots=True, config=REQUEST_CONFIG)
class QueryRequest:
    """The JSON body of ``POST /v1/query``."""

    workload: str
    #: Passed to every target unchanged.
    query: Any
    #: The time from arrival to answer; absent for the workload's default.
    deadline_ms: Annotated[int, Field(ge=1)] | None = None
    #: Absent for the default of the workload.
    urgency: Literal['urgent', 'normal', 'archive'] | None = None
    #: The value of the answer in relation to other queries; absent for the
    #: default of the workload.
    worth: Annotated[float, Field(gt=0, le=MAX_WORTH)] | None = None
    #: The least share of shards that a useful answer covers.
    min_coverage: Annotated[float, Field(ge=0, le=1)] = 0
    #: Whether the request may safely run more than once.
    idempotent: bool = True
    #: Makes the request run at most once, however often it is sent.
    idempotency_key: (
        Annotated[
            str,
            StringConstraints(min_length=1, max_length=MAX_KEY_LENGTH),
        ]
        | None
    ) = None


_ADAPTER = TypeAdapter(QueryRequest)


def parse_request(body: bytes) -> QueryRequest:
    """Returns the checked request.

    Raises:
        InvalidRequestError: the body is invalid; the pointer of the error
            names the first fault and its message lists all.
    """
    try:
        return _ADAPTER.validate_json(body)
    except ValidationError as error:
        faults = error.errors(include_url=False)
        listed = '; '.join(
            f'{build_pointer(fault["loc"])}: {fault["msg"]}' for fault in faults
        )
        raise InvalidRequestError(
            listed,
            build_pointer(faults[0]['loc']),
        ) from error


def build_query(
    request: QueryRequest,
    deployment: Deployment,
    request_id: RequestId,
    now: timedelta,
    traceparent: str = '',
) -> Query:
    """Returns the query, with the defaults of its workload filled in.

    Raises:
        UnknownWorkloadError: no service belongs to the workload.
        InvalidRequestError: the deadline is longer than the workload allows.
    """
    service = _find_service(deployment, request.workload)
    deadline_ms = request.deadline_ms or service.deadline_ms
    if deadline_ms > service.max_deadline_ms:
        raise InvalidRequestError(
            f'expected at most {service.max_deadline_ms} ms',
            '/deadline_ms',
        )
    return Query(
        request_id=request_id,
        workload=WorkloadId(request.workload),
        body=orjson.dumps(request.query),
        deadline=now + timedelta(milliseconds=deadline_ms),
        urgency=Urgency[(request.urgency or service.urgency).upper()],
        worth=request.worth or service.worth,
        min_coverage=request.min_coverage,
        idempotent=request.idempotent,
        idempotency_key=request.idempotency_key,
        traceparent=traceparent,
    )


def describe_request() -> dict[str, Any]:
    """Returns the JSON Schema of the body, for the OpenAPI page."""
    return _ADAPTER.json_schema()


#: Builds a query from a request body.
BuildQuery = Callable[[bytes], Query]


def _find_service(deployment: Deployment, workload: str) -> ServiceFile:
    names = deployment.workloads.get(WorkloadId(workload))
    if not names:
        raise UnknownWorkloadError(
            f'no service belongs to the workload {workload!r}',
            '/workload',
        )
    return deployment.services[names[0]]
