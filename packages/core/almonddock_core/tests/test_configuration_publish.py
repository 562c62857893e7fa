import json
import random
import unittest
from collections.abc import Generator
from typing import Any, TypeVar

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.configuration import (
    CleanRequest,
    NotPublished,
    Published,
    PublishRequest,
    PublishUnknown,
    Refused,
    Unchanged,
    clean,
    compute_digest,
    publish,
)
from almonddock_core.model import FindingsError, Revision
from almonddock_core.store import StoreCall, StoreReply, SwapValue
from almonddock_core.tests.configuration_store import FAULTS, FakeStore
from almonddock_core.tests.test_configuration_check import make_service

DETERMINISTIC = settings(max_examples=600, derandomize=True, deadline=None)

T = TypeVar('T')
DATA_CENTRES_BODY = json.dumps(
    {'data_centres': [{'name': 'north', 'region': 'kyushu'}]}
).encode()


def make_body(number: int, deadline: int = 300, **more: Any) -> bytes:
    service = {**make_service(number), 'deadline_ms': deadline, **more}
    return json.dumps(service).encode()


def make_request(
    change: str, edits: dict[int, int], **more: Any
) -> PublishRequest:
    """Returns a publish of two services with the given deadlines."""
    bodies = {
        f'desk-{number}': make_body(number, edits.get(number, 300))
        for number in (1, 2)
    }
    return PublishRequest(
        change, {**bodies, '.data-centres': DATA_CENTRES_BODY}, **more
    )


def drive(
    store: FakeStore,
    steps: Generator[StoreCall, StoreReply, T],
    reply: StoreReply | None = None,
) -> T:
    try:
        call = next(steps) if reply is None else steps.send(reply)
        while call:
            call = steps.send(store.perform(call))
    except StopIteration as stop:
        result: T = stop.value
        return result
    raise AssertionError('the generator yielded no call')


def drive_to_swap(
    steps: Generator[StoreCall, StoreReply, T], store: FakeStore
) -> SwapValue:
    call = next(steps)
    while not isinstance(call, SwapValue):
        call = steps.send(store.perform(call))
    return call


class PublishTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        drive(self.store, publish(make_request('first', {})))

    def test_publishes_a_change_and_then_reports_it_unchanged(self) -> None:
        request = make_request('c', {1: 400})
        result = drive(self.store, publish(request))
        assert isinstance(result, Published)
        self.assertEqual(result.revision, 2)
        self.assertEqual(set(result.changes.digests), {'desk-1'})
        self.assertEqual(self.store.check_head(), request.bodies)
        again = make_request('d', {1: 400})
        self.assertEqual(
            drive(self.store, publish(again)), Unchanged(Revision(2))
        )

    def test_rebases_a_concurrent_change_of_other_services(self) -> None:
        steps = publish(make_request('slow', {1: 400}))
        swap = drive_to_swap(steps, self.store)
        drive(self.store, publish(make_request('fast', {2: 500})))
        result = drive(self.store, steps, self.store.perform(swap))
        assert isinstance(result, Published)
        self.assertEqual(result.revision, 3)
        self.assertEqual(
            self.store.check_head(),
            make_request('', {1: 400, 2: 500}).bodies,
        )

    def test_refuses_a_concurrent_change_of_the_same_service(self) -> None:
        drive(self.store, publish(make_request('fast', {1: 500})))
        late = make_request('slow', {1: 400}, base=Revision(1))
        result = drive(self.store, publish(late))
        assert isinstance(result, Refused)
        difference = result.differences[0]
        self.assertEqual(
            (difference.service, difference.wanted, difference.found),
            (
                'desk-1',
                compute_digest(make_body(1, 400)),
                compute_digest(make_body(1, 500)),
            ),
        )
        self.assertEqual(len(self.store.history), 2)

    def test_checks_the_merged_files_of_a_rebase(self) -> None:
        moved = {**make_request('', {}).bodies}
        moved['desk-2'] = make_body(2, workload='other')
        drive(self.store, publish(PublishRequest('fast', moved)))
        merge = {'kind': 'count'}
        clash = {**make_request('', {}).bodies}
        clash['desk-3'] = make_body(3, workload='other', merge=merge)
        late = PublishRequest('slow', clash, base=Revision(1))
        with self.assertRaises(FindingsError) as caught:
            drive(self.store, publish(late))
        self.assertEqual(caught.exception.findings[0].code, 'merge_differs')

    def test_refuses_a_store_older_than_the_hosts(self) -> None:
        request = make_request('c', {1: 400}, min_revision=Revision(5))
        result = drive(self.store, publish(request))
        self.assertIsInstance(result, NotPublished)
        self.assertEqual(len(self.store.history), 1)

    def test_deletes_the_documents_of_an_interrupted_publish(self) -> None:
        before = self.store.list_documents()
        drive_to_swap(publish(make_request('cut', {1: 400})), self.store)
        self.assertGreater(self.store.list_documents(), before)
        self.assertEqual(drive(self.store, clean(CleanRequest('k', keep=3))), 0)
        drive(self.store, clean(CleanRequest('k', keep=0)))
        self.assertEqual(self.store.list_documents(), before)


