"""Distributes the store's changes from a few hosts to the others.

Every call to the store is paid for, and the rates that it allows grow more
slowly than the number of hosts. A few hosts of each data centre, the watchers,
read its changes; the others ask a watcher, and read the store themselves when
they get no answer::

    if host not in choose_watchers(places):
        changes = ask_a_watcher(after=revision)
"""

from almonddock_core.news._freshness import Freshness
from almonddock_core.news._log import ChangeLog, LoggedItem
from almonddock_core.news._pauses import (
    PauseInputs,
    ReadSource,
    choose_pause,
    limit_pause,
)
from almonddock_core.news._timeouts import ReplyTimeout
from almonddock_core.news._watchers import (
    WATCHERS_PER_DATA_CENTRE,
    choose_watchers,
)

__all__ = [
    'WATCHERS_PER_DATA_CENTRE',
    'ChangeLog',
    'Freshness',
    'LoggedItem',
    'PauseInputs',
    'ReadSource',
    'ReplyTimeout',
    'choose_pause',
    'choose_watchers',
    'limit_pause',
]
