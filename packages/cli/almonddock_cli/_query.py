"""The command ``almonddock query``."""

from types import MappingProxyType
from typing import Annotated, Any

import orjson
import typer

from almonddock_cli._exits import ExitCode
from almonddock_cli._hosts import HostReply, call_host
from almonddock_cli._output import (
    CONSOLE,
    HostUrls,
    JsonFlag,
    fail,
    print_json,
)

EXIT_BY_OUTCOME = MappingProxyType(
    {
        'answered': ExitCode.OK,
        'partial': ExitCode.PARTIAL,
        'not_run': ExitCode.UNAVAILABLE,
        'outcome_unknown': ExitCode.UNKNOWN,
    }
)


def send_query(  # noqa: WPS211  one argument an option
    workload: Annotated[
        str, typer.Argument(help='Name of the workload to query.')
    ],
    query: Annotated[
        str,
        typer.Argument(help='The query as JSON, sent to every target.'),
    ],
    host: HostUrls,
    deadline_ms: Annotated[
        int | None,
        typer.Option(help='Time from arrival to answer, in milliseconds.'),
    ] = None,
    min_coverage: Annotated[
        float,
        typer.Option(
            help='Share of shards that a useful answer covers at least.'
        ),
    ] = 0,
    key: Annotated[
        str | None,
        typer.Option(help='Idempotency key: run the request at most once.'),
    ] = None,
    non_idempotent: Annotated[
        bool,
        typer.Option(
            '--non-idempotent',
            help='Running it twice is harmful: never hedge or retry.',
        ),
    ] = False,
    as_json: JsonFlag = False,
) -> None:
    """Send one query to an entry host and show rows and coverage.

    Only the first --host is called, so that a request never runs twice.
    Exit code 0 means a complete answer, 4 partial, 1 not run, 5 unknown.
    """
    document = {
        'workload': workload,
        'query': _parse_query(query),
        'min_coverage': min_coverage,
        'idempotent': not non_idempotent,
    }
    if deadline_ms is not None:
        document['deadline_ms'] = deadline_ms
    if key is not None:
        document['idempotency_key'] = key
    reply = call_host('POST', host[0], '/v1/query', document)
    if not reply.status:
        code = ExitCode.UNKNOWN if reply.sent else ExitCode.UNAVAILABLE
        fail(f'{reply.url}: {reply.error}', code)
    if as_json:
        print_json(reply.body)
    elif 'error' not in reply.body:
        _print_answer(reply.body)
    raise typer.Exit(_choose_exit(reply))


def _parse_query(text: str) -> Any:
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        fail(f'the query is not JSON: {error}', ExitCode.INVALID)


def _choose_exit(reply: HostReply) -> ExitCode:
    error = reply.body.get('error')
    if error is not None:
        fail(
            f'{error["code"]} at {error["pointer"]}: {error["message"]}',
            ExitCode.INVALID,
        )
    return EXIT_BY_OUTCOME[reply.body['outcome']]


def _print_answer(answer: dict[str, Any]) -> None:
    coverage = answer['coverage']
    CONSOLE.print(
        f'{answer["outcome"]}: {coverage["answered"]} of '
        f'{coverage["total"]} shards at version {answer["index_version"]} '
        f'in {answer["timings"]["elapsed_ms"]:.1f} ms',
    )
    for missing in coverage['missing']:
        CONSOLE.print(f'  missing {missing["shard"]}: {missing["reason"]}')
    CONSOLE.print_json(data=answer['rows'])
