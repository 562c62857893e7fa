"""Splits the requests of a route over services by weight."""

from almonddock_core.routing._routes import WeightedService


class WeightedRotation:
    """Smooth weighted round robin over the services of a route.

    It is deterministic: in every prefix of the sequence each service is within
    about one request of its weight, so short spans keep to the weights too.
    """

    def __init__(self, parts: tuple[WeightedService, ...]) -> None:
        self._parts = parts
        self._total = sum(part.weight for part in parts)
        start: float = 0
        self._credit = [start for _ in parts]

    @property
    def parts(self) -> tuple[WeightedService, ...]:
        """The services of this rotation and their weights."""
        return self._parts

    def choose_service(self) -> str:
        """Returns the service of the next request."""
        credit = self._credit
        for index, part in enumerate(self._parts):
            credit[index] += part.weight
        chosen = credit.index(max(credit))
        credit[chosen] -= self._total
        return self._parts[chosen].service
