"""Checks the configuration, publishes it and distributes it to every host.

:func:`check_files` validates the operators' files and reports all faults at
once; :func:`publish` makes them the active configuration by one atomic write
to the store; :func:`clean` deletes unreferenced documents. See
:mod:`almonddock_core.deployment` for the schemas of the files and
:mod:`almonddock_core.store` for how the generators here use the store.
"""

from almonddock_core.configuration._actions import (
    Announce,
    ConfigurationAction,
    Fetch,
    Install,
    RaiseAlarm,
    RepairStore,
    Source,
)
from almonddock_core.configuration._changes import (
    DATA_CENTRES,
    Changes,
    ServiceConflict,
    compare,
)
from almonddock_core.configuration._check import (
    DATA_CENTRES_FILE,
    CheckedFiles,
    check_files,
)
from almonddock_core.configuration._clean import CleanRequest, clean
from almonddock_core.configuration._documents import (
    Digest,
    Root,
    Snapshot,
    compute_digest,
    decode_root,
    encode_root,
    normalise_body,
)
from almonddock_core.configuration._messages import (
    ConfigurationHead,
    DocumentReply,
    DocumentRequest,
)
from almonddock_core.configuration._publish import (
    NotPublished,
    Published,
    PublishRequest,
    PublishResult,
    PublishUnknown,
    Refused,
    Unchanged,
    build_request,
    compute_digests,
    publish,
)
from almonddock_core.configuration._repair import repair
from almonddock_core.configuration._state import (
    ConfigurationSettings,
    ConfigurationState,
    ConfigurationStatus,
)
from almonddock_core.configuration._store_reads import (
    CLEANER_KEY,
    DOCUMENT_PREFIX,
    HEAD_KEY,
    Head,
    StoreSteps,
    build_document_key,
    read_documents,
    read_head,
)
from almonddock_core.configuration._watchers import choose_watchers

__all__ = [
    'CLEANER_KEY',
    'DATA_CENTRES',
    'DATA_CENTRES_FILE',
    'DOCUMENT_PREFIX',
    'HEAD_KEY',
    'Announce',
    'Changes',
    'CheckedFiles',
    'CleanRequest',
    'ConfigurationAction',
    'ConfigurationHead',
    'ConfigurationSettings',
    'ConfigurationState',
    'ConfigurationStatus',
    'Digest',
    'DocumentReply',
    'DocumentRequest',
    'Fetch',
    'Head',
    'Install',
    'NotPublished',
    'PublishRequest',
    'PublishResult',
    'PublishUnknown',
    'Published',
    'RaiseAlarm',
    'Refused',
    'RepairStore',
    'Root',
    'ServiceConflict',
    'Snapshot',
    'Source',
    'StoreSteps',
    'Unchanged',
    'build_document_key',
    'build_request',
    'check_files',
    'choose_watchers',
    'clean',
    'compare',
    'compute_digest',
    'compute_digests',
    'decode_root',
    'encode_root',
    'normalise_body',
    'publish',
    'read_documents',
    'read_head',
    'repair',
]
