"""Model of a leader's authority to order without the store, and of its successors' waits.

A leader orders while its last recorded renewal is recent, or, for longer, while each member of its
roster has freshly stated that it has claimed nothing. A pause of the leader is a time in which it
takes no steps. A cut link carries no message, and a store that a node cannot reach takes no appends
of it, so both are steps that are not taken, too. One message at a time may be delayed by any number
of ticks, and others overtake it.

Successors are expected to use their full wait, as long as no worker answers them. They are leaders
without a roster: their own authority ends with their renewals.
"""

import dataclasses
import itertools
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol, replace_item

__all__ = [
    "AUTHORITY_TICKS",
    "LEASE_TICKS",
    "OUTAGE_AUTHORITY_TICKS",
    "RULES",
    "Bounds",
    "Follower",
    "State",
    "View",
    "has_authority",
    "has_outage_authority",
    "make_model",
]

AUTHORITY_TICKS = 1
"""A renewal or an echo that is younger counts as recent."""

OUTAGE_AUTHORITY_TICKS = 3
"""Age of the last renewal from which fresh statements no longer replace it."""

LEASE_TICKS = 1

FOLLOWERS = 2
STEADY = 0
BLIND = 1
MAX_SUCCESSORS = 2
NO_CLAIM = -1
DELAYED_FOLLOWER = 0
"""The follower whose messages may be delayed, and whose process may be replaced."""

RULES = (
    "all_members",
    "echo",
    "unanswered_claim",
    "newest_epoch",
    "one_process",
    "in_order",
    "roster_on_record",
    "recorded_version",
    "promised_version",
    "blind_promise",
    "echoed_statement",
    "long_wait",
    "inherited_wait",
    "renewal_start",
    "proof_after_claim",
    "deadline_first",
)
"""Rules that may be left out.

all_members
    Each member's statement is needed, not a heartbeat of any peer.
echo
    A statement is as old as the leader's heartbeat that it echoes, not as its arrival.
unanswered_claim
    A node that does not know the outcome of its claim does not state that it has claimed nothing.
newest_epoch
    A statement that knows of a newer epoch ends the authority.
one_process
    A member is a process; the next process of its node is another one, since a claim of the first
    may be carried out when it has ended.
in_order
    A statement older than the last accepted one is ignored.
roster_on_record
    A member is dropped only by a renewal that is recorded with a higher version.
recorded_version
    A leader tells its followers only of versions that it knows to be recorded.
promised_version
    A promise counts only if it is not older than the version in the record that is claimed over.
blind_promise
    A follower gives its promise up by stating that it does not reach the store.
echoed_statement
    A promise counts only if the leader has accepted a statement after the last blind one.
long_wait
    A claimant without a promise waits for the end of the outage authority.
inherited_wait
    A claimant waits also for what is left of its predecessor's bound.
renewal_start
    A renewal is as old as its start, not as its answer.
proof_after_claim
    A heartbeat that no longer leads shortens the wait only if it echoes one sent after the claim.
deadline_first
    An order's deadline is computed before the authority is checked, not after.
"""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search: versions of the roster, blind spells and restarts of followers."""

    versions: int = 2
    blind_spells: int = 1
    restarts: int = 1


class Follower(NamedTuple):
    """A follower's process, and what it knows of the leader.

    ``spell`` counts the alternations of statements that reach the store and that do not: an odd
    one is blind. ``echo`` is the age of the last heartbeat that it has read, and ``promise`` the
    version that it was told last. ``claim`` is the rest of the wait of a claim whose outcome is
    open; one that failed is as good as none, and one that was recorded as good as knowing of a
    newer epoch.
    """

    process: int = 0
    spell: int = STEADY
    echo: int = AUTHORITY_TICKS
    promise: int = 0
    claim: int = NO_CLAIM
    knows_newer: bool = False


class View(NamedTuple):
    """The last statement of a follower that the leader has accepted."""

    process: int = 0
    spell: int = STEADY
    echo: int = AUTHORITY_TICKS


class Renewal(NamedTuple):
    """A renewal that is recorded and not answered yet."""

    age: int
    version: int
    members: tuple


class Heartbeat(NamedTuple):
    """A delayed heartbeat of the leader; it no longer leads, or does not yet, if its age is -1."""

    follower: int
    age: int
    version: int
    process: int
    spell: int


class Statement(NamedTuple):
    """A delayed statement of a follower."""

    follower: int
    process: int
    spell: int
    echo: int


_NO_MEMBERS = (-1,) * FOLLOWERS
_FIRST_ROSTERS = tuple(itertools.product((-1, 0), repeat=FOLLOWERS))
_EARLIER_HEARTBEAT = Heartbeat(DELAYED_FOLLOWER, -1, 0, 0, 0)


class State(NamedTuple):
    """The old leader, its followers, the record in the store, and the longest lease of a run.

    ``members`` has each member's process, or -1. ``orphan`` is a claim of a process that has ended.
    ``successors`` counts the claims on record after the old leader's, and ``recorded_wait`` is the
    newest one's rest of its wait, ``start_wait`` the shortest one's. ``owner`` is the claimant of
    the newest, with its process.
    """

    renewal_age: int = 0
    version: int = 0
    members: tuple = _NO_MEMBERS
    views: tuple = (View(),) * FOLLOWERS
    renewal: Renewal | tuple = ()
    is_deposed: bool = False
    is_checked: bool = False
    lease: int = 0
    is_late_order: bool = False
    followers: tuple = (Follower(),) * FOLLOWERS
    recorded_version: int = 0
    orphan: int = NO_CLAIM
    successors: int = 0
    wait: int = 0
    delayed: Heartbeat | Statement | tuple = _EARLIER_HEARTBEAT


def has_outage_authority(state: State, rules: Rules) -> bool:
    """Check whether the members' statements let the leader order without a recent renewal."""
    if not state.version or state.renewal_age >= OUTAGE_AUTHORITY_TICKS:
        return False
    if not rules.holds("all_members"):
        return any(view.echo < AUTHORITY_TICKS for view in state.views)
    return all(
        _is_covered(view, process, rules)
        for view, process in zip(state.views, state.members, strict=True)
        if process >= 0
    )


