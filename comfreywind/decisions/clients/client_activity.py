"""What one connection of a client has done so far."""

from dataclasses import dataclass

from comfreywind.decisions.clients.client_phase import ClientPhase


@dataclass(frozen=True, slots=True)
class ClientActivity:
    """The phase of a connection since `since_s`, and the bytes that it takes up.

    `age_s` is the time in the phase. `received_bytes` counts what has come of the present request,
    `held_bytes` what of it is in memory.
    """

    phase: ClientPhase
    age_s: float
    received_bytes: int
    held_bytes: int
