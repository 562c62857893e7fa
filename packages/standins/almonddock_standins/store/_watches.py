"""Watches of the stand-in store."""

from almonddock_standins._http import Exchange
from almonddock_standins.store import _messages as messages
from almonddock_standins.store._key_values import Event, KeyValues, covers


class Watch:
    """Streams the changes in a range of keys to one client."""

    def __init__(
        self,
        key_values: KeyValues,
        body: messages.Body,
        exchange: Exchange,
        number: int,
    ) -> None:
        self._key_values = key_values
        self._key = messages.read_bytes(body, 'key')
        self._range_end = messages.read_bytes(body, 'range_end')
        self._first_revision = messages.read_number(body, 'start_revision')
        self._exchange = exchange
        self._watch_id = str(number)

    def start(self) -> None:
        """Streams past changes if requested, then each later one."""
        self._exchange.start_stream()
        self._push({'created': True})
        if self._first_revision:
            past = self._key_values.list_events(self._first_revision)
            self._notify(past)
        self._key_values.subscribe(self._notify)

    def _notify(self, events: list[Event]) -> None:
        if self._exchange.closed:
            self._key_values.unsubscribe(self._notify)
            return
        matching = [
            messages.build_event(event)
            for event in events
            if covers(self._key, self._range_end, event.key)
        ]
        if matching:
            self._push({'events': matching})

    def _push(self, content: dict[str, object]) -> None:
        header = messages.build_header(self._key_values)
        line = {'header': header, 'watch_id': self._watch_id, **content}
        self._exchange.write_line({'result': line})