def _is_covered(view: View, process: int, rules: Rules) -> bool:
    if view.process != process and rules.holds("one_process"):
        return False
    return view.spell % 2 == BLIND or view.echo < AUTHORITY_TICKS


def has_authority(state: State, rules: Rules) -> bool:
    """Check whether the old leader may order, renew and acknowledge."""
    if state.is_deposed:
        return False
    return state.renewal_age < AUTHORITY_TICKS or has_outage_authority(state, rules)


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._rules = rules
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        steps = [("tick", _tick(state)), *self._leader_steps(state)]
        for number, follower in enumerate(state.followers):
            steps += self._heartbeat_steps(state, number, follower)
            steps += self._statement_steps(state, number, follower)
            steps += self._claim_steps(state, number, follower)
            steps += self._spell_steps(state, number, follower)
        if state.orphan != NO_CLAIM:
            recorded = self._record_claim(state, state.orphan)
            steps.append(("the claim of an ended process is recorded", recorded))
        steps += self._delayed_steps(state)
        if state == State():
            steps += [(f"roster {each} is known to all", _begin(each)) for each in _FIRST_ROSTERS]
        nexts = [(label, _normalise(after, self._rules)) for label, after in steps]
        return [(label, after) for label, after in nexts if after != state]

    # -- the old leader --------------------------------------------------------------------

    def _leader_steps(self, state: State) -> list:
        if state.is_deposed:
            return []
        steps = self._order_steps(state)
        if state.renewal:
            steps.append(("the renewal is answered", self._answer_renewal(state)))
        if state.successors:
            return [*steps, ("the leader reads the store", state._replace(is_deposed=True))]
        steps.append(("a renewal is recorded and answered", _renew(state)))
        for members in self._next_rosters(state):
            steps.append((f"roster {members} is recorded", _record_roster(state, members)))
        if not self._holds("renewal_start"):
            unanswered = Renewal(0, state.version, state.members)
            steps.append(
                ("a renewal is recorded", _fail_claims(state)._replace(renewal=unanswered))
            )
        if not self._holds("roster_on_record"):
            for number, process in enumerate(state.members):
                dropped = state._replace(members=replace_item(state.members, number, -1))
                if process >= 0:
                    steps.append((f"follower {number} is dropped", dropped))
        return steps

    def _order_steps(self, state: State) -> list:
        if self._holds("deadline_first"):
            return []
        may_order = has_authority(state, self._rules)
        steps = [("the leader checks", state._replace(is_checked=True))] if may_order else []
        if state.is_checked:
            late = state._replace(lease=LEASE_TICKS, is_checked=False, is_late_order=not may_order)
            steps.append(("the leader orders late", late))
        return steps

    def _next_rosters(self, state: State) -> list:
        """Return the rosters that the next renewal may state under a higher version."""
        if not state.version or state.recorded_version >= self._bounds.versions:
            return []
        choices = [(-1, view.process) for view in state.views]
        return [each for each in itertools.product(*choices) if each != state.members]

    def _answer_renewal(self, state: State) -> State:
        age, version, members = state.renewal
        if not self._holds("renewal_start"):
            age = 0
        return state._replace(
            renewal_age=min(age, state.renewal_age), version=version, members=members, renewal=()
        )

    # -- messages --------------------------------------------------------------------------

    def _heartbeat_steps(self, state: State, number: int, follower: Follower) -> list:
        if state.is_deposed:
            return [("a successor reads that the leader has stopped", _end_wait(state))]
        heartbeat = self._make_heartbeat(state, number)
        steps = [(f"follower {number} reads a heartbeat", self._read(state, heartbeat))]
        if not state.delayed and number == DELAYED_FOLLOWER and heartbeat.version:
            steps.append((f"a heartbeat to {number} is delayed", state._replace(delayed=heartbeat)))
        return steps

    def _make_heartbeat(self, state: State, number: int) -> Heartbeat:
        view = state.views[number]
        version, members = state.version, state.members
        if not self._holds("recorded_version") and state.renewal:
            _, version, members = state.renewal
        is_member = members[number] == view.process or not self._holds("one_process")
        is_member = is_member and members[number] >= 0
        return Heartbeat(number, 0, version if is_member else 0, view.process, view.spell)

    def _read(self, state: State, heartbeat: Heartbeat) -> State:
        """Handle a heartbeat at the follower that it was sent to."""
        number = heartbeat.follower
        follower = state.followers[number]
        if heartbeat.age < 0:
            is_proof = state.successors and not self._holds("proof_after_claim")
            return _end_wait(state) if is_proof else state
        is_echoed = (heartbeat.process, heartbeat.spell) == (follower.process, follower.spell)
        is_promise = is_echoed and follower.spell % 2 == STEADY
        promise = follower.promise
        if heartbeat.version and (is_promise or not self._holds("echoed_statement")):
            promise = max(promise, heartbeat.version)
        echo = min(follower.echo, heartbeat.age)
        after = follower._replace(echo=echo, promise=promise)
        return state._replace(followers=replace_item(state.followers, number, after))

    def _statement_steps(self, state: State, number: int, follower: Follower) -> list:
        if state.is_deposed:
            return []
        if follower.knows_newer and self._holds("newest_epoch"):
            return [(f"follower {number} states a newer epoch", state._replace(is_deposed=True))]
        if follower.claim != NO_CLAIM and self._holds("unanswered_claim"):
            return []
        statement = Statement(number, follower.process, follower.spell, follower.echo)
        steps = [(f"follower {number} states", self._accept(state, statement))]
        if not state.delayed and number == DELAYED_FOLLOWER:
            delayed = state._replace(delayed=statement)
            steps.append((f"a statement of {number} is delayed", delayed))
        return steps

    def _accept(self, state: State, statement: Statement) -> State:
        """Handle a statement at the leader."""
        number, process, spell, echo = statement
        view = state.views[number]
        if state.is_deposed:
            return state
        if self._holds("in_order") and (process, spell) < (view.process, view.spell):
            return state
        if not self._holds("echo"):
            echo = 0
        if (process, spell) == (view.process, view.spell):
            echo = min(echo, view.echo)
        views = replace_item(state.views, number, View(process, spell, echo))
        return state._replace(views=views)

    def _delayed_steps(self, state: State) -> list:
        message = state.delayed
        if not message:
            return []
        free = state._replace(delayed=())
        steps = [("a delayed message is lost", free)]
        if isinstance(message, Statement):
            steps.append(("a delayed statement arrives", self._accept(free, message)))
        else:
            steps.append(("a delayed heartbeat arrives", self._read(free, message)))
        return steps

    # -- claims ----------------------------------------------------------------------------

    def _claim_steps(self, state: State, number: int, follower: Follower) -> list:
        if follower.claim != NO_CLAIM:
            after = self._record_claim(state, follower.claim)
            winner = follower._replace(claim=NO_CLAIM, knows_newer=True)
            return [(f"the claim of {number} is recorded", _set(after, number, winner))]
        if not state.successors:
            claimant = follower._replace(claim=self._claim_wait(state, follower))
            return [(f"follower {number} claims", _set(state, number, claimant))]
        reader = follower._replace(knows_newer=True)
        steps = [(f"follower {number} reads the store", _set(state, number, reader))]
        if state.successors < MAX_SUCCESSORS:
            after = self._record_claim(state, self._claim_wait(state, follower))
            steps.append((f"follower {number} claims and succeeds", _set(after, number, reader)))
        return steps

    def _claim_wait(self, state: State, follower: Follower) -> int:
        if state.successors:
            left = state.wait if self._holds("inherited_wait") else 0
            return max(AUTHORITY_TICKS + LEASE_TICKS, left)
        is_promised = bool(follower.promise)
        if self._holds("promised_version"):
            is_promised = follower.promise >= state.recorded_version
        is_short = is_promised or not state.recorded_version or not self._holds("long_wait")
        bound = AUTHORITY_TICKS if is_short else OUTAGE_AUTHORITY_TICKS
        return bound + LEASE_TICKS

    @staticmethod
    def _record_claim(state: State, wait: int) -> State:
        return _fail_claims(state)._replace(successors=state.successors + 1, wait=wait)

    # -- followers that lose the store, or end ------------------------------------------------

    def _spell_steps(self, state: State, number: int, follower: Follower) -> list:
        steps = []
        if number == DELAYED_FOLLOWER and follower.spell < 2 * self._bounds.blind_spells:
            is_blind = follower.spell % 2 == STEADY
            promise = 0 if is_blind and self._holds("blind_promise") else follower.promise
            after = follower._replace(spell=follower.spell + 1, promise=promise)
            label = "is blind" if is_blind else "reaches the store again"
            steps.append((f"follower {number} {label}", _set(state, number, after)))
        if number == DELAYED_FOLLOWER and follower.process < self._bounds.restarts:
            restarted = _set(state, number, Follower(follower.process + 1))
            restarted = restarted._replace(orphan=follower.claim)
            steps.append((f"follower {number} is restarted", restarted))
        return steps


