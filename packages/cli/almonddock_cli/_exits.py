"""Exit codes that scripts can rely on."""

import enum


class Exit(enum.IntEnum):
    """What an exit code means, the same for every command."""

    OK = 0
    #: The command did not reach what it needs, or it failed there.
    UNAVAILABLE = 1
    #: The arguments or files are wrong; nothing was changed.
    INVALID = 2
    #: Another operator's change came first; nothing was changed.
    CONFLICT = 3
    #: The answer is not whole.
    PARTIAL = 4
    #: It is not known whether the change or request took effect.
    UNKNOWN = 5
