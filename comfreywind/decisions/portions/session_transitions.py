"""Transitions of the session state: an event and a state give a new state and effects."""

from dataclasses import replace
from functools import singledispatch

from comfreywind.decisions.portions.session_state import SessionState, is_session_valid
from comfreywind.decisions.portions.session_effects import (
    AgreeToFence,
    GrantPromise,
    SessionEffect,
    RefusePromise,
)
from comfreywind.decisions.portions.session_events import (
    FenceAsked,
    FenceSeen,
    SessionEvent,
    PromiseAsked,
    PromiseReceived,
    RenewalConfirmed,
    RenewalSeen,
)
from comfreywind.decisions.portions.totals import Totals, raise_total, read_total

SessionTransition = tuple[SessionState, tuple[SessionEffect, ...]]


@singledispatch
def apply_session_event(event: SessionEvent, guard: SessionState) -> SessionTransition:
    """Return the session state after the event, and the messages to send."""
    raise TypeError(f'no transition is registered for the event {type(event).__name__}')


@apply_session_event.register
def _handle_renewal_confirmed(event: RenewalConfirmed, guard: SessionState) -> SessionTransition:
    extended = _extend_session(guard, event.sent_s)
    number = max(guard.renewal_number, event.renewal_number)
    return replace(extended, renewal_number=number), ()


@apply_session_event.register
def _handle_promise_received(event: PromiseReceived, guard: SessionState) -> SessionTransition:
    return _extend_session(guard, event.asked_s), ()


@apply_session_event.register
def _handle_promise_request(event: PromiseAsked, guard: SessionState) -> SessionTransition:
    current = _drop_outdated_commitment(guard, event.holder, event.renewal_number)
    committed = any(name == event.holder for name, _ in current.commitments)
    if committed or not event.is_member or not is_session_valid(current, event.now_s):
        return current, (RefusePromise(event.holder),)
    until_s = event.now_s + current.timing.observed_ttl_s
    granted = raise_total(_list_unexpired(current, event.now_s), event.holder, until_s)
    return replace(current, granted=granted), (GrantPromise(event.holder),)


@apply_session_event.register
def _handle_fence_request(event: FenceAsked, guard: SessionState) -> SessionTransition:
    if guard.fenced or event.now_s < guard.silent_until_s:
        return guard, ()
    granted = _list_unexpired(guard, event.now_s)
    if any(name == event.holder for name, _ in granted):
        return guard, ()
    commitments = raise_total(guard.commitments, event.holder, event.renewal_number)
    agreed = replace(guard, granted=granted, commitments=commitments)
    return agreed, (AgreeToFence(event.holder, event.renewal_number),)


@apply_session_event.register
def _handle_observed_renewal(event: RenewalSeen, guard: SessionState) -> SessionTransition:
    return _drop_outdated_commitment(guard, event.holder, event.renewal_number), ()


@apply_session_event.register
def _handle_observed_fence(event: FenceSeen, guard: SessionState) -> SessionTransition:
    return replace(guard, fenced=True), ()


def _extend_session(guard: SessionState, counted_from_s: float) -> SessionState:
    until_s = counted_from_s + guard.timing.ttl_s
    return replace(guard, valid_until_s=max(guard.valid_until_s, until_s))


def _drop_outdated_commitment(
    guard: SessionState, holder: str, renewal_number: int
) -> SessionState:
    """Drop the agreement to a fence that can no longer succeed because the holder has renewed."""
    if read_total(guard.commitments, holder) >= renewal_number:
        return guard
    remaining = tuple(pair for pair in guard.commitments if pair[0] != holder)
    return replace(guard, commitments=remaining)


def _list_unexpired(guard: SessionState, now_s: float) -> Totals:
    return tuple(pair for pair in guard.granted if now_s < pair[1])
