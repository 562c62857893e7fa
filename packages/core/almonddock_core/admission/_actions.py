"""Actions that admission returns for its host to carry out."""

from dataclasses import dataclass

from almonddock_core.model import Reason, RequestId


@dataclass(frozen=True, slots=True)
class Admit:
    """Start the query now."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer that the query was not run, with the reason."""

    request_id: RequestId
    reason: Reason


AdmissionAction = Admit | Refuse
