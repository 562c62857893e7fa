"""The program ``almonddock``, for operators and callers."""

import typer

from almonddock_cli._check import check_folder
from almonddock_cli._diff import show_difference
from almonddock_cli._explain import explain_request
from almonddock_cli._publish import publish_folder
from almonddock_cli._query import send_query
from almonddock_cli._report import show_report
from almonddock_cli._services import list_services
from almonddock_cli._status import show_status

APPLICATION = typer.Typer(
    help=(
        'Operate an almonddock deployment. Start with "check DIR" on the '
        'operators\' files, then "publish DIR --wait", then "query".'
    ),
    no_args_is_help=True,
)

APPLICATION.command('check')(check_folder)
APPLICATION.command('publish')(publish_folder)
APPLICATION.command('diff')(show_difference)
APPLICATION.command('query')(send_query)
APPLICATION.command('status')(show_status)
APPLICATION.command('explain')(explain_request)
APPLICATION.command('services')(list_services)
APPLICATION.command('report')(show_report)


def run() -> None:
    """Runs the program; the entry point of the console script."""
    APPLICATION()
