"""Carries a refusal up to the caller's side."""

from comfreywind.decisions.refusal import Refusal
from comfreywind.errors import ComfreywindError


class RefusalError(ComfreywindError):
    """Ends a request with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal that the caller gets."""
        super().__init__(refusal.detail)
        self.refusal = refusal
