"""Answers readiness checks of the balancer and metrics scrapes."""

from collections.abc import Callable, Mapping
from resource import RUSAGE_SELF, getrusage

from almonddock_gateway.http import CallerConnection, CallerRequest
from almonddock_gateway.settings import GatewaySettings
from almonddock_gateway.telemetry import GatewayMetrics

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503


def build_admin_handler(
    settings: GatewaySettings,
    is_ready: Callable[[], bool],
    count_state: Callable[[], Mapping[str, float]],
    metrics: GatewayMetrics,
) -> Callable[[CallerRequest, CallerConnection], None]:
    """Returns the handler of readiness and metrics requests."""

    def answer(request: CallerRequest, connection: CallerConnection) -> None:
        path = request.url.decode('latin-1').partition('?')[0]
        if path == settings.readiness_path:
            connection.send(OK if is_ready() else UNAVAILABLE, (), b'')
        elif path == settings.metrics_path:
            peak_kb = getrusage(RUSAGE_SELF).ru_maxrss
            state = {**count_state(), 'peak_memory_kb': peak_kb}
            for name, number in state.items():
                metrics.state.set({'name': name}, number)
            connection.send(OK, (), metrics.render())
        else:
            connection.send(NOT_FOUND, (), b'')

    return answer
