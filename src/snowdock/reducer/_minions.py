"""Handlers of minion and slot records."""

from ..effects import Accepted, Effect, SharesChanged, Verdict
from ..records import MinionGone, MinionLeaving, MinionSeen, SlotsReturned, SlotsTaken
from ..state import Cooling, Minion, State, VmState
from ._tools import Context, require

__all__ = ["HANDLERS", "cool_all", "release_cooled", "return_all", "slots_of"]

_DEFAULT_DEADLINE_MS = 5000


def slots_of(state: State, minion: Minion) -> int:
    """Return a minion's slots: the smallest number that an endpoint of its group declares."""
    endpoints = state.configuration.declarations.endpoints.values()
    return min((e.slots for e in endpoints if e.minions == minion.group), default=0)


def _longest_deadline_ms(state: State) -> int:
    endpoints = state.configuration.declarations.endpoints.values()
    return max((e.deadline_ms for e in endpoints), default=_DEFAULT_DEADLINE_MS)


def _seen(context: Context, record: MinionSeen) -> Verdict:
    minions = context.state.minions
    known = minions.get(record.minion)
    require(known is None or known.address != record.address, "the minion is known already")
    made = Minion(record.minion, record.group, record.hall, record.address)
    if known is not None:
        made.shares = known.shares
    minions[record.minion] = made
    context.effects.append(SharesChanged(record.minion))
    return Accepted()


def _leaving(context: Context, record: MinionLeaving) -> Verdict:
    minion = context.state.minions.get(record.minion)
    require(minion is not None, "unknown minion")
    require(minion.state == VmState.LIVE, "the minion is not live")
    minion.state = VmState.LEAVING
    context.effects.append(SharesChanged(record.minion))
    return Accepted()


def _gone(context: Context, record: MinionGone) -> Verdict:
    state = context.state
    require(record.minion in state.minions, "unknown minion")
    del state.minions[record.minion]
    state.cooling = [entry for entry in state.cooling if entry.minion != record.minion]
    context.effects.append(SharesChanged(record.minion))
    return Accepted()


def _taken(context: Context, record: SlotsTaken) -> Verdict:
    state, node = context.state, context.batch.node
    minion = state.minions.get(record.minion)
    require(minion is not None and minion.state == VmState.LIVE, "the minion is not live")
    require(record.slots > 0, "the number of slots is not positive")
    cooling = sum(entry.slots for entry in state.cooling if entry.minion == record.minion)
    given = sum(minion.shares.values()) + cooling
    require(given + record.slots <= slots_of(state, minion), "too few slots are free")
    minion.shares[node] = minion.shares.get(node, 0) + record.slots
    context.effects.append(SharesChanged(record.minion))
    return Accepted()


def _returned(context: Context, record: SlotsReturned) -> Verdict:
    node = context.batch.node
    minion = context.state.minions.get(record.minion)
    require(minion is not None, "unknown minion")
    held = minion.shares.get(node, 0)
    require(0 < record.slots <= held, "the node does not hold that many slots")
    _set_share(minion, node, held - record.slots)
    context.effects.append(SharesChanged(record.minion))
    return Accepted()


def _set_share(minion: Minion, node: str, slots: int) -> None:
    if slots:
        minion.shares[node] = slots
    else:
        minion.shares.pop(node, None)


def return_all(context: Context, node: str) -> None:
    """Free the slots of a node that has left gracefully and has no requests in flight."""
    for minion in context.state.minions.values():
        if minion.shares.pop(node, 0):
            context.effects.append(SharesChanged(minion.name))


def cool_all(context: Context, node: str) -> None:
    """Withhold the slots of a lost node until the longest request deadline has passed."""
    state = context.state
    until = state.now_ms + _longest_deadline_ms(state)
    for minion in state.minions.values():
        slots = minion.shares.pop(node, 0)
        if slots:
            state.cooling.append(Cooling(minion.name, slots, until))


def release_cooled(state: State, effects: list[Effect]) -> None:
    """Free the slots whose cooldown has ended."""
    if not state.cooling:
        return
    over = [entry for entry in state.cooling if entry.until_ms <= state.now_ms]
    if over:
        state.cooling = [entry for entry in state.cooling if entry.until_ms > state.now_ms]
        effects.extend(SharesChanged(entry.minion) for entry in over)


HANDLERS = {
    MinionSeen: _seen,
    MinionLeaving: _leaving,
    MinionGone: _gone,
    SlotsTaken: _taken,
    SlotsReturned: _returned,
}
