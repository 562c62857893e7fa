"""The command ``almonddock status``."""

from collections.abc import Sequence

import typer
from rich.table import Table

from almonddock_cli._exits import ExitCode
from almonddock_cli._hosts import HostReply, call_host
from almonddock_cli._output import CONSOLE, HostUrls, JsonFlag, print_json


def show_status(host: HostUrls, as_json: JsonFlag = False) -> None:
    """Show the state of every named host: revision, hosts, targets.

    Exit code 1 means that at least one host did not answer.
    """
    replies = [call_host('GET', url, '/v1/status') for url in host]
    if as_json:
        print_json([_export(reply) for reply in replies])
    else:
        CONSOLE.print(_build_table(replies))
    if not all(reply.status for reply in replies):
        raise typer.Exit(ExitCode.UNAVAILABLE)


def _export(reply: HostReply) -> dict[str, object]:
    return {'url': reply.url, 'error': reply.error, 'status': reply.body}


def _build_table(replies: Sequence[HostReply]) -> Table:
    table = Table(
        'host',
        'data centre',
        'revision',
        'running',
        'targets owned',
        'hosts alive',
        'note',
    )
    for reply in replies:
        body = reply.body
        hosts = body.get('hosts', {})
        alive = sum(state == 'alive' for state in hosts.values())
        table.add_row(
            str(body.get('host', reply.url)),
            str(body.get('data_centre', '')),
            str(body.get('revision', '')),
            str(body.get('queries_running', '')),
            str(len(body.get('targets', ()))),
            f'{alive} of {len(hosts)}',
            reply.error or str(body.get('unready', '')),
        )
    return table
