"""Which hosts follow the store, and what they tell the others.

Load it answers: every call to the store is paid for and its rates grow more
slowly than the fleet. A few hosts of each data centre follow it; the others
ask those, and go to the store themselves when they get no answer::

    if host not in choose_watchers(places):
        changes = ask_a_watcher(after=revision)
"""

from almonddock_core.news._log import LoggedItem, NewsLog
from almonddock_core.news._pauses import (
    FollowState,
    NewsSource,
    choose_pause,
)
from almonddock_core.news._watchers import (
    WATCHERS_PER_DATA_CENTRE,
    choose_watchers,
)

__all__ = [
    'WATCHERS_PER_DATA_CENTRE',
    'FollowState',
    'LoggedItem',
    'NewsLog',
    'NewsSource',
    'choose_pause',
    'choose_watchers',
]
