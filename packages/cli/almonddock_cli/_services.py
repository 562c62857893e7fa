"""The command ``almonddock services``."""

from typing import Any

from rich.table import Table

from almonddock_cli._exits import ExitCode
from almonddock_cli._hosts import call_first
from almonddock_cli._output import (
    CONSOLE,
    HostUrls,
    JsonFlag,
    fail,
    print_json,
)


def list_services(host: HostUrls, as_json: JsonFlag = False) -> None:
    """List the services in force: workload, versions, shards, targets."""
    reply = call_first('GET', host, '/v1/services')
    if not reply.status:
        fail(f'{reply.url}: {reply.error}', ExitCode.UNAVAILABLE)
    if as_json:
        print_json(reply.body)
        return
    CONSOLE.print(_build_table(reply.body))


def _build_table(body: dict[str, Any]) -> Table:
    table = Table(
        'service',
        'workload',
        'versions',
        'shards',
        'targets',
        title=f'revision {body["revision"]}',
    )
    for service in body['services']:
        table.add_row(
            service['service'],
            service['workload'],
            ', '.join(str(version) for version in service['versions']),
            str(service['shards']),
            str(service['targets']),
        )
    return table
