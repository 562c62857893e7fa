"""Reply headers of a stand-in target, with faults applied."""

from collections.abc import Mapping

from almonddock_standins.target._faults import Faults


def build_echo(request_headers: Mapping[str, str]) -> dict[str, str]:
    """Returns the request headers that every reply echoes."""
    return {name: request_headers[name] for name in ('x-attempt-id', 'x-shard')}


class Replies:
    """Builds reply headers and keeps the previous ones."""

    def __init__(self) -> None:
        self._previous: dict[str, str] | None = None

    def build(
        self,
        request_headers: Mapping[str, str],
        faults: Faults,
    ) -> dict[str, str]:
        """Returns headers that state the attempt, shard and version."""
        version = int(request_headers['x-index-version'])
        shard = request_headers['x-shard']
        if faults.wrong_version:
            version += 1
        if faults.wrong_shard:
            shard = f'{shard}-other'
        reply = {
            **build_echo(request_headers),
            'x-shard': shard,
            'x-index-version': str(version),
        }
        previous = self._previous
        self._previous = reply
        if faults.crossed and previous is not None:
            return previous
        return reply
