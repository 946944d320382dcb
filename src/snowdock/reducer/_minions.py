"""Handlers of minion and slot records."""

from ..effects import Accepted, Effect, SharesChanged, Verdict
from ..records import MinionGone, MinionLeaving, MinionSeen, SlotsReturned, SlotsTaken
from ..state import CoolingSlots, Minion, State, VmState
from ._common import Context, require

__all__ = [
    "HANDLERS",
    "count_minion_slots",
    "release_expired_cooldowns",
    "release_slots",
    "start_cooldown",
]

_DEFAULT_DEADLINE_MS = 5000


def count_minion_slots(state: State, minion: Minion) -> int:
    """Return a minion's slots: the smallest number that an endpoint of its group declares."""
    endpoints = state.configuration.declarations.endpoints.values()
    return min((e.slots for e in endpoints if e.minions == minion.group), default=0)


def _longest_deadline_ms(state: State) -> int:
    endpoints = state.configuration.declarations.endpoints.values()
    return max((e.deadline_ms for e in endpoints), default=_DEFAULT_DEADLINE_MS)


def _apply_minion_seen(context: Context, record: MinionSeen) -> Verdict:
    minions = context.state.minions
    known = minions.get(record.minion)
    require(known is None or known.address != record.address, "the minion is known already")
    minion = Minion(record.minion, record.group, record.hall, record.address)
    if known is not None:
        minion.shares = known.shares
    minions[record.minion] = minion
    context.effects.append(SharesChanged(record.minion))
    return Accepted()


def _apply_minion_leaving(context: Context, record: MinionLeaving) -> Verdict:
    minion = context.state.minions.get(record.minion)
    require(minion is not None, "unknown minion")
    require(minion.state == VmState.LIVE, "the minion is not live")
    minion.state = VmState.LEAVING
    context.effects.append(SharesChanged(record.minion))
    return Accepted()


def _apply_minion_gone(context: Context, record: MinionGone) -> Verdict:
    state = context.state
    require(record.minion in state.minions, "unknown minion")
    del state.minions[record.minion]
    state.cooling_slots = [entry for entry in state.cooling_slots if entry.minion != record.minion]
    context.effects.append(SharesChanged(record.minion))
    return Accepted()


def _apply_slots_taken(context: Context, record: SlotsTaken) -> Verdict:
    state, node = context.state, context.batch.node
    minion = state.minions.get(record.minion)
    require(minion is not None and minion.state == VmState.LIVE, "the minion is not live")
    require(record.slots > 0, "the number of slots is not positive")
    cooling = sum(entry.slots for entry in state.cooling_slots if entry.minion == record.minion)
    allocated = sum(minion.shares.values()) + cooling
    require(allocated + record.slots <= count_minion_slots(state, minion), "too few slots are free")
    minion.shares[node] = minion.shares.get(node, 0) + record.slots
    context.effects.append(SharesChanged(record.minion))
    return Accepted()


def _apply_slots_returned(context: Context, record: SlotsReturned) -> Verdict:
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


def release_slots(context: Context, node: str) -> None:
    """Free the slots of a node that has left gracefully and has no requests in flight."""
    for minion in context.state.minions.values():
        if minion.shares.pop(node, 0):
            context.effects.append(SharesChanged(minion.name))


def start_cooldown(context: Context, node: str) -> None:
    """Withhold the slots of a lost node until the longest request deadline has passed."""
    state = context.state
    until = state.now_ms + _longest_deadline_ms(state)
    for minion in state.minions.values():
        slots = minion.shares.pop(node, 0)
        if slots:
            state.cooling_slots.append(CoolingSlots(minion.name, slots, until))


def release_expired_cooldowns(state: State, effects: list[Effect]) -> None:
    """Free the slots whose cooldown has ended."""
    if not state.cooling_slots:
        return
    expired = [entry for entry in state.cooling_slots if entry.until_ms <= state.now_ms]
    if expired:
        state.cooling_slots = [
            entry for entry in state.cooling_slots if entry.until_ms > state.now_ms
        ]
        effects.extend(SharesChanged(entry.minion) for entry in expired)


HANDLERS = {
    MinionSeen: _apply_minion_seen,
    MinionLeaving: _apply_minion_leaving,
    MinionGone: _apply_minion_gone,
    SlotsTaken: _apply_slots_taken,
    SlotsReturned: _apply_slots_returned,
}
