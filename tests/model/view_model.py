"""Model of one entry's view: an accepted version is never reverted, a stale view never served.

Entry A is checked; B and C are its peers. One tick is longer than a feed interval. A can lose its
connection to the store and to each peer at any time, since none of its steps is ever forced; if A
is frozen, it takes no step. B can freeze and resume; C, through which versions are accepted, can't.
The store can be down for all entries. The known gap in section 5.5 of the design is left out: the
store goes down only when a majority has the accepted version, and B attempts a read in each tick
unless it is frozen.
"""

from collections.abc import Iterator
from functools import lru_cache
from typing import Any, NamedTuple

from minicheck import Protocol

from comfreywind.decisions.freshness import compute_confirmed_s, count_needed_reports, is_fresh
from comfreywind.decisions.own_view import OwnView
from comfreywind.decisions.peer_report import PeerReport
from comfreywind.decisions.versions import is_newer_version
from comfreywind.decisions.view_summary import ViewSummary

FRESH_TICKS = 2
OLD = FRESH_TICKS + 1
COLD = OLD + 1
MEMBERS_COUNT = 3
NOTHING = (0, 0, 0)
QUERY, ANSWER = 1, 2


class ViewState(NamedTuple):
    """State of A, of B, of the store and of the messages to A.

    Ages are in ticks and are not counted beyond `OLD`; `a_age` is `COLD` after a restart of A.
    `link` is the stage, age and version of A's query to B. A report is its age and version.
    """

    accepted: int = 1
    since_accepted: int = 0
    store_up: bool = True
    a_version: int = 1
    a_known: int = 1
    a_age: int = 0
    a_attempt_age: int = 0
    a_contact_age: int = 0
    a_reverted: bool = False
    b_version: int = 1
    b_frozen: bool = False
    b_attempt_age: int = 0
    link: tuple[int, int, int] = NOTHING
    b_report: tuple[int, int] = (OLD, 0)
    c_report: tuple[int, int] = (OLD, 0)


Steps = Iterator[tuple[str, ViewState]]


class ViewModel:
    """The transitions of the model; `broken_rule` names a rule to break on purpose, if any.

    `arrival-time` dates a report by its arrival. `attempt-age` dates the report of a resumed peer
    as new although the peer has not tried to read the store since. `any-offer` applies offers of
    lower versions. `own-vote-enough` lets an entry confirm its view alone. `always-fresh` serves
    from any view.
    """

    def __init__(self, broken_rule: str = '', with_roll_out: bool = True) -> None:
        """Include either the roll-out of a second version or the age of A's last contact.

        With both, there would be three times as many states, and neither invariant depends on both.
        """
        self._broken_rule = broken_rule
        self._with_roll_out = with_roll_out

    def make_protocol(self) -> Protocol:
        """Return the model in the form that minicheck takes."""
        return Protocol(
            name='view',
            candidate=False,
            fields=ViewState._fields,
            initial=ViewState(),
            transitions=lambda state: list(self._list_steps(ViewState(*state))),
            invariants=self._list_invariants(),
        )

    def _list_invariants(self) -> dict[str, Any]:
        if not self._with_roll_out:
            return {'cut off fails closed': self._has_contact_if_serving}
        return {
            'accepted version in force': self._has_accepted_version_if_serving,
            'never reverts': lambda fields: not fields['a_reverted'],
        }

    def _serves(self, state: dict[str, Any]) -> bool:
        confirmed_s = None if state['a_age'] == COLD else -state['a_age']
        if self._broken_rule == 'always-fresh':
            return bool(state['a_version'])
        return state['a_version'] > 0 and is_fresh(0, confirmed_s, FRESH_TICKS)

    def _has_accepted_version_if_serving(self, state: dict[str, Any]) -> bool:
        in_time = state['since_accepted'] <= FRESH_TICKS
        return in_time or state['a_version'] >= state['accepted'] or not self._serves(state)

    def _has_contact_if_serving(self, state: dict[str, Any]) -> bool:
        return state['a_contact_age'] <= FRESH_TICKS or not self._serves(state)

    def _list_steps(self, state: ViewState) -> Steps:
        yield from _list_store_steps(state, self._with_roll_out)
        yield from _list_peer_steps(state)
        yield from self._list_own_steps(state)
        if _may_tick(state):
            contact_age = 0 if self._with_roll_out else _increase_age(state.a_contact_age)
            yield 'tick', _tick(state)._replace(a_contact_age=contact_age)

    def _list_own_steps(self, state: ViewState) -> Steps:
        if state.store_up:
            read = self._apply_version(state, state.accepted)
            read = read._replace(a_age=0, a_attempt_age=0, a_contact_age=0)
            yield 'A reads the store', read
        if state.a_age != COLD:
            yield 'A fails to read the store', self._confirm(state._replace(a_attempt_age=0))
        yield 'A asks B', state._replace(link=(QUERY, 0, 0))
        stage, age, version = state.link
        if stage == ANSWER:
            after_b_answer = state._replace(
                link=NOTHING,
                b_report=(0 if self._broken_rule == 'arrival-time' else age, version),
                a_known=max(state.a_known, version),
                a_contact_age=min(state.a_contact_age, age),
            )
            yield 'A hears B', self._confirm(after_b_answer)
        after_c_report = state._replace(
            c_report=(0, state.accepted), a_known=max(state.a_known, state.accepted)
        )
        yield 'A hears C', self._confirm(after_c_report._replace(a_contact_age=0))
        for version in range(1, state.accepted + 1):
            yield f'A gets offer {version}', self._confirm(self._apply_version(state, version))
        yield (
            'A restarts',
            state._replace(
                a_version=0,
                a_known=0,
                a_age=COLD,
                a_attempt_age=OLD,
                link=NOTHING,
                b_report=(OLD, 0),
                c_report=(OLD, 0),
            ),
        )

    def _apply_version(self, state: ViewState, version: int) -> ViewState:
        is_applied = is_newer_version(state.a_version, version) or self._broken_rule == 'any-offer'
        if not is_applied:
            return state
        return state._replace(
            a_version=version,
            a_known=max(state.a_known, version),
            a_reverted=state.a_reverted or version < state.a_version,
        )

    def _confirm(self, state: ViewState) -> ViewState:
        needed_count = count_needed_reports(MEMBERS_COUNT, state.a_age == COLD)
        if self._broken_rule == 'own-vote-enough':
            needed_count = 1
        own_report = (OLD, 0) if state.a_age == COLD else (state.a_attempt_age, state.a_version)
        reports = (own_report, state.b_report, state.c_report)
        confirmed_s = compute_model_confirmed_s(
            state.a_version, state.a_known, reports, needed_count
        )
        if confirmed_s is None:
            return state
        return state._replace(a_age=min(state.a_age, int(-confirmed_s)))


