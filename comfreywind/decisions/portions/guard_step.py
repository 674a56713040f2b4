"""Transitions of the session state: an event and a state give a new state and effects."""

from dataclasses import replace
from functools import singledispatch

from comfreywind.decisions.portions.guard import SessionState, is_session_valid
from comfreywind.decisions.portions.session_effects import (
    AgreeToFence,
    GrantPromise,
    RefusePromise,
    SessionEffect,
)
from comfreywind.decisions.portions.session_events import (
    FenceObserved,
    FenceRequested,
    PromiseReceived,
    PromiseRequested,
    RenewalConfirmed,
    RenewalObserved,
    SessionEvent,
)
from comfreywind.decisions.portions.totals import NumberMap, get_number, raise_number

SessionTransition = tuple[SessionState, tuple[SessionEffect, ...]]


@singledispatch
def apply_session_event(event: SessionEvent, session_state: SessionState) -> SessionTransition:
    """Return the session state after the event, and the messages to send."""
    raise TypeError(f'no transition is registered for the event {type(event).__name__}')


@apply_session_event.register
def _handle_renewal_confirmed(
    event: RenewalConfirmed, session_state: SessionState
) -> SessionTransition:
    extended = _extend_session(session_state, event.sent_s)
    number = max(session_state.renewal_number, event.renewal_number)
    return replace(extended, renewal_number=number), ()


@apply_session_event.register
def _handle_promise_received(
    event: PromiseReceived, session_state: SessionState
) -> SessionTransition:
    return _extend_session(session_state, event.requested_s), ()


@apply_session_event.register
def _handle_promise_request(
    event: PromiseRequested, session_state: SessionState
) -> SessionTransition:
    current = _drop_outdated_commitment(session_state, event.holder, event.renewal_number)
    committed = any(name == event.holder for name, _ in current.commitments)
    if committed or not event.is_member or not is_session_valid(current, event.now_s):
        return current, (RefusePromise(event.holder),)
    until_s = event.now_s + current.timing.observed_ttl_s
    granted = raise_number(_list_unexpired(current, event.now_s), event.holder, until_s)
    return replace(current, granted=granted), (GrantPromise(event.holder),)


@apply_session_event.register
def _handle_fence_request(event: FenceRequested, session_state: SessionState) -> SessionTransition:
    if session_state.fenced or event.now_s < session_state.silent_until_s:
        return session_state, ()
    granted = _list_unexpired(session_state, event.now_s)
    if any(name == event.holder for name, _ in granted):
        return session_state, ()
    commitments = raise_number(session_state.commitments, event.holder, event.renewal_number)
    agreed = replace(session_state, granted=granted, commitments=commitments)
    return agreed, (AgreeToFence(event.holder, event.renewal_number),)


@apply_session_event.register
def _handle_observed_renewal(
    event: RenewalObserved, session_state: SessionState
) -> SessionTransition:
    return _drop_outdated_commitment(session_state, event.holder, event.renewal_number), ()


@apply_session_event.register
def _handle_observed_fence(event: FenceObserved, session_state: SessionState) -> SessionTransition:
    return replace(session_state, fenced=True), ()


def _extend_session(session_state: SessionState, counted_from_s: float) -> SessionState:
    until_s = counted_from_s + session_state.timing.ttl_s
    return replace(session_state, valid_until_s=max(session_state.valid_until_s, until_s))


def _drop_outdated_commitment(
    session_state: SessionState, holder: str, renewal_number: int
) -> SessionState:
    """Drop the agreement to a fence that can no longer succeed because the holder has renewed."""
    if get_number(session_state.commitments, holder) >= renewal_number:
        return session_state
    remaining = tuple(pair for pair in session_state.commitments if pair[0] != holder)
    return replace(session_state, commitments=remaining)


def _list_unexpired(session_state: SessionState, now_s: float) -> NumberMap:
    return tuple(pair for pair in session_state.granted if now_s < pair[1])
