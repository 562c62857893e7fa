"""The readiness, status and metrics of a host."""

from typing import Any

from almonddock_daemon._components import HostComponents
from almonddock_daemon._descriptions import describe_load
from almonddock_daemon._state_routing import describe_configuration


def explain_unready(components: HostComponents, *, stopping: bool) -> str:
    """Returns why this host is not ready for queries; empty if it is."""
    if stopping:
        return 'shutting_down'
    if not components.membership.validated:
        return 'joining'
    unready = components.configuration.report_status().unready
    if unready:
        return unready
    if _is_taken_out(components):
        return 'data_centre_out'
    return '' if components.ownership.ready else 'targets_not_acquired'


def describe_status(components: HostComponents, unready: str) -> dict[str, Any]:
    """Returns the status of the host, for operators."""
    hosts = components.membership.view.members
    return {
        'host': components.own.host,
        'data_centre': components.own.data_centre,
        'revision': components.configuration.view.revision,
        'queries_running': components.running.count,
        'hosts': {
            host: member.state.value for host, member in sorted(hosts.items())
        },
        'unready': unready,
        'configuration': describe_configuration(
            components.configuration.report_status(),
        ),
        'targets': [
            describe_load(load) for load in components.targets.measure_loads()
        ],
    }


def render_metrics(components: HostComponents) -> bytes:
    """Returns all metrics in the text format of Prometheus."""
    gauges = {
        'targets_owned': len(components.targets.owned),
        'queries_running': components.running.count,
        'revision': components.configuration.view.revision,
        'store_calls': components.store.calls,
        'pauses': components.membership.pauses,
        'log_store_calls': components.log_store.calls,
    }
    for code, count in components.configuration.report_status().alarms.items():
        gauges[f'alarms_{code}'] = count
    for name, current in gauges.items():
        components.metrics.state.set({'name': name}, current)
    return components.metrics.render()


def _is_taken_out(components: HostComponents) -> bool:
    """Returns whether this data centre, but not all, is taken out of use."""
    deployment = components.configuration.view
    return deployment.is_taken_out(components.own.data_centre) and not all(
        deployment.is_taken_out(one) for one in deployment.data_centres
    )
