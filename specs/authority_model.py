"""Model of a leader's authority to order without the store, and of its successors' waits.

A leader orders while its last recorded renewal is recent, or, for longer, while each member of its
roster has freshly stated that it has claimed nothing. A pause of the leader is a time in which it
takes no steps. A cut link carries no message, and a store that a node cannot reach takes no appends
of it, so both are steps that are not taken, too. One message at a time, to or from the first
follower, may be delayed by any number of ticks, and others overtake it. The answer of a renewal
comes within a tick, or not at all.

Heartbeats go to and fro in one step: what is between the two is a matter of the delayed message.
The two followers run on two nodes, or the second one is the next process of the first one's node.
A follower joins the roster with its first statement. Two versions of the roster are one removal.
One claim at a time has an open outcome.

Successors are expected to use their full wait, as long as no worker answers them. They are leaders
without a roster: their own authority ends with their renewals.
"""

import dataclasses
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol, replace_item

__all__ = ["RULES", "Bounds", "State", "make_model"]

AUTHORITY_TICKS = 1
"""A renewal or an echo that is younger counts as recent."""

OUTAGE_AUTHORITY_TICKS = 3
"""Age of the last renewal from which fresh statements no longer replace it."""

LEASE_TICKS = 1

SHORT_WAIT_TICKS = AUTHORITY_TICKS + LEASE_TICKS - 1
LONG_WAIT_TICKS = OUTAGE_AUTHORITY_TICKS + LEASE_TICKS - 1
"""Waits from the tick of the claim, in which the leader may still begin its last lease but for the
ticks of its authority after the first."""

FOLLOWERS = 2
BLIND = 1
MAX_SUCCESSORS = 2
NO_CLAIM = -1
DELAYED_FOLLOWER = 0
"""The follower whose messages may be delayed, which may lose the store, and which may end."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search.

    Attributes
    ----------
    versions, blind_spells
        Versions of the roster, and spells in which the first follower does not reach the store.
    nodes
        Choices of the number of nodes; on a single one, the second follower is the next process.
    delays
        Whether a message of the first follower may be delayed.
    """

    versions: int = 1
    blind_spells: int = 1
    nodes: tuple = (1, 2)
    delays: bool = False


_BASE = Bounds(blind_spells=0, nodes=(2,))

RULES = {
    "all_members": _BASE,
    "echo": Bounds(blind_spells=0, nodes=(1,), delays=True),
    "unanswered_claim": Bounds(blind_spells=0, nodes=(1,)),
    "newest_epoch": Bounds(blind_spells=0, nodes=(1,)),
    "one_process": Bounds(blind_spells=0, nodes=(1,)),
    "in_order": Bounds(nodes=(1,), delays=True),
    "roster_on_record": Bounds(versions=2, blind_spells=0, nodes=(1,)),
    "recorded_version": Bounds(versions=2, blind_spells=0, nodes=(1,)),
    "leaving_place": Bounds(versions=2, blind_spells=0, nodes=(1,), delays=True),
    "promised_version": Bounds(versions=2, blind_spells=0, nodes=(1,)),
    "blind_promise": Bounds(nodes=(1,)),
    "echoed_statement": Bounds(nodes=(1,), delays=True),
    "long_wait": _BASE,
    "inherited_wait": _BASE,
    "renewal_start": Bounds(blind_spells=0, nodes=(1,)),
    "proof_after_claim": Bounds(blind_spells=0, nodes=(2,), delays=True),
    "deadline_first": Bounds(blind_spells=0, nodes=(1,)),
}
"""Rules that may be left out, with bounds in which each is missed.

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
    A member is removed only by a renewal that is recorded with a higher version.
recorded_version
    The answer of an earlier renewal does not remove it.
leaving_place
    A member that is to be removed is told that it has no place.
promised_version
    A place counts only if it is not older than the version in the record that is claimed over.
blind_promise
    A follower gives its place up by stating that it does not reach the store.
echoed_statement
    A place counts only if the leader has accepted a statement after the last blind one.
long_wait
    A claimant without a place waits for the end of the outage authority.
inherited_wait
    A claimant waits also for what is left of its predecessor's bound.
renewal_start
    A renewal is as old as its start, not as its answer.
proof_after_claim
    A heartbeat that no longer leads shortens the wait only if it echoes one sent after the claim.
deadline_first
    An order's deadline is computed before the authority is checked, not after.
"""