@lru_cache(maxsize=None)
def compute_model_confirmed_s(
    version: int, accepted_version: int, reports: tuple[tuple[int, int], ...], needed_count: int
) -> float | None:
    """Call the decision with reports given as (age, version); cached, since inputs recur often."""
    own = OwnView(ViewSummary(version, 0, 0), accepted_version, frozenset(), frozenset())
    peer_reports = [
        PeerReport(str(index), -age, ViewSummary(report_version, 0, 0))
        for index, (age, report_version) in enumerate(reports)
    ]
    return compute_confirmed_s(own, peer_reports, needed_count, -FRESH_TICKS)


class AttemptBlindViewModel(ViewModel):
    """View model with the rule `attempt-age` broken: B's last attempt always counts as new."""

    def _list_steps(self, state: ViewState) -> Steps:
        yield from super()._list_steps(state._replace(b_attempt_age=0))


def make_model(broken_rule: str, with_roll_out: bool) -> Protocol:
    """Return the model with the named rule broken; an empty name breaks none."""
    model_type = AttemptBlindViewModel if broken_rule == 'attempt-age' else ViewModel
    return model_type(broken_rule, with_roll_out).make_protocol()


def _list_store_steps(state: ViewState, with_roll_out: bool) -> Steps:
    if with_roll_out and state.accepted == 1 and state.store_up:
        yield 'version 2 accepted', state._replace(accepted=2, since_accepted=0)
    holders = (state.a_version, state.b_version, state.accepted).count(state.accepted)
    if not state.store_up:
        yield 'store up', state._replace(store_up=True)
    elif holders * 2 > MEMBERS_COUNT:
        yield 'store down', state._replace(store_up=False)


def _list_peer_steps(state: ViewState) -> Steps:
    if state.b_frozen:
        yield 'B resumes', state._replace(b_frozen=False)
        return
    yield 'B freezes', state._replace(b_frozen=True)
    version = state.accepted if state.store_up else state.b_version
    yield 'B tries to read the store', state._replace(b_version=version, b_attempt_age=0)
    stage, age, _ = state.link
    if stage == QUERY:
        as_of_age = min(OLD, age + state.b_attempt_age)
        yield 'B answers', state._replace(link=(ANSWER, as_of_age, state.b_version))


def _may_tick(state: ViewState) -> bool:
    """Return whether B has attempted its read of this tick, or is frozen."""
    up_to_date = state.b_version == state.accepted or not state.store_up
    return state.b_frozen or (up_to_date and state.b_attempt_age == 0)


def _tick(state: ViewState) -> ViewState:
    stage, age, version = state.link
    since = min(OLD, state.since_accepted + 1) if state.accepted == 2 else 0
    return state._replace(
        since_accepted=since,
        a_age=state.a_age if state.a_age == COLD else _increase_age(state.a_age),
        a_attempt_age=OLD if state.a_age == COLD else _increase_age(state.a_attempt_age),
        b_attempt_age=_increase_age(state.b_attempt_age),
        # An answer older than this has no effect, so it is dropped.
        link=(stage, age + 1, version) if stage and age + 1 < OLD else NOTHING,
        b_report=_age_report(state.b_report),
        c_report=_age_report(state.c_report),
    )


def _increase_age(age: int) -> int:
    return min(OLD, age + 1)


def _age_report(report: tuple[int, int]) -> tuple[int, int]:
    age, version = report
    return (_increase_age(age), version) if age + 1 < OLD else (OLD, 0)
