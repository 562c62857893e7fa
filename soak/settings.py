"""The size of a run, and the bounds that its results are checked against."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Promises:
    """Bounds that the users' requirements state for their deployments."""

    #: How long after the end of a fault a host still counts as disturbed.
    contact: timedelta = timedelta(seconds=4)
    #: How long a target may still get new requests after it starts leaving.
    drain: timedelta = timedelta(seconds=3)
    #: The same for the targets of a drained data centre.
    drain_data_centre: timedelta = timedelta(seconds=5)
    #: How long after its write every host applies a configuration version.
    in_force: timedelta = timedelta(seconds=3)
    #: How long after a host applies a version a request that is sent to it may
    #: still be handled by an older one.
    rollback_slack: timedelta = timedelta(milliseconds=250)
    #: How long after SIGTERM a process that is still running is killed.
    grace: timedelta = timedelta(seconds=6)
    #: A request whose connection ends within this time of its sending, before
    #: a target gets it, may be lost through no fault of the host.
    loss_slack: timedelta = timedelta(milliseconds=200)
    #: How long after the route's timeout an answer may arrive.
    late: timedelta = timedelta(milliseconds=500)
    #: How long targets may still get work for a caller that disconnected.
    gone: timedelta = timedelta(milliseconds=500)
    #: Extra attempts at a service within a window: at most this share of its
    #: requests, plus the slack.
    budget_ratio: float = 0.2
    budget_slack: float = 52
    budget_window: timedelta = timedelta(seconds=10)
    #: Requests to a cold target within one second: at most this multiple of
    #: its stated rate, plus the slack.
    cold_factor: float = 1.5
    cold_slack: float = 5
    #: Requests that a host may send to a target that has told it for how long
    #: it wants none: at most so many, from so long after it was told.
    rest_requests: int = 2
    rest_notice: timedelta = timedelta(milliseconds=500)
    #: How long after the last fault requests may still fail, and how long
    #: after a fault a host may still be not ready.
    recovery: timedelta = timedelta(seconds=12)
    #: The share of requests that must then succeed. The requirements ask for
    #: 0.25, but with every component healthy again nothing justifies more
    #: failures than this bound allows.
    recovered_share: float = 0.9


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """The parameters of one run."""

    seed: int
    #: How long faults are injected.
    fault_time: timedelta = timedelta(seconds=20)
    #: The number of hosts.
    hosts: int = 4
    #: The number of shards of the first of two indexes that queries can go to,
    #: with two targets each.
    shards: int = 8
    #: The number of callers, each with one request at a time.
    callers: int = 12
    #: Faults per second.
    fault_rate: float = 1.0
    #: Names of the ``FaultKind`` members to draw from; empty for all.
    kinds: tuple[str, ...] = ()
    promises: Promises = Promises()


#: The data centres, assigned to hosts and targets round-robin.
DATA_CENTRES = ('a', 'b', 'c')

#: How long a run serves requests before the first fault may start.
WARM_UP = timedelta(seconds=4)

#: How long requests are observed after the allowed recovery time.
OBSERVATION_TIME = timedelta(seconds=4)

#: Resident memory that one host may use, in bytes: the users' smallest
#: machine has 300 MB.
MEMORY_LIMIT = 300_000_000