class Follower(NamedTuple):
    """A follower's process, and what it knows of the leader.

    ``spell`` counts the alternations of statements that reach the store and that do not: an odd
    one is blind. ``place`` is the version that it was told last. ``claim`` is the rest of the wait
    of a claim whose outcome is open; one that failed is as good as none, and one that was recorded
    as good as knowing of a newer epoch.
    """

    is_up: bool = True
    spell: int = 0
    place: int = 0
    claim: int = NO_CLAIM
    knows_newer: bool = False


class Member(NamedTuple):
    """A member of the roster, by the last statement that the leader has accepted.

    ``left_with`` is the version of the roster without it, or 0.
    """

    spell: int
    echo: int
    left_with: int = 0


class Renewal(NamedTuple):
    """A renewal that is recorded and not answered yet."""

    age: int
    version: int


class Heartbeat(NamedTuple):
    """A delayed heartbeat of the leader; it no longer leads, or does not yet, if its age is -1."""

    follower: int
    age: int
    place: int
    spell: int


class Statement(NamedTuple):
    """A delayed statement of a follower."""

    follower: int
    spell: int
    echo: int


_EARLIER_HEARTBEAT = Heartbeat(DELAYED_FOLLOWER, -1, 0, 0)


class State(NamedTuple):
    """The old leader, its followers, the record in the store, and the longest lease of a run.

    ``nodes`` counts the nodes of the followers; 0 until that is chosen.
    ``members`` has a `Member` or an empty tuple for each follower. ``roster`` is the version that
    the next renewal states, ``version`` the newest one that the leader knows to be recorded, and
    ``recorded_version`` the one in the store. ``successors`` counts the claims on record after the
    old leader's, and ``wait`` is the rest of the newest one's wait.
    """

    nodes: int = 0
    renewal_age: int = OUTAGE_AUTHORITY_TICKS
    roster: int = 1
    version: int = 0
    members: tuple = ((),) * FOLLOWERS
    renewal: Renewal | tuple = ()
    is_deposed: bool = False
    is_checked: bool = False
    lease: int = 0
    followers: tuple = (Follower(),) * FOLLOWERS
    recorded_version: int = 0
    successors: int = 0
    wait: int = 0
    delayed: Heartbeat | Statement | tuple = _EARLIER_HEARTBEAT


def _has_outage_authority(state: State, rules: Rules) -> bool:
    """Check whether the members' statements let the leader order without a recent renewal."""
    if not state.version or state.renewal_age >= OUTAGE_AUTHORITY_TICKS:
        return False
    members = [member for member in state.members if member]
    if not rules.holds("all_members"):
        return any(member.echo < AUTHORITY_TICKS for member in members)
    return all(_is_blind(member) or member.echo < AUTHORITY_TICKS for member in members)


def _is_blind(party: Member | Follower) -> bool:
    return party.spell % 2 == BLIND


