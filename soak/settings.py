"""How large a run is, and the bounds that its promises are checked with."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Promises:
    """The bounds that the users state for their deployments of today."""

    #: A host counts as undisturbed so long after the end of a fault.
    contact: timedelta = timedelta(seconds=4)
    #: New work for a leaving target ends so long after it said so.
    drain: timedelta = timedelta(seconds=3)
    #: New work for a data centre that was taken out ends so long after.
    drain_data_centre: timedelta = timedelta(seconds=5)
    #: A version is in force so long after it was written.
    in_force: timedelta = timedelta(seconds=3)
    #: Requests in flight may still show an older version for so long.
    rollback_slack: timedelta = timedelta(milliseconds=250)
    #: A process that was asked to stop is killed after so long.
    grace: timedelta = timedelta(seconds=6)
    #: Requests sent within so long of the end of their connection are lost
    #: without a fault of the host.
    loss_slack: timedelta = timedelta(milliseconds=200)
    #: An answer may come so long after the route's timeout.
    late: timedelta = timedelta(milliseconds=500)
    #: Work for a caller that left ends so long after.
    gone: timedelta = timedelta(milliseconds=500)
    #: Extra arrivals at a service within a window.
    budget_ratio: float = 0.2
    budget_slack: float = 52
    budget_window: timedelta = timedelta(seconds=10)
    #: Requests of one second to a cold target, over its rate.
    cold_factor: float = 1.5
    cold_slack: float = 5
    #: Service is back so long after the last fault.
    recovery: timedelta = timedelta(seconds=12)
    #: The share that must be served then. The users' rule asks for a quarter;
    #: with every part healthy again nothing explains more failures than this.
    recovered_share: float = 0.9


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """One run."""

    seed: int
    #: For how long faults are injected.
    fault_time: timedelta = timedelta(seconds=20)
    #: Hosts of the system.
    hosts: int = 4
    #: Shards of the queries, with two targets each.
    shards: int = 8
    #: Callers, each with one request at a time.
    callers: int = 12
    #: Faults a second.
    fault_rate: float = 1.0
    #: The names of the kinds of faults that come; empty for all.
    kinds: tuple[str, ...] = ()
    promises: Promises = Promises()


#: The data centres, and which one each host and target is in by turns.
DATA_CENTRES = ('a', 'b', 'c')

#: How long a run serves before its first fault.
WARM_UP = timedelta(seconds=4)

#: How long service is watched after the time to recover.
AFTERWARDS = timedelta(seconds=4)

#: Memory that one host may take, in bytes: the smallest machine of the users
#: has 300 MB.
MEMORY_LIMIT = 300_000_000