def _begin(members: tuple) -> State:
    """Return the state in which a first roster is recorded, and its members have heard of it."""
    is_member = [process >= 0 for process in members]
    return State(
        version=1,
        recorded_version=1,
        members=members,
        views=tuple(View(echo=0) if each else View() for each in is_member),
        followers=tuple(Follower(echo=0, promise=1) if each else Follower() for each in is_member),
    )


def _set(state: State, number: int, follower: Follower) -> State:
    return state._replace(followers=replace_item(state.followers, number, follower))


def _renew(state: State) -> State:
    return _fail_claims(state)._replace(renewal_age=0)


def _record_roster(state: State, members: tuple) -> State:
    version = state.recorded_version + 1
    return _fail_claims(state)._replace(
        renewal=Renewal(0, version, members), recorded_version=version
    )


def _fail_claims(state: State) -> State:
    """Let all open claims fail, since another record was appended."""
    followers = tuple(each._replace(claim=NO_CLAIM) for each in state.followers)
    return state._replace(followers=followers, orphan=NO_CLAIM)


def _end_wait(state: State) -> State:
    """Shorten the newest successor's wait to a lease, since the old leader has stopped."""
    return state._replace(wait=min(state.wait, LEASE_TICKS))


def _tick(state: State) -> State:
    renewal, delayed = state.renewal, state.delayed
    if renewal:
        renewal = renewal._replace(age=min(renewal.age + 1, OUTAGE_AUTHORITY_TICKS))
    if isinstance(delayed, Statement):
        delayed = delayed._replace(echo=_age(delayed.echo))
    elif delayed and delayed.age >= 0:
        delayed = delayed._replace(age=_age(delayed.age))
    return state._replace(
        renewal_age=min(state.renewal_age + 1, OUTAGE_AUTHORITY_TICKS),
        views=tuple(view._replace(echo=_age(view.echo)) for view in state.views),
        renewal=renewal,
        lease=max(0, state.lease - 1),
        followers=tuple(
            each._replace(echo=_age(each.echo), claim=_pass_wait(each.claim))
            for each in state.followers
        ),
        orphan=_pass_wait(state.orphan),
        wait=max(0, state.wait - 1),
        delayed=delayed,
    )


