"""Describes the body of a query on the OpenAPI page."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from litestar.openapi.spec import (
    OpenAPIMediaType,
    OpenAPIType,
    Operation,
    RequestBody,
    Schema,
)

from almonddock_daemon.http._requests import describe_request

JSON_TYPE = 'application/json'

_EXAMPLE = MappingProxyType(
    {'workload': 'parts-desk', 'query': {'text': 'reed'}},
)


@dataclass
class QueryOperation(Operation):
    """Adds the body, which the handler parses itself, to the operation."""

    def __post_init__(self) -> None:
        """Builds the description of the body from its JSON Schema."""
        document = describe_request()
        schema = Schema(
            type=OpenAPIType.OBJECT,
            required=document['required'],
            properties={
                name: _build_schema(node)
                for name, node in document['properties'].items()
            },
            examples=[dict(_EXAMPLE)],
        )
        self.request_body = RequestBody(
            content={JSON_TYPE: OpenAPIMediaType(schema=schema)},
            required=True,
        )


def _build_schema(node: dict[str, Any]) -> Schema:
    options = node.get('anyOf')
    if options:
        return Schema(one_of=[_build_schema(one) for one in options])
    kind = node.get('type')
    return Schema(
        type=OpenAPIType(kind) if kind else None,
        enum=node.get('enum'),
        default=node.get('default'),
        minimum=node.get('minimum'),
        maximum=node.get('maximum'),
        exclusive_minimum=node.get('exclusiveMinimum'),
        min_length=node.get('minLength'),
        max_length=node.get('maxLength'),
    )
