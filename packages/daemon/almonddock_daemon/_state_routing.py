"""Routes membership and configuration messages to controllers."""

from typing import Any

from almonddock_core.configuration import (
    ConfigurationHead,
    ConfigurationStatus,
    DocumentReply,
    DocumentRequest,
)
from almonddock_core.membership import Probe, ProbeReply, ProbeRequest
from almonddock_daemon.controllers import (
    ConfigurationController,
    MembershipController,
)
from almonddock_daemon.links import Link, LinkMesh
from almonddock_wire import Message


class StateRouter:
    """Dispatches probes and configuration messages to controllers."""

    def __init__(
        self,
        mesh: LinkMesh,
        membership: MembershipController,
        configuration: ConfigurationController,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        mesh.subscribe(self._receive, membership.handle_lost_link)

    def _receive(self, link: Link, message: Message) -> None:
        match message:
            case Probe() | ProbeReply() | ProbeRequest():
                self._membership.receive(link, message)
                self._configuration.receive_head(
                    message.sender,
                    message.head,
                    link,
                )
            case ConfigurationHead() | DocumentRequest() | DocumentReply():
                self._configuration.receive(link, message)


def describe_configuration(status: ConfigurationStatus) -> dict[str, Any]:
    """Returns the status of the configuration, for operators."""
    confirmed = status.confirmed
    return {
        'revision': status.revision,
        'digest': status.digest,
        'heard_seconds_ago': status.since_last_contact.total_seconds(),
        'confirmed_seconds_ago': (
            None if confirmed is None else confirmed.total_seconds()
        ),
        'alarms': status.alarms,
    }