def _has_authority(state: State, rules: Rules) -> bool:
    """Check whether the old leader may order, renew and acknowledge."""
    if state.is_deposed:
        return False
    return state.renewal_age < AUTHORITY_TICKS or _has_outage_authority(state, rules)


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._rules = rules
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        if not state.nodes:
            return self._first_steps()
        steps = [("tick", _tick(state)), *self._leader_steps(state)]
        for number, follower in enumerate(state.followers):
            if follower.is_up:
                steps += self._heartbeat_steps(state, number, follower)
                steps += self._spell_steps(state, number, follower)
            steps += self._claim_steps(state, number, follower)
        steps += self._delayed_steps(state)
        nexts = [(label, _normalise(after, self._rules)) for label, after in steps]
        return [(label, after) for label, after in nexts if after != state]

    def _first_steps(self) -> list:
        steps = []
        for nodes in self._bounds.nodes:
            for is_known in (False, True):
                label = f"{nodes} follower(s), roster known: {is_known}"
                steps.append((label, _normalise(_begin(nodes, is_known), self._rules)))
        return steps

    # -- the old leader --------------------------------------------------------------------

    def _leader_steps(self, state: State) -> list:
        steps = self._order_steps(state)
        if state.is_deposed:
            return steps
        if state.renewal:
            steps.append(("the renewal is answered", self._answer_renewal(state)))
        if state.successors:
            return [*steps, ("the leader reads the store", state._replace(is_deposed=True))]
        steps.append(("a renewal is recorded", _renew(state)))
        for number, member in enumerate(state.members):
            if member and not member.left_with and state.roster < self._bounds.versions:
                steps.append((f"follower {number} is to be removed", self._leave(state, number)))
        return steps

    def _order_steps(self, state: State) -> list:
        if self._holds("deadline_first"):
            return []
        if state.is_checked:
            late = state._replace(lease=LEASE_TICKS, is_checked=False)
            return [("the leader orders late", late)]
        if not _has_authority(state, self._rules):
            return []
        return [("the leader checks", state._replace(is_checked=True))]

    def _leave(self, state: State, number: int) -> State:
        """Leave a member out of the roster that the next renewal states."""
        roster = state.roster + 1
        left = state.members[number]._replace(left_with=roster)
        if not self._holds("roster_on_record"):
            left = ()
        return state._replace(roster=roster, members=replace_item(state.members, number, left))

    def _answer_renewal(self, state: State) -> State:
        age, version = state.renewal
        if not self._holds("renewal_start"):
            age = 0
        removed_with = version if self._holds("recorded_version") else state.roster
        members = tuple(
            () if member and 0 < member.left_with <= removed_with else member
            for member in state.members
        )
        return state._replace(
            renewal_age=min(age, state.renewal_age),
            version=max(version, state.version),
            members=members,
            renewal=(),
        )

    # -- messages --------------------------------------------------------------------------

    def _heartbeat_steps(self, state: State, number: int, follower: Follower) -> list:
        if state.is_deposed:
            return []
        if follower.knows_newer and self._holds("newest_epoch"):
            return [(f"follower {number} states a newer epoch", state._replace(is_deposed=True))]
        heartbeat = self._make_heartbeat(state, number)
        after = self._read(state, heartbeat)
        steps = []
        if follower.claim == NO_CLAIM or not self._holds("unanswered_claim"):
            statement = Statement(number, follower.spell, 0)
            steps.append((f"follower {number} states", self._accept(after, statement)))
            if self._may_delay(state, number):
                delayed = after._replace(delayed=statement)
                steps.append((f"a statement of {number} is delayed", delayed))
        if self._may_delay(state, number) and heartbeat.place:
            steps.append((f"a heartbeat to {number} is delayed", state._replace(delayed=heartbeat)))
        return steps

    def _may_delay(self, state: State, number: int) -> bool:
        return self._bounds.delays and number == DELAYED_FOLLOWER and not state.delayed

    def _make_heartbeat(self, state: State, number: int) -> Heartbeat:
        member = state.members[number]
        if not member:
            return Heartbeat(number, 0, 0, 0)
        is_leaving = member.left_with and self._holds("leaving_place")
        place = 0 if is_leaving or _is_blind(member) else state.roster
        return Heartbeat(number, 0, place, member.spell)

    def _read(self, state: State, heartbeat: Heartbeat) -> State:
        """Handle a heartbeat at the follower that it was sent to."""
        number = heartbeat.follower
        follower = state.followers[number]
        if heartbeat.age < 0:
            is_proof = state.successors and not self._holds("proof_after_claim")
            return _end_wait(state) if is_proof else state
        if not follower.is_up:
            return state
        is_echoed = heartbeat.spell == follower.spell and not _is_blind(follower)
        counts = is_echoed or not self._holds("echoed_statement")
        place = heartbeat.place if counts else follower.place
        return _set(state, number, follower._replace(place=place))

    def _accept(self, state: State, statement: Statement) -> State:
        """Handle a statement at the leader."""
        number, spell, echo = statement
        if state.nodes == 1 and not self._holds("one_process"):
            number = DELAYED_FOLLOWER
        member = state.members[number]
        if state.is_deposed:
            return state
        if member and self._holds("in_order") and spell < member.spell:
            return state
        if not self._holds("echo"):
            echo = 0
        if member and spell == member.spell:
            echo = min(echo, member.echo)
        members = replace_item(state.members, number, Member(spell, echo))
        return state._replace(members=members)

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
        steps = []
        if state.is_deposed and state.wait > LEASE_TICKS:
            steps.append(("a successor learns that the leader has stopped", _end_wait(state)))
        if follower.claim != NO_CLAIM:
            after = _record_claim(state, follower.claim)
            winner = follower._replace(claim=NO_CLAIM, knows_newer=True)
            return [*steps, (f"the claim of {number} is recorded", _set(after, number, winner))]
        if not follower.is_up:
            return steps
        wait = self._claim_wait(state, follower)
        if any(each.claim != NO_CLAIM for each in state.followers):
            return steps
        if not state.successors:
            claimant = follower._replace(claim=wait)
            return [*steps, (f"follower {number} claims", _set(state, number, claimant))]
        reader = follower._replace(knows_newer=True)
        steps.append((f"follower {number} reads the store", _set(state, number, reader)))
        if state.successors < MAX_SUCCESSORS:
            after = _set(_record_claim(state, wait), number, reader)
            steps.append((f"follower {number} claims and succeeds", after))
        return steps

    def _claim_wait(self, state: State, follower: Follower) -> int:
        if state.successors:
            left = state.wait if self._holds("inherited_wait") else 0
            return max(SHORT_WAIT_TICKS, left)
        has_place = bool(follower.place)
        if self._holds("promised_version"):
            has_place = follower.place >= state.recorded_version
        is_short = has_place or not state.recorded_version or not self._holds("long_wait")
        return SHORT_WAIT_TICKS if is_short else LONG_WAIT_TICKS

    # -- followers that lose the store, or end ------------------------------------------------

    def _spell_steps(self, state: State, number: int, follower: Follower) -> list:
        if number != DELAYED_FOLLOWER:
            return []
        steps = []
        if follower.spell < 2 * self._bounds.blind_spells:
            gives_up = not _is_blind(follower) and self._holds("blind_promise")
            place = 0 if gives_up else follower.place
            after = follower._replace(spell=follower.spell + 1, place=place)
            label = "reaches the store again" if _is_blind(follower) else "is blind"
            steps.append((f"follower {number} {label}", _set(state, number, after)))
        if state.nodes == 1:
            ended = _set(state, number, follower._replace(is_up=False))
            steps.append((f"follower {number} is restarted", _set(ended, number + 1, Follower())))
        return steps


