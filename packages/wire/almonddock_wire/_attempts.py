"""Attempt ids, which consist of the request's id and a number."""

from almonddock_core.model import AttemptId, RequestId

_SEPARATOR = ':'


def build_attempt_id(request_id: RequestId, number: int) -> AttemptId:
    """Returns the id of one attempt of a request."""
    return AttemptId(f'{request_id}{_SEPARATOR}{number}')


def read_attempt_number(attempt_id: AttemptId) -> int:
    """Returns the number in an attempt id.

    Raises:
        ValueError: the id does not end with a number.
    """
    return int(attempt_id.rpartition(_SEPARATOR)[2])
