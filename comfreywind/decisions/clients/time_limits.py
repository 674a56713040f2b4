"""How long a client may take for its part of a request."""

from dataclasses import dataclass

from comfreywind.decisions.clients.client_activity import ClientActivity
from comfreywind.decisions.clients.client_phase import ClientPhase


# Requests in a row that were sent before the reply to the one before. Callers send none.
AHEAD_LIMIT = 4


@dataclass(frozen=True, slots=True)
class TimeLimits:
    """Times for a whole head, for a whole body after it, and for reading what is sent.

    Callers wait 3 s for a reply, and the largest body takes 0.42 s on their slowest link. So no
    client of which a reply could still reach its caller meets these limits.
    """

    head_s: float = 10
    body_s: float = 10
    reply_s: float = 10

    def is_exceeded(self, activity: ClientActivity) -> bool:
        """Return whether the client has taken longer than it may in its present phase."""
        limits = {
            ClientPhase.HEAD: self.head_s,
            ClientPhase.BODY: self.body_s,
            ClientPhase.REPLY: self.reply_s,
        }
        limit_s = limits.get(activity.phase)
        return limit_s is not None and activity.age_s > limit_s