def _begin(nodes: int, is_known: bool) -> State:
    """Return a first state; in one, the followers know the first roster, with them as members."""
    down = (Follower(is_up=False),) * (FOLLOWERS - nodes)
    if not is_known:
        return State(nodes=nodes, followers=(*(Follower(),) * nodes, *down))
    return State(
        nodes=nodes,
        renewal_age=0,
        version=1,
        recorded_version=1,
        members=(*(Member(0, 0),) * nodes, *((),) * len(down)),
        followers=(*(Follower(place=1),) * nodes, *down),
    )


def _set(state: State, number: int, follower: Follower) -> State:
    return state._replace(followers=replace_item(state.followers, number, follower))


def _renew(state: State) -> State:
    return _fail_claims(state)._replace(
        renewal=Renewal(0, state.roster), recorded_version=state.roster
    )


def _record_claim(state: State, wait: int) -> State:
    return _fail_claims(state)._replace(successors=state.successors + 1, wait=wait)


def _fail_claims(state: State) -> State:
    """Let all open claims fail, since another record was appended."""
    return state._replace(
        followers=tuple(each._replace(claim=NO_CLAIM) for each in state.followers)
    )


def _end_wait(state: State) -> State:
    """Shorten the newest successor's wait to a lease, since the old leader has stopped."""
    return state._replace(wait=min(state.wait, LEASE_TICKS))


