"""Errors with stable codes."""


class AlmonddockError(Exception):
    """The base of all errors that the project raises on purpose.

    ``code`` is stable and documented on the operators' pages; the message
    is for people and may change.
    """

    code = 'internal'

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class InvalidRequestError(AlmonddockError):
    """A caller's request is malformed; nothing was run.

    ``pointer`` is the JSON pointer of the fault in the request body.
    """

    code = 'invalid_request'

    def __init__(self, message: str, pointer: str = '') -> None:
        super().__init__(message)
        self.pointer = pointer


class UnknownWorkloadError(InvalidRequestError):
    """The workload is not in the configuration; nothing was run."""

    code = 'unknown_workload'


class OutcomeUnknownError(AlmonddockError):
    """A write may or may not have taken effect."""

    code = 'outcome_unknown'


class StoreUnavailableError(AlmonddockError):
    """The platform's store did not accept the call; nothing took effect."""

    code = 'store_unavailable'
