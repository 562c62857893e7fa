"""The command ``almonddock explain``: the story of one request."""

import pathlib
from datetime import datetime
from typing import Annotated

import typer

from almonddock_cli._causes import name_cause, select_beliefs, select_story
from almonddock_cli._exits import Exit
from almonddock_cli._log_lines import LogLine, read_lines
from almonddock_cli._output import CONSOLE, fail

#: Fields that every line has, or that the story tells once.
LEFT_OUT = frozenset(
    ('time', 'event', 'host', 'data_centre', 'request_id', 'dropped'),
)

RequestIdArgument = Annotated[
    str,
    typer.Argument(help='The id of the request, as the caller sent it.'),
]
Files = Annotated[
    list[pathlib.Path],
    typer.Argument(help='Log files of gateways, of any number of hosts.'),
]


def explain_request(request_id: RequestIdArgument, files: Files) -> None:
    """Tell what became of a request, and why, from log files alone.

    Ends with 1 when no line is about the request.
    """
    lines = read_lines(files)
    story = select_story(lines, request_id)
    if not story:
        fail(f'no line is about {request_id}', Exit.UNAVAILABLE)
    end = story[-1].time
    for line in select_beliefs(lines, story):
        _print(f'known   {_describe(line, end)}')
    for line in story:
        _print(f'request {_describe(line, end)}')
    _print(f'cause   {name_cause(story)}')


def _describe(line: LogLine, end: datetime) -> str:
    age_ms = (end - line.time).total_seconds() * 1000
    fields = ' '.join(
        f'{name}={content}'
        for name, content in line.fields.items()
        if name not in LEFT_OUT
    )
    return f'{age_ms:8.0f} ms before the end  {line.host} {line.event} {fields}'


def _print(text: str) -> None:
    CONSOLE.print(text, markup=False, highlight=False, soft_wrap=True)
