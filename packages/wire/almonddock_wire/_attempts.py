"""The names of tries: the request's id and a number."""

from almonddock_core.model import AttemptId, RequestId

_SEPARATOR = ':'


def build_attempt_id(request_id: RequestId, number: int) -> AttemptId:
    """Returns the name of one try of a request."""
    return AttemptId(f'{request_id}{_SEPARATOR}{number}')


def read_attempt_number(attempt_id: AttemptId) -> int:
    """Returns the number of the try.

    Raises:
        ValueError: the name does not end with a number.
    """
    return int(attempt_id.rpartition(_SEPARATOR)[2])
