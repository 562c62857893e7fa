"""Runs a scenario: the platform with its operators and callers."""

import itertools
from collections import defaultdict
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import partial
from typing import Any

from almonddock_core import deployment as files
from almonddock_core import model
from tests.scenarios.hosts import FakeHost
from tests.scenarios.language import Ask, Command, Scenario, Workload
from tests.scenarios.targets import FakeTarget
from tests.scenarios.world import World

#: Until a change of the configuration or of the hosts is known everywhere.
CHANGE_DELAY = timedelta(milliseconds=500)
#: A host that is paused for longer counts as dead meanwhile.
FAILURE_TIME = timedelta(seconds=1)
#: Until the hosts hold their leases; events count from then on.
WARM_UP = timedelta(seconds=5)
#: Time for what is still running after the last event.
TAIL = timedelta(seconds=2)


@dataclass(slots=True)
class Asked:
    """One query and every answer to it; there must be one."""

    query: model.Query
    #: The configuration at its entry host.
    deployment: files.Deployment
    answers: list[model.Answer] = field(default_factory=list)

    @property
    def elapsed(self) -> timedelta:
        return self.answers[0].elapsed if self.answers else timedelta.max


class Runner:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.world = World(scenario.seed)
        self.asked: dict[str, list[Asked]] = defaultdict(list)
        self.targets: dict[model.TargetId, FakeTarget] = {}
        self.hosts: dict[model.HostId, FakeHost] = {}
        #: When each data centre was taken out, unless it came back.
        self.out_since: dict[str, timedelta] = {}
        self._numbers = itertools.count(1)
        self._members: dict[model.HostId, model.Member] = {}
        self._services = {
            service.service: service
            for workload in scenario.workloads
            for service in _build_services(workload, list(scenario.places))
        }
        self._deployment = self._publish()
        for workload in scenario.workloads:
            self._add_targets(workload)

    def run(self) -> None:
        for place, names in self.scenario.places.items():
            for name in names:
                self._start(model.HostId(name), model.DataCentreId(place))
        for host in self.hosts.values():
            host.apply(self._deployment, tuple(self._members.values()))
        self.world.run_until(WARM_UP)
        end = timedelta()
        for time, event in self.scenario.events:
            self.world.schedule(WARM_UP + time, partial(self._carry_out, event))
            until = event.until if isinstance(event, Ask) else None
            end = max(end, until or time)
        self.world.run_until(WARM_UP + end + TAIL)

    def _carry_out(self, event: Ask | Command) -> None:
        if isinstance(event, Ask):
            self._ask(event)
            return
        self.world.note('event', f'{event.kind} {event.needs}')
        getattr(self, f'_do_{event.kind}')(*event.needs)

    def _ask(self, ask: Ask) -> None:
        number = next(self._numbers)
        hosts = [host for host in self.hosts.values() if host.ready]
        entry = hosts[number % len(hosts)]
        if ask.entry is not None:
            entry = self.hosts[model.HostId(ask.entry)]
        query = model.Query(
            request_id=model.RequestId(f'{ask.name}.{number}'),
            workload=model.WorkloadId(ask.workload),
            body=b'{}',
            deadline=self.world.now + ask.deadline,
            urgency=ask.urgency,
            min_coverage=ask.coverage,
            idempotent=ask.idempotent,
        )
        asked = Asked(query, entry.deployment)
        self.asked[ask.name].append(asked)
        entry.ask(query, asked.answers.append)
        if ask.every and self.world.now + ask.every < WARM_UP + (
            ask.until or ask.every
        ):
            self.world.after(ask.every, partial(self._ask, ask))

    def _do_target(self, name: str, fault: str, number: float) -> None:
        self.targets[model.TargetId(name)].switch(fault, number)

    def _do_split(self, one: frozenset[str], _: Any, two: Any) -> None:
        self.world.split(one, two)

    def _do_heal(self) -> None:
        self.world.split(frozenset(), frozenset())

    def _do_out(self, place: str) -> None:
        self.out_since[place] = self.world.now
        self._change(self._publish())

    def _do_back(self, place: str) -> None:
        self.out_since.pop(place)
        self._change(self._publish())

    def _do_publish(self, workload: str, version: int, shards: int) -> None:
        """Splits every service of a workload into more shards."""
        names = tuple(f's{number}' for number in range(shards))
        for name, service in self._services.items():
            if service.workload == workload:
                self._services[name] = replace(
                    service,
                    index_versions=(files.VersionEntry(version, names),),
                    targets=tuple(
                        replace(one, shards=names) for one in service.targets
                    ),
                )
        self._change(self._publish())
        for target in self.targets.values():
            if target.target.workload == workload:
                target.versions = {model.IndexVersion(version)}

    def _do_host(self, name: str, change: str, span: timedelta) -> None:
        host = self.hosts[model.HostId(name)]
        if change == 'pauses':
            host.pause(span)
            if span > FAILURE_TIME:
                dead = partial(self._see, host, model.MemberState.DEAD)
                self.world.after(FAILURE_TIME, dead)
                alive = partial(self._see, host, model.MemberState.ALIVE)
                self.world.after(span, alive)
        elif change == 'starts':
            place = host.member.data_centre
            self._start(host.name, place, host.member.incarnation + 1)
        elif change == 'leaves':
            host.ready = False
            self._see(host, model.MemberState.LEAVING)
        else:
            host.alive = False
            host.ready = False
            for other in self.hosts.values():
                self.world.after(
                    timedelta(milliseconds=1), partial(other.lose, host.name)
                )
            self._see(host, model.MemberState.DEAD)

    def _start(
        self,
        name: model.HostId,
        place: model.DataCentreId,
        incarnation: int = 1,
    ) -> None:
        member = model.Member(
            name, place, f'{name}:1', model.Incarnation(incarnation)
        )
        host = FakeHost(self.world, member, self.hosts, self.targets)
        self.hosts[name] = host
        host.apply(self._deployment)
        host.renew()
        self._see(host, model.MemberState.ALIVE)

    def _see(self, host: FakeHost, state: model.MemberState) -> None:
        self._members[host.name] = replace(host.member, state=state)
        view = tuple(self._members.values())
        for other in self.hosts.values():
            apply = partial(other.apply, None, view)
            self.world.after(CHANGE_DELAY, partial(other.guard, apply))

    def _change(self, changed: files.Deployment) -> None:
        self._deployment = changed
        for host in self.hosts.values():
            apply = partial(host.apply, changed)
            self.world.after(CHANGE_DELAY, partial(host.guard, apply))

    def _publish(self) -> files.Deployment:
        entries = tuple(
            files.DataCentreEntry(
                place, 'region', 'out' if place in self.out_since else 'in'
            )
            for place in self.scenario.places
        )
        return files.build_deployment(
            model.Revision(next(self._numbers)),
            self._services.values(),
            files.DataCentresFile(data_centres=entries),
        )

    def _add_targets(self, workload: Workload) -> None:
        for name, target in self._deployment.targets.items():
            if target.workload == workload.name:
                time = workload.service_time
                self.targets[name] = FakeTarget(self.world, target, time)


def _build_services(
    workload: Workload, places: list[str]
) -> list[files.ServiceFile]:
    names = (f'{workload.name}-{one + 1}' for one in range(workload.services))
    return [
        files.ServiceFile(
            service=name,
            workload=workload.name,
            index_versions=(files.VersionEntry(1, ('s0',)),),
            targets=tuple(
                files.TargetEntry(
                    name=f'r{replica + 1}',
                    address='127.0.0.1:1',
                    data_centre=places[(number + replica) % len(places)],
                    shards=('s0',),
                    slots=workload.slots,
                    connections=workload.slots,
                )
                for replica in range(workload.targets)
            ),
        )
        for number, name in enumerate(names)
    ]
