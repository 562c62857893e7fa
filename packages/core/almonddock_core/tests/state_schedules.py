"""Random fault schedules over a small fleet, with their invariants."""

import copy
from datetime import timedelta

from almonddock_core.configuration import Published, publish
from almonddock_core.model import DataCentreId, HostId, Member, Revision
from almonddock_core.tests.configuration_store import FakeStore
from almonddock_core.tests.state_fleet import Fleet
from almonddock_core.tests.test_configuration_publish import (
    drive,
    make_request,
)

HOSTS = 4
DATA_CENTRES = 3
FAULT_SECONDS = 6.0
SETTLE_SECONDS = 6.0
FAULTS = (
    'publish',
    'publish',
    'store_down',
    'store_up',
    'copy',
    'restore',
    'pause',
    'replace',
    'split',
    'heal',
)


def choose_delay(one: DataCentreId, other: DataCentreId) -> timedelta:
    return timedelta(milliseconds=1 if one == other else 2)


class Schedule:
    """One random run; :meth:`run` returns the violated invariants."""

    def __init__(self, seed: int) -> None:
        self.fleet = Fleet(seed, choose_delay, loss=0.01)
        self.saved_store: FakeStore | None = None
        self.publishes = 0
        self.incarnation = 1
        #: The active revisions of every host that ever ran, in order.
        self.histories: list[list[tuple[timedelta, Revision]]] = []
        self.newest = Revision(0)

    def run(self) -> list[str]:
        self._start()
        end = self.fleet.now + timedelta(seconds=FAULT_SECONDS)
        while self.fleet.now < end:
            fault = self.fleet.random.choice(FAULTS)
            getattr(self, f'_do_{fault}')()
            self.fleet.run(self.fleet.random.uniform(0, 1))
        self._do_store_up()
        self._do_heal()
        self.fleet.run(SETTLE_SECONDS)
        return [*self._find_reversions(), *self._find_divergence()]

    def _start(self) -> None:
        self._do_publish()
        self.fleet.host_list = [
            Member(
                HostId(f'h{number}'),
                DataCentreId(f'd{number % DATA_CENTRES}'),
                '127.0.0.1:1',
            )
            for number in range(HOSTS)
        ]
        for member in self.fleet.host_list:
            self._add(member)
        self.fleet.run(1)

    def _add(self, member: Member) -> None:
        self.incarnation += 1
        self.fleet.add(member.host, member.data_centre, self.incarnation)
        self.histories.append(self.fleet.hosts[member.host].history)

    def _find_min_revision(self) -> Revision:
        hosts = self.fleet.hosts.values()
        return max(
            (host.configuration.deployment.revision for host in hosts),
            default=Revision(0),
        )

    def _do_publish(self) -> None:
        if not self.fleet.store_up:
            return
        self.publishes += 1
        edits = {1: 300 + self.publishes}
        request = make_request(
            f'c{self.publishes}', edits, min_revision=self._find_min_revision()
        )
        published = drive(self.fleet.store, publish(request))
        if isinstance(published, Published):
            self.fleet.notify_watchers()

    def _do_store_down(self) -> None:
        self.fleet.store_up = False

    def _do_store_up(self) -> None:
        self.fleet.store_up = True

    def _do_copy(self) -> None:
        self.saved_store = copy.deepcopy(self.fleet.store)

    def _do_restore(self) -> None:
        if self.saved_store is not None:
            self.fleet.store = copy.deepcopy(self.saved_store)

    def _do_pause(self) -> None:
        host = self.fleet.random.choice(self.fleet.host_list).host
        self.fleet.pause(host, self.fleet.random.uniform(0, 4))

    def _do_replace(self) -> None:
        member = self.fleet.random.choice(self.fleet.host_list)
        self.fleet.kill([member.host])
        self._add(member)

    def _do_split(self) -> None:
        isolated = f'd{self.fleet.random.randrange(DATA_CENTRES)}'
        self.fleet.reachable = lambda one, other: (
            (one.data_centre == isolated) == (other.data_centre == isolated)
        )

    def _do_heal(self) -> None:
        self.fleet.reachable = lambda one, other: True

    def _find_reversions(self) -> list[str]:
        found: list[str] = []
        for history in self.histories:
            revisions = [revision for _, revision in history]
            if revisions != sorted(set(revisions)):
                found.append(f'active revisions do not increase: {revisions}')
        return found

    def _find_divergence(self) -> list[str]:
        hosts = self.fleet.hosts
        heads = {
            name: host.configuration.describe_head(self.fleet.now)
            for name, host in hosts.items()
        }
        distinct_heads = {
            (head.revision, head.digest) for head in heads.values()
        }
        if len(distinct_heads) == 1 and self._find_min_revision():
            return []
        return [f'hosts differ at the end: {sorted(distinct_heads)}']
