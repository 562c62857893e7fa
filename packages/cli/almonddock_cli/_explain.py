"""The command ``almonddock explain``: what happened to one request."""

import pathlib
from datetime import datetime
from typing import Annotated

import typer

from almonddock_cli._causes import (
    describe_cause,
    select_request_lines,
    select_state_lines,
)
from almonddock_cli._exits import ExitCode
from almonddock_cli._log_lines import LogLine, read_lines
from almonddock_cli._output import CONSOLE, fail

#: Fields that every line about a request has, and ``dropped``, which counts
#: other lines that the host did not write.
OMITTED_FIELDS = frozenset(
    ('time', 'event', 'host', 'data_centre', 'request_id', 'dropped'),
)

RequestIdArgument = Annotated[
    str,
    typer.Argument(help='The id of the request, as the caller sent it.'),
]
LogFiles = Annotated[
    list[pathlib.Path],
    typer.Argument(help='Log files of one or more gateway hosts.'),
]


def explain_request(request_id: RequestIdArgument, files: LogFiles) -> None:
    """Show what happened to a request, and why, from log files alone.

    Exit code 1 means that no line is about the request.
    """
    lines = read_lines(files)
    request_lines = select_request_lines(lines, request_id)
    if not request_lines:
        fail(f'no line is about {request_id}', ExitCode.UNAVAILABLE)
    end = request_lines[-1].time
    for line in select_state_lines(lines, request_lines):
        _print(f'known   {_describe(line, end)}')
    for line in request_lines:
        _print(f'request {_describe(line, end)}')
    _print(f'cause   {describe_cause(request_lines)}')


def _describe(line: LogLine, end: datetime) -> str:
    age_ms = (end - line.time).total_seconds() * 1000
    fields = ' '.join(
        f'{name}={content}'
        for name, content in line.fields.items()
        if name not in OMITTED_FIELDS
    )
    return f'{age_ms:8.0f} ms before the end  {line.host} {line.event} {fields}'


def _print(text: str) -> None:
    CONSOLE.print(text, markup=False, highlight=False, soft_wrap=True)