class Actor:
    """A publish or a cleaning that runs in single steps, with faults."""

    def __init__(self, name: str, steps: Generator[StoreCall, StoreReply, Any]):
        self.name = name
        self.steps = steps
        self.call: StoreCall | None = next(steps)
        self.result: Any = None

    def step(self, store: FakeStore, fault: str) -> None:
        if self.call is None:
            return
        try:
            self.call = self.steps.send(store.perform(self.call, fault))
        except StopIteration as stop:
            self.call = None
            self.result = stop.value


def make_actors() -> list[Actor]:
    edits = ({1: 400}, {1: 500}, {2: 600}, {1: 400, 2: 700})
    actors = [
        Actor(
            f'p{number}',
            publish(make_request(f'p{number}', edit, base=Revision(1))),
        )
        for number, edit in enumerate(edits)
    ]
    return [
        *actors,
        Actor('k1', clean(CleanRequest('k1', keep=0))),
        Actor('k2', clean(CleanRequest('k2', keep=0))),
    ]


SEEDS = st.integers(0, (1 << 32) - 1)
STEPS = 70


def make_schedule(seed: int) -> list[tuple[int, str, bool]]:
    """Returns the steps of the actors; only odd seeds inject faults."""
    source = random.Random(seed)
    weights = (8, 1, 2, 2) if seed % 2 else (1, 0, 0, 0)
    return [
        (
            source.randrange(6),
            source.choices(FAULTS, weights)[0],
            not source.randrange(10),
        )
        for _ in range(STEPS)
    ]


class PublishRaceTest(unittest.TestCase):
    @DETERMINISTIC
    @given(SEEDS)
    def test_concurrent_publishes_are_atomic_and_report_their_results(
        self, seed: int
    ) -> None:
        store = FakeStore()
        drive(store, publish(make_request('first', {})))
        actors = make_actors()
        active = store.check_head()
        for number, fault, apply_delayed in make_schedule(seed):
            actors[number].step(store, fault)
            if apply_delayed:
                store.apply_delayed()
            active = self.check_step(store, active)
        for actor in actors:
            while actor.call is not None:
                actor.step(store, 'none')
                active = self.check_step(store, active)
        store.apply_delayed()
        self.check_step(store, active)
        self.check_results(store, actors)

    def check_step(
        self, store: FakeStore, before: dict[str, bytes]
    ) -> dict[str, bytes]:
        # KeyError here means that an active document was deleted.
        after = store.check_head()
        revisions = [root.revision for root in store.history]
        self.assertEqual(revisions, list(range(1, len(revisions) + 1)))
        changed = {name for name in after if after[name] != before[name]}
        allowed = {'p0': {'desk-1'}, 'p1': {'desk-1'}, 'p2': {'desk-2'}}
        if changed:
            everything = {'desk-1', 'desk-2'}
            change = store.history[-1].change
            self.assertLessEqual(changed, allowed.get(change, everything))
        return after

    def check_results(self, store: FakeStore, actors: list[Actor]) -> None:
        accepted = [root.change for root in store.history]
        self.assertEqual(len(set(accepted)), len(accepted))
        for actor in actors:
            match actor.result:
                case Published():
                    position = accepted.index(actor.name)
                    self.assertEqual(actor.result.revision, position + 1)
                case Unchanged() | Refused() | NotPublished():
                    self.assertNotIn(actor.name, accepted)
                case result:
                    self.assertIsInstance(result, PublishUnknown | int)
