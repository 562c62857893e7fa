"""The settings that an adapter passes to the gateway."""

import sys
from dataclasses import dataclass, field
from datetime import timedelta
from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit

from almonddock_core.dispatch import BudgetLimits
from almonddock_core.memory import DEFAULT_MACHINE_BYTES
from almonddock_core.quotas import QuotaSettings
from almonddock_core.rollouts import RolloutBounds


def get_descriptor_limit() -> int:
    """Returns how many descriptors the system lets this process open."""
    limit = getrlimit(RLIMIT_NOFILE)[0]
    return sys.maxsize if limit == RLIM_INFINITY else limit


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

    #: The id of one attempt of a caller; targets echo it in their replies.
    attempt_id: bytes
    #: The milliseconds that the sender waits for the reply.
    deadline: bytes
    #: The target's proof that it sent the reply.
    stamp: bytes
    #: The id of the only target that may run the request.
    expected_target: bytes
    #: Present if the target has not run the request.
    not_executed: bytes
    #: The stamps of the replies merged into an answer.
    part_stamps: bytes
    #: The number of shards missing from a merged answer.
    missing_parts: bytes
    #: In the reply to a health check: the id of the target.
    health_target: bytes
    #: In the reply to a health check: the milliseconds that it stays cold.
    cold_for: bytes
    #: ``1`` in each reply of a target that leaves.
    leaving: bytes
    #: The name of the caller's organisation, for targets.
    organisation: bytes
    #: The scheme of the credentials that hold a caller's key.
    key_scheme: bytes


@dataclass(frozen=True, slots=True)
class StoreKeys:
    """The keys and prefixes in the store, which an adapter defines."""

    #: The prefix of all keys that operators write.
    operator_prefix: str
    #: The key of the configuration.
    configuration: str
    #: The prefix of the keys that name drained data centres.
    drained_prefix: str
    #: The prefix of the target entries.
    target_prefix: str
    #: The prefix of the host registrations.
    host_prefix: str
    #: The prefix of the keys that say which hosts enforce quotas.
    grantor_prefix: str = 'grantors/'
    #: The prefix of the orders to move a service to a version.
    order_prefix: str = ''
    #: The prefix of what operators read of these orders.
    state_prefix: str = ''
    #: The prefix of the records of roll-outs, and the key of the claim that
    #: names the host that decides on them.
    record_prefix: str = ''
    claim: str = ''


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """The settings that differ between hosts or deployments."""

    #: The name of this host.
    host: str
    data_centre: str
    #: The address for callers.
    callers: Address
    #: The address for the balancer's readiness checks.
    readiness: Address
    #: The address for links from other hosts.
    links: Address
    #: The address for metrics scrapes.
    metrics: Address
    metrics_path: str
    readiness_path: str
    headers: HeaderNames
    keys: StoreKeys
    #: The limits of the retry budget.
    budget: BudgetLimits
    #: The time within which a change in the store must be in force here.
    max_propagation_time: timedelta
    #: The time from SIGTERM until the process is killed.
    shutdown_time: timedelta
    #: The time after which a withdrawn key lets nobody in, on no host; None if
    #: that is not bounded.
    revocation_bound: timedelta | None = None
    #: How far organisations may exceed their quotas; None if quotas are not
    #: enforced.
    quota: QuotaSettings | None = None
    #: Whether all hosts start for the first time.
    is_first_start: bool = False
    #: What a bad version may get in a roll-out; None without roll-outs.
    rollout: RolloutBounds | None = None
    #: How many sockets the process may open.
    max_sockets: int = field(default_factory=get_descriptor_limit)
    #: The memory that the process may take.
    memory_bytes: int = DEFAULT_MACHINE_BYTES
    #: The bits that this host's link carries each second; zero if unknown.
    link_rate: float = 0
