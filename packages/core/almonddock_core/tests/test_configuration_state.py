import random
import unittest
from datetime import timedelta

from almonddock_core.configuration import (
    HEAD_KEY,
    Announce,
    ConfigurationAction,
    ConfigurationHead,
    ConfigurationSettings,
    ConfigurationState,
    Digest,
    DocumentReply,
    DocumentRequest,
    Fetch,
    Install,
    RaiseAlarm,
    RepairStore,
    publish,
    repair,
)
from almonddock_core.model import DataCentreId, HostId, Revision
from almonddock_core.tests.configuration_store import FakeStore
from almonddock_core.tests.test_configuration_publish import (
    drive,
    make_request,
)

SECOND = timedelta(seconds=1)
NOW = 10 * SECOND
PEER = HostId('peer')


def make_state(name: str = 'own') -> ConfigurationState:
    settings = ConfigurationSettings(HostId(name), DataCentreId('north'))
    return ConfigurationState(settings, random.Random(1), NOW)


def publish_change(store: FakeStore, change: str, deadline: int) -> bytes:
    drive(store, publish(make_request(change, {1: deadline})))
    return store.values[HEAD_KEY].value


def read_reply(store: FakeStore, request: DocumentRequest) -> DocumentReply:
    return DocumentReply(
        tuple(store.read_document(digest) for digest in request.digests)
    )


def answer_fetches(
    state: ConfigurationState,
    store: FakeStore,
    actions: list[ConfigurationAction],
) -> list[ConfigurationAction]:
    """Answers each fetch from the store and returns the other actions."""
    others: list[ConfigurationAction] = []
    while actions:
        action = actions.pop(0)
        if isinstance(action, Fetch):
            reply = read_reply(store, DocumentRequest(action.digests))
            actions += state.receive(action.source, reply, NOW)
        else:
            others.append(action)
    return others


def list_codes(actions: list[ConfigurationAction]) -> list[str]:
    return [action.code for action in actions if isinstance(action, RaiseAlarm)]


class ConfigurationStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        self.first = publish_change(self.store, 'a', 300)
        self.state = make_state()
        self.actions = answer_fetches(
            self.state,
            self.store,
            self.state.receive_stored_head(self.first, NOW),
        )

    def send_head(
        self, state: ConfigurationState, now: timedelta = NOW
    ) -> list[ConfigurationAction]:
        return state.receive_head(PEER, self.state.describe_head(now), now)

    def test_installs_and_announces_the_configuration_of_the_store(
        self,
    ) -> None:
        kinds = [type(action) for action in self.actions]
        self.assertEqual(kinds, [Install, Announce])
        self.assertEqual(len(self.state.deployment.services), 2)
        status = self.state.report_status(NOW)
        self.assertEqual((status.revision, status.unready), (1, ''))

    def test_fetches_only_what_changed(self) -> None:
        content = publish_change(self.store, 'b', 400)
        actions = self.state.receive_stored_head(content, NOW)
        fetched: list[Digest] = []
        while actions and isinstance(actions[0], Fetch):
            fetched += actions[0].digests
            reply = read_reply(self.store, DocumentRequest(actions[0].digests))
            actions = self.state.receive(None, reply, NOW)
        # One bucket and one body; the watch delivered the root.
        self.assertEqual(len(fetched), 2)
        self.assertEqual(self.state.deployment.revision, 2)

    def test_fetches_the_whole_configuration_from_a_peer(self) -> None:
        fresh = make_state('fresh')
        actions = self.send_head(fresh)
        for _ in range(3):
            self.assertIsInstance(actions[0], Fetch)
            assert isinstance(actions[0], Fetch)
            self.assertEqual(actions[0].source, PEER)
            reply = self.state.answer(DocumentRequest(actions[0].digests))
            actions = fresh.receive(PEER, reply, NOW)
        self.assertEqual(fresh.deployment, self.state.deployment)
        self.assertEqual(fresh.report_status(NOW).unready, '')

    def test_refuses_an_older_store_and_repairs_it(self) -> None:
        content = publish_change(self.store, 'b', 400)
        answer_fetches(
            self.state, self.store, self.state.receive_stored_head(content, NOW)
        )
        for older in (self.first, None):
            later = NOW + 10 * SECOND * (older is None)
            actions = self.state.receive_stored_head(older, later)
            self.assertEqual(list_codes(actions), ['store_older'])
            self.assertEqual(actions[1], RepairStore())
            again = self.state.receive_stored_head(older, later + SECOND)
            self.assertNotIn(RepairStore(), again)
        self.assertEqual(self.state.deployment.revision, 2)
        self.assertEqual(
            self.state.report_status(NOW).alarms, {'store_older': 4}
        )

    def test_refuses_an_older_peer_and_different_content(self) -> None:
        cases: tuple[tuple[ConfigurationHead, list[str]], ...] = (
            (ConfigurationHead(), []),
            (ConfigurationHead(Revision(1), Digest('x')), ['forked']),
        )
        for head, codes in cases:
            with self.subTest(head=head):
                actions = self.state.receive_head(PEER, head, NOW)
                self.assertEqual(list_codes(actions), codes)
                self.assertEqual(len(actions), len(codes))

    def test_refuses_an_invalid_root(self) -> None:
        document = b'{"revision": 9}'
        reply = DocumentReply((document,))
        head = ConfigurationHead(
            Revision(9), Digest('f96d3aa0b5f49efb2ea3cb4ec7a9a7c5')
        )
        store = FakeStore()
        drive(store, publish(make_request('a', {})))
        # The content does not have the requested digest, which is arbitrary,
        # so it is dropped.
        actions = self.state.receive_head(PEER, head, NOW)
        self.assertEqual(actions, [Fetch(PEER, (head.digest,))])
        again = self.state.receive(PEER, reply, NOW)
        self.assertEqual(again, [Fetch(PEER, (head.digest,))])
        self.assertEqual(
            self.state.receive_stored_head(document, NOW)[0].__class__,
            RaiseAlarm,
        )
        self.assertEqual(self.state.deployment.revision, 1)

    def test_asks_another_peer_after_a_timeout(self) -> None:
        fresh = make_state('fresh')
        self.send_head(fresh)
        other = HostId('other')
        head = self.state.describe_head(NOW)
        self.assertEqual(fresh.receive_head(other, head, NOW), [])
        actions = fresh.tick(NOW + SECOND)
        assert isinstance(actions[0], Fetch)
        self.assertEqual(actions[0].source, other)

    def test_reports_isolation_and_missing_configuration(self) -> None:
        self.assertEqual(
            self.state.report_status(NOW + 15 * SECOND).unready, ''
        )
        late = NOW + 16 * SECOND
        self.assertEqual(self.state.report_status(late).unready, 'isolated')
        self.send_head(self.state, late)
        self.assertEqual(self.state.report_status(late).unready, '')
        self.assertEqual(
            make_state().report_status(NOW).unready, 'no_configuration'
        )

    def test_repairs_a_store_that_lost_everything(self) -> None:
        digest = self.state.describe_head(NOW).digest
        documents = self.state.list_documents()
        empty = FakeStore()
        self.assertTrue(drive(empty, repair(digest, documents)))
        self.assertEqual(empty.check_head(), self.store.check_head())
        self.assertFalse(drive(empty, repair(digest, documents)))
