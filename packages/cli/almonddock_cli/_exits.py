"""Exit codes, which are stable for scripts."""

import enum


class ExitCode(enum.IntEnum):
    """The exit codes of every command."""

    OK = 0
    #: A host or the store cannot be reached, or the operation failed there. For
    #: ``explain``: no line is about the request; for ``report``: a bound does
    #: not hold.
    UNAVAILABLE = 1
    #: The arguments or files are invalid; nothing was changed.
    INVALID = 2
    #: Another operator published a conflicting change; nothing was changed.
    CONFLICT = 3
    #: The answer lacks some shards.
    PARTIAL = 4
    #: It is not known whether the change or request took effect.
    UNKNOWN = 5
