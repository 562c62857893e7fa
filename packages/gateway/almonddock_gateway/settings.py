"""What an adapter tells the gateway; passed whole to what needs it."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.dispatch import BudgetLimits


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """The names of the headers between callers, hosts and targets.

    All are in lower case, as bytes.
    """

    #: Names one attempt of a caller; targets repeat it in their replies.
    attempt_id: bytes
    #: Milliseconds that the sender will wait.
    deadline: bytes
    #: The target's proof of its reply.
    stamp: bytes
    #: The only target that may run the request.
    expected_target: bytes
    #: Present when a target has not run the request.
    not_executed: bytes
    #: The proofs of the replies merged into an answer.
    part_stamps: bytes
    #: The number of shards that are not in a merged answer.
    missing_parts: bytes


@dataclass(frozen=True, slots=True)
class StoreKeys:
    """Where the store keeps what the gateway follows."""

    #: The prefix of everything that operators write.
    operator_prefix: str
    #: The key of the configuration.
    configuration: str
    #: The prefix of the data centres that are to get no work.
    drained_prefix: str
    #: The prefix of the targets' entries.
    target_prefix: str
    #: The prefix under which hosts of the tier register.
    host_prefix: str


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Everything that differs between hosts and deployments."""

    #: The name of this host.
    host: str
    data_centre: str
    #: Where callers connect.
    callers: Address
    #: Where the balancer asks whether this host takes callers.
    readiness: Address
    #: Where other hosts connect.
    links: Address
    #: Where metrics are read.
    metrics: Address
    metrics_path: str
    readiness_path: str
    headers: HeaderNames
    keys: StoreKeys
    budget: BudgetLimits
    #: How soon a change in the store must be in force on this host.
    news_bound: timedelta
    #: From the request to stop until the process is killed.
    stop_time: timedelta
