"""Exception for refused requests."""

from comfreywind.decisions.refusal import Refusal
from comfreywind.errors import ComfreywindError


class RefusalError(ComfreywindError):
    """Raised to end a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal that is sent to the caller."""
        super().__init__(refusal.detail)
        self.refusal = refusal
