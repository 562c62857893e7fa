"""A fake store with fault injection, for property tests."""

from dataclasses import dataclass, field

from almonddock_core.configuration import (
    DOCUMENT_PREFIX,
    HEAD_KEY,
    Digest,
    Root,
    build_document_key,
    compute_digest,
    decode_root,
)
from almonddock_core.configuration._documents import decode_bucket
from almonddock_core.store import (
    Conflict,
    DeleteValue,
    Guard,
    ListRevisions,
    PutValues,
    ReadValues,
    Revisions,
    StoreCall,
    StoredValue,
    StoreReply,
    Swapped,
    SwapValue,
    Unavailable,
    Unknown,
    Values,
)

#: No fault, the call is lost, the reply is lost, or the call is executed
#: later.
FAULTS = ('none', 'unavailable', 'lost_reply', 'late')


@dataclass
class FakeStore:
    """Executes one call at a time, delayed writes on request."""

    revision: int = 1
    values: dict[str, StoredValue] = field(default_factory=dict)
    delayed: list[StoreCall] = field(default_factory=list)
    #: Every root that was ever the head.
    history: list[Root] = field(default_factory=list)

    def perform(self, call: StoreCall, fault: str = 'none') -> StoreReply:
        if fault == 'unavailable':
            return Unavailable('down')
        writes = isinstance(call, PutValues | SwapValue | DeleteValue)
        if fault == 'late' and writes:
            self.delayed.append(call)
        if fault == 'none' or (fault == 'lost_reply' and writes):
            reply = self._apply(call)
            if fault == 'none':
                return reply
        if isinstance(call, SwapValue | DeleteValue):
            return Unknown('no reply')
        return Unavailable('no reply')

    def apply_delayed(self) -> None:
        for call in self.delayed:
            self._apply(call)
        self.delayed.clear()

    def _apply(self, call: StoreCall) -> StoreReply:
        match call:
            case ReadValues():
                return Values(
                    {
                        key: self.values[key]
                        for key in call.keys
                        if key in self.values
                    }
                )
            case ListRevisions():
                return Revisions(
                    {
                        key: stored.revision
                        for key, stored in self.values.items()
                        if key.startswith(call.prefix)
                    }
                )
            case PutValues():
                for key, content in call.contents.items():
                    self._write(key, content)
                return Values({})
            case SwapValue():
                return self._swap(call)
            case DeleteValue():
                if self._is_at(call.key, call.expected):
                    self.values.pop(call.key)
                    self.revision += 1
                    return Swapped(self.revision)
                return Conflict(self.values.get(call.key))

    def _swap(self, call: SwapValue) -> StoreReply:
        guard = call.guard or Guard(call.key, call.expected)
        if not self._is_at(call.key, call.expected) or not self._is_at(
            guard.key, guard.revision
        ):
            return Conflict(self.values.get(call.key))
        self._write(call.key, call.content)
        if call.key == HEAD_KEY:
            self.history.append(decode_root(call.content))
        return Swapped(self.revision)

    def _write(self, key: str, content: bytes) -> None:
        self.revision += 1
        self.values[key] = StoredValue(content, self.revision)

    def _is_at(self, key: str, revision: int | None) -> bool:
        if key not in self.values:
            return revision is None
        return self.values[key].revision == revision

    def put_document(self, key: str, content: bytes) -> None:
        if key not in self.values:
            self._write(key, content)

    def read_document(self, digest: Digest) -> bytes:
        return self.values[build_document_key(digest)].value

    def read_services(self, root: Root) -> dict[str, bytes]:
        """Returns the bodies of a root; raises KeyError if one is missing."""
        bodies: dict[str, bytes] = {}
        for bucket in root.buckets.values():
            entries = decode_bucket(self.read_document(bucket))
            bodies.update(
                (name, self.read_document(digest))
                for name, digest in entries.items()
            )
        return bodies

    def list_documents(self) -> set[str]:
        return {key for key in self.values if key.startswith(DOCUMENT_PREFIX)}

    def check_head(self) -> dict[str, bytes]:
        """Returns the active bodies; KeyError if a document is missing."""
        if HEAD_KEY not in self.values:
            return {}
        head = self.values[HEAD_KEY].value
        assert self.read_document(compute_digest(head)) == head
        return self.read_services(decode_root(head))
