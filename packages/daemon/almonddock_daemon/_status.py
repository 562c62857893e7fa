"""What a host says of itself: readiness, status and metrics."""

from typing import Any

from almonddock_daemon._descriptions import describe_load
from almonddock_daemon._parts import Parts
from almonddock_daemon._state_routing import describe_configuration


def explain_unready(parts: Parts, *, stopping: bool) -> str:
    """Returns why the balancer should not send here; empty when it may."""
    if stopping:
        return 'shutting_down'
    if not parts.membership.validated:
        return 'joining'
    unready = parts.configuration.report_status().unready
    if unready:
        return unready
    if _is_taken_out(parts):
        return 'data_centre_out'
    return '' if parts.ownership.ready else 'targets_not_acquired'


def describe_status(parts: Parts, unready: str) -> dict[str, Any]:
    """Returns what operators see of the host."""
    hosts = parts.membership.view.members
    return {
        'host': parts.own.host,
        'data_centre': parts.own.data_centre,
        'revision': parts.configuration.view.revision,
        'queries_running': parts.running.count,
        'hosts': {
            host: member.state.value for host, member in sorted(hosts.items())
        },
        'unready': unready,
        'configuration': describe_configuration(
            parts.configuration.report_status(),
        ),
        'targets': [
            describe_load(load) for load in parts.targets.measure_loads()
        ],
    }


def render_metrics(parts: Parts) -> bytes:
    """Returns all metrics in the text format of Prometheus."""
    figures = {
        'targets_owned': len(parts.targets.owned),
        'queries_running': parts.running.count,
        'revision': parts.configuration.view.revision,
        'store_calls': parts.store.calls,
        'pauses': parts.membership.pauses,
        'log_store_calls': parts.log_store.calls,
    }
    for code, count in parts.configuration.report_status().alarms.items():
        figures[f'alarms_{code}'] = count
    for name, figure in figures.items():
        parts.metrics.state.set({'name': name}, figure)
    return parts.metrics.render()


def _is_taken_out(parts: Parts) -> bool:
    """Returns whether only this data centre and not all of them is out."""
    deployment = parts.configuration.view
    return deployment.is_out(parts.own.data_centre) and not all(
        deployment.is_out(one) for one in deployment.data_centres
    )