def _age(ticks: int) -> int:
    return min(ticks + 1, AUTHORITY_TICKS)


def _pass_wait(claim: int) -> int:
    return max(0, claim - 1) if claim != NO_CLAIM else claim


def _normalise(state: State, rules: Rules) -> State:
    """Let the leader order whenever it may, and drop what has no effect any more."""
    if has_authority(state, rules):
        state = state._replace(lease=LEASE_TICKS)
    if state.is_deposed:
        return State(
            is_deposed=True,
            is_checked=state.is_checked,
            lease=state.lease,
            is_late_order=state.is_late_order,
            successors=state.successors,
            wait=state.wait,
            delayed=(),
        )
    followers = tuple(_forget_useless(state, each, rules) for each in state.followers)
    delayed = () if _is_useless(state, rules) else state.delayed
    return state._replace(followers=followers, delayed=delayed)


def _is_useless(state: State, rules: Rules) -> bool:
    """Check whether the delayed message can no longer have an effect."""
    message = state.delayed
    if not message:
        return True
    if isinstance(message, Statement):
        view = state.views[message.follower]
        is_new = (message.process, message.spell) > (view.process, view.spell)
        is_stale = message.echo >= AUTHORITY_TICKS and rules.holds("echo")
        return is_stale and not is_new and rules.holds("in_order")
    if message.age < 0:
        return rules.holds("proof_after_claim")
    is_current = message.version >= state.recorded_version and not state.successors
    return message.age > 0 and not is_current and rules.holds("promised_version")


def _forget_useless(state: State, follower: Follower, rules: Rules) -> Follower:
    if follower.knows_newer and rules.holds("newest_epoch"):
        # What it hears of the old leader counts no more.
        return Follower(follower.process, knows_newer=True)
    is_old = follower.promise < state.recorded_version or state.successors
    if is_old and rules.holds("promised_version"):
        return follower._replace(promise=0)
    return follower


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    rules = Rules(left_out)
    return make_protocol(
        "authority",
        left_out,
        State(),
        Model(bounds, rules).transitions,
        {
            "a run's lease ends before its second start": _leases_end_first,
            "no order without authority": lambda state: not state["is_late_order"],
        },
        lambda state: _works_through_outage(state, rules) or _has_successor(state),
    )


def _leases_end_first(state: dict) -> bool:
    return not (state["successors"] and not state["wait"] and state["lease"])


def _works_through_outage(state: dict, rules: Rules) -> bool:
    is_last_tick = state["renewal_age"] == OUTAGE_AUTHORITY_TICKS - 1
    return is_last_tick and not state["successors"] and has_authority(State(**state), rules)


def _has_successor(state: dict) -> bool:
    return state["successors"] > 0 and not state["wait"]