def _tick(state: State) -> State:
    renewal, delayed = state.renewal, state.delayed
    if renewal:
        renewal = () if renewal.age else renewal._replace(age=1)
    if isinstance(delayed, Statement):
        delayed = delayed._replace(echo=_age(delayed.echo))
    elif delayed and delayed.age >= 0:
        delayed = delayed._replace(age=_age(delayed.age))
    return state._replace(
        renewal_age=min(state.renewal_age + 1, OUTAGE_AUTHORITY_TICKS),
        members=tuple(each and each._replace(echo=_age(each.echo)) for each in state.members),
        renewal=renewal,
        lease=max(0, state.lease - 1),
        followers=tuple(each._replace(claim=_pass_wait(each.claim)) for each in state.followers),
        wait=max(0, state.wait - 1),
        delayed=delayed,
    )


def _age(ticks: int) -> int:
    return min(ticks + 1, AUTHORITY_TICKS)


def _pass_wait(claim: int) -> int:
    return max(0, claim - 1) if claim != NO_CLAIM else claim


def _normalise(state: State, rules: Rules) -> State:
    """Let the leader order whenever it may, and drop what has no effect any more."""
    if _has_authority(state, rules):
        state = state._replace(lease=LEASE_TICKS)
    if state.is_deposed or _has_ended(state):
        return State(
            nodes=state.nodes,
            is_deposed=True,
            is_checked=state.is_checked,
            lease=state.lease,
            successors=state.successors,
            wait=state.wait,
            delayed=(),
        )
    followers = tuple(_forget_useless(state, each, rules) for each in state.followers)
    delayed = () if _is_useless(state, rules) else state.delayed
    state = state._replace(followers=followers, delayed=delayed)
    return _forget_versions(state) if state.successors and not state.renewal else state


def _has_ended(state: State) -> bool:
    """Check whether the leader can have no authority any more, whatever it hears."""
    limit = OUTAGE_AUTHORITY_TICKS if state.version else AUTHORITY_TICKS
    return bool(state.successors) and not state.renewal and state.renewal_age >= limit


def _forget_versions(state: State) -> State:
    """Drop the versions of a roster that can change no more."""
    members = tuple(each and each._replace(left_with=0) for each in state.members)
    return state._replace(
        members=members, roster=1, version=min(state.version, 1), recorded_version=1
    )


def _is_useless(state: State, rules: Rules) -> bool:
    """Check whether the delayed message can no longer have an effect."""
    message = state.delayed
    if not message:
        return True
    if isinstance(message, Statement):
        member = state.members[message.follower]
        is_new = not member or message.spell > member.spell
        is_stale = message.echo >= AUTHORITY_TICKS and rules.holds("echo")
        return is_stale and not is_new and rules.holds("in_order")
    if message.age < 0:
        return rules.holds("proof_after_claim")
    is_current = message.place >= state.recorded_version and not state.successors
    return message.age > 0 and not is_current and rules.holds("promised_version")


def _forget_useless(state: State, follower: Follower, rules: Rules) -> Follower:
    if not follower.is_up:
        return Follower(is_up=False, claim=follower.claim)
    if follower.knows_newer and rules.holds("newest_epoch"):
        # What it hears of the old leader counts no more.
        return Follower(knows_newer=True)
    is_old = follower.place < state.recorded_version or state.successors
    if is_old and rules.holds("promised_version"):
        return follower._replace(place=0)
    return follower


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string.

    Without a rule, its own smaller bounds count: a counterexample in them is one in all larger.
    """
    bounds = RULES.get(left_out, bounds)
    rules = Rules(left_out)
    return make_protocol(
        "authority",
        left_out,
        State(),
        Model(bounds, rules).transitions,
        {"a run's lease ends before its second start": _leases_end_first},
        lambda state: _works_through_outage(state, rules) or _has_successor(state),
    )


def _leases_end_first(state: dict) -> bool:
    return not (state["successors"] and not state["wait"] and state["lease"])


def _works_through_outage(state: dict, rules: Rules) -> bool:
    is_last_tick = state["renewal_age"] == OUTAGE_AUTHORITY_TICKS - 1
    return is_last_tick and not state["successors"] and _has_authority(State(**state), rules)


def _has_successor(state: dict) -> bool:
    return state["successors"] > 0 and not state["wait"]
