"""The configuration: checked, published and brought to every host.

:func:`check_files` reads the operators' files and reports every fault
together. See :mod:`almonddock_core.deployment` for the shapes of the files.
"""

from almonddock_core.configuration._check import (
    DATA_CENTRES_FILE,
    CheckedFiles,
    check_files,
)

__all__ = [
    'CheckedFiles',
    'DATA_CENTRES_FILE',
    'check_files',
]
