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
from tests.scenarios.language import Command, QueryEvent, Scenario, Workload
from tests.scenarios.simulation import Simulation
from tests.scenarios.targets import FakeTarget

#: Time until every host knows a change of configuration or hosts.
CHANGE_DELAY = timedelta(milliseconds=500)
#: A host that pauses for longer is seen as dead until it resumes.
DETECTION_TIME = timedelta(seconds=1)
#: Time for the hosts to obtain leases; event times count from its end.
WARM_UP = timedelta(seconds=5)
#: Time for running queries to complete after the last event.
COMPLETION_TIME = timedelta(seconds=2)


@dataclass(slots=True)
class QueryRecord:
    """One query and every answer to it; more than one is an error."""

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
        self.sim = Simulation(scenario.seed)
        self.queries: dict[str, list[QueryRecord]] = defaultdict(list)
        self.targets: dict[model.TargetId, FakeTarget] = {}
        self.hosts: dict[model.HostId, FakeHost] = {}
        #: When each data centre that is out now was taken out.
        self.out_since: dict[str, timedelta] = {}
        self._numbers = itertools.count(1)
        self._members: dict[model.HostId, model.Member] = {}
        self._services = {
            service.service: service
            for workload in scenario.workloads
            for service in _build_services(
                workload, list(scenario.data_centres)
            )
        }
        self._deployment = self._build_deployment()
        for workload in scenario.workloads:
            self._add_targets(workload)

    def run(self) -> None:
        for data_centre, names in self.scenario.data_centres.items():
            for name in names:
                self._start(model.HostId(name), model.DataCentreId(data_centre))
        for host in self.hosts.values():
            host.apply(self._deployment, tuple(self._members.values()))
        self.sim.run_until(WARM_UP)
        end = timedelta()
        for time, event in self.scenario.events:
            self.sim.call_at(WARM_UP + time, partial(self._execute, event))
            until = event.until if isinstance(event, QueryEvent) else None
            end = max(end, until or time)
        self.sim.run_until(WARM_UP + end + COMPLETION_TIME)

    def _execute(self, event: QueryEvent | Command) -> None:
        if isinstance(event, QueryEvent):
            self._send_query(event)
            return
        self.sim.record('event', f'{event.kind} {event.arguments}')
        getattr(self, f'_do_{event.kind}')(*event.arguments)

    def _send_query(self, event: QueryEvent) -> None:
        number = next(self._numbers)
        hosts = [host for host in self.hosts.values() if host.ready]
        entry = hosts[number % len(hosts)]
        if event.entry is not None:
            entry = self.hosts[model.HostId(event.entry)]
        query = model.Query(
            request_id=model.RequestId(f'{event.name}.{number}'),
            workload=model.WorkloadId(event.workload),
            body=b'{}',
            deadline=self.sim.now + event.deadline,
            urgency=event.urgency,
            min_coverage=event.coverage,
            idempotent=event.idempotent,
        )
        record = QueryRecord(query, entry.deployment)
        self.queries[event.name].append(record)
        entry.receive_query(query, record.answers.append)
        if event.every and self.sim.now + event.every < WARM_UP + (
            event.until or event.every
        ):
            self.sim.call_later(event.every, partial(self._send_query, event))

    def _do_target(self, name: str, fault: str, number: float) -> None:
        self.targets[model.TargetId(name)].switch_fault(fault, number)

    def _do_split(self, group: frozenset[str], _: Any, other: Any) -> None:
        self.sim.split(group, other)

    def _do_heal(self) -> None:
        self.sim.split(frozenset(), frozenset())

    def _do_out(self, data_centre: str) -> None:
        self.out_since[data_centre] = self.sim.now
        self._distribute(self._build_deployment())

    def _do_back(self, data_centre: str) -> None:
        self.out_since.pop(data_centre)
        self._distribute(self._build_deployment())

    def _do_publish(self, workload: str, version: int, shards: int) -> None:
        """Publishes a version with ``shards`` shards in each service."""
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
        self._distribute(self._build_deployment())
        for target in self.targets.values():
            if target.target.workload == workload:
                target.versions = {model.IndexVersion(version)}

    def _do_host(self, name: str, change: str, span: timedelta) -> None:
        host = self.hosts[model.HostId(name)]
        if change == 'pauses':
            host.pause(span)
            if span > DETECTION_TIME:
                dead = partial(self._set_state, host, model.MemberState.DEAD)
                self.sim.call_later(DETECTION_TIME, dead)
                alive = partial(self._set_state, host, model.MemberState.ALIVE)
                self.sim.call_later(span, alive)
        elif change == 'starts':
            data_centre = host.member.data_centre
            self._start(host.name, data_centre, host.member.incarnation + 1)
        elif change == 'leaves':
            host.ready = False
            self._set_state(host, model.MemberState.LEAVING)
        else:  # It dies; after 1 ms the others see that its links closed.
            host.alive = False
            host.ready = False
            for other in self.hosts.values():
                self.sim.call_later(
                    timedelta(milliseconds=1),
                    partial(other.handle_closed_link, host.name),
                )
            self._set_state(host, model.MemberState.DEAD)

    def _start(
        self,
        name: model.HostId,
        data_centre: model.DataCentreId,
        incarnation: int = 1,
    ) -> None:
        member = model.Member(
            name, data_centre, f'{name}:1', model.Incarnation(incarnation)
        )
        host = FakeHost(self.sim, member, self.hosts, self.targets)
        self.hosts[name] = host
        host.apply(self._deployment)
        host.renew_leases()
        self._set_state(host, model.MemberState.ALIVE)

    def _set_state(self, host: FakeHost, state: model.MemberState) -> None:
        self._members[host.name] = replace(host.member, state=state)
        view = tuple(self._members.values())
        for other in self.hosts.values():
            apply = partial(other.apply, None, view)
            self.sim.call_later(
                CHANGE_DELAY, partial(other.run_or_defer, apply)
            )

    def _distribute(self, changed: files.Deployment) -> None:
        self._deployment = changed
        for host in self.hosts.values():
            apply = partial(host.apply, changed)
            self.sim.call_later(CHANGE_DELAY, partial(host.run_or_defer, apply))

    def _build_deployment(self) -> files.Deployment:
        entries = tuple(
            files.DataCentreEntry(
                data_centre,
                'region',
                'out' if data_centre in self.out_since else 'in',
            )
            for data_centre in self.scenario.data_centres
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
                self.targets[name] = FakeTarget(self.sim, target, time)


def _build_services(
    workload: Workload, data_centres: list[str]
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
                    data_centre=data_centres[
                        (number + replica) % len(data_centres)
                    ],
                    shards=('s0',),
                    slots=workload.slots,
                    connections=workload.slots,
                )
                for replica in range(workload.targets)
            ),
        )
        for number, name in enumerate(names)
    ]
