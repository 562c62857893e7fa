"""What admission asks its host to do."""

from dataclasses import dataclass

from almonddock_core.model import Reason, RequestId


@dataclass(frozen=True, slots=True)
class Admit:
    """Start the query now."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer that nothing was run, for the given reason."""

    request_id: RequestId
    reason: Reason


AdmissionAction = Admit | Refuse
