"""What the advice service has said about the targets of one step."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from comfreywind.scheduling.target_record import TargetRecord

# The part of a ticket's validity that is kept for the order to reach the target. Short validities
# keep a part in proportion, so that their tickets can be used at all.
TICKET_MARGIN_S = 0.4
TICKET_MARGIN_RATIO = 0.25
# A target that was not approved is named again after this time, if no other is left to ask about.
REFUSAL_VALIDITY_S = 2.0


@dataclass(frozen=True, slots=True)
class TargetAdvice:
    """The answer about one incarnation of a target, valid until a time on the holder's steady clock.

    `ticket` is empty if the service did not approve the target.
    """

    incarnation_start_ms: int
    ticket: str
    valid_until_s: float


@dataclass(slots=True)
class StepAdvice:
    """The answers of the advice service about the targets of one step, by target id.

    `failed_s` is when a question was last left without an answer, on the holder's steady clock.
    """

    answers: dict[str, TargetAdvice] = field(default_factory=dict)
    failed_s: float = -math.inf

    def list_tickets(self, targets: Iterable[TargetRecord], now_s: float) -> dict[str, str]:
        """Return the valid tickets by target id."""
        tickets: dict[str, str] = {}
        for target in targets:
            answer = self._get_answer(target)
            if answer is not None and answer.ticket and now_s < answer.valid_until_s:
                tickets[target.entry.target_id] = answer.ticket
        return tickets

    def get_ticket(self, target_id: str) -> str:
        """Return the last ticket for the target, or an empty string without one."""
        answer = self.answers.get(target_id)
        return '' if answer is None else answer.ticket

    def list_unanswered(
        self, targets: Iterable[TargetRecord], now_s: float
    ) -> tuple[list[TargetRecord], list[TargetRecord]]:
        """Return the targets without a valid answer, and apart from these the refused ones.

        Targets with an expired ticket come first. A target counts as refused if the service did not
        approve it and the answer has expired.
        """
        expired: list[TargetRecord] = []
        unknown: list[TargetRecord] = []
        refused: list[TargetRecord] = []
        for target in targets:
            answer = self._get_answer(target)
            if answer is None:
                unknown.append(target)
            elif now_s >= answer.valid_until_s:
                with_same_answer = expired if answer.ticket else refused
                with_same_answer.append(target)
        return expired + unknown, refused

    def record(
        self,
        incarnations: dict[str, int],
        tickets: dict[str, str],
        sent_s: float,
        validity_s: float,
    ) -> None:
        """Record the answer to a question that was sent at `sent_s` about these incarnations.

        The service may have issued the tickets at any time since then.
        """
        margin_s = min(TICKET_MARGIN_S, validity_s * TICKET_MARGIN_RATIO)
        for target_id, incarnation_start_ms in incarnations.items():
            ticket = tickets.get(target_id, '')
            valid_for_s = validity_s - margin_s if ticket else REFUSAL_VALIDITY_S
            until_s = sent_s + valid_for_s
            self.answers[target_id] = TargetAdvice(incarnation_start_ms, ticket, until_s)

    def discard_ticket(self, target_id: str, ticket: str) -> None:
        """Discard a ticket that its target has refused, unless there is a newer one."""
        if self.get_ticket(target_id) == ticket:
            self.answers.pop(target_id, None)

    def _get_answer(self, target: TargetRecord) -> TargetAdvice | None:
        """Return the answer about the present incarnation of a target."""
        answer = self.answers.get(target.entry.target_id)
        if answer is None or answer.incarnation_start_ms != target.incarnation_start_ms:
            return None
        return answer
