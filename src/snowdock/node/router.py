"""The actor that hands out this node's slots on minions to waiting requests."""

import dataclasses
import heapq
import itertools

import pykka

from ..clocks import steady_seconds
from ..decisions.minion_choice import MinionHealth, choose_minion, record_result
from ..decisions.shares import MinionView
from ..records import SlotsReturned, SlotsTaken
from .context import NodeContext
from .messages import (
    AcquireSlot,
    MinionsChanged,
    PeerSlotsReported,
    Propose,
    Query,
    SlotAtPeer,
    SlotGranted,
    SlotRefused,
    SlotReleased,
    Tick,
)

__all__ = ["Router"]

_MIN_RETRY_SECONDS = 0.1
_MAX_RETRY_SECONDS = 30.0
_INITIAL_DURATION_SECONDS = 0.05
_SMOOTHING_FACTOR = 0.1
_MIN_REMAINING_DURATIONS = 1.0
"""A request that has less than this many typical runs left is not sent any more."""
_PEER_SLOTS_VALID_SECONDS = 3.0
_REPROPOSE_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class _MinionSlots:
    """Slots of one minion that are this node's."""

    view: MinionView
    in_use: int = 0
    returning: int = 0
    last_take_at: float = -_REPROPOSE_SECONDS
    health: MinionHealth = dataclasses.field(default_factory=MinionHealth)

    @property
    def usable(self) -> int:
        """Slots that may be handed out, used ones included."""
        return self.view.share - self.returning if self.view.is_live else 0

    @property
    def idle(self) -> int:
        """Slots that may be handed out now."""
        return max(0, self.usable - self.in_use)


class Router(pykka.ThreadingActor):
    """Shares this node's slots out: the highest priority first, then the earliest asker.

    A slot is only handed out from the node's own share as the log shows it, so all nodes
    together never exceed what a minion bears. A share that is no longer wanted here is
    given back on the log after it was taken out of use.
    """

    def __init__(self, context: NodeContext) -> None:
        super().__init__()
        self._context = context
        self._slots: dict[str, _MinionSlots] = {}
        self._by_group: dict[str, list[_MinionSlots]] = {}
        self._waiting: dict[str, list] = {}
        self._may_take_slots = False
        self._sequence = itertools.count()
        self._held_slots: list[tuple[float, str]] = []
        self._average_duration_s = _INITIAL_DURATION_SECONDS
        self._peer_idle_slots: dict[str, tuple[float, dict[str, int]]] = {}

    @property
    def _hall(self) -> str:
        return self._context.settings.node.hall

    def on_receive(self, message: object) -> object:
        """Dispatch by the message's type."""
        if isinstance(message, AcquireSlot):
            return self._acquire(message)
        if isinstance(message, SlotReleased):
            return self._release(message)
        if isinstance(message, MinionsChanged):
            return self._update_minions(message)
        if isinstance(message, PeerSlotsReported):
            self._peer_idle_slots[message.node] = (steady_seconds(), dict(message.idle_slots))
            return self._forward_waiting(message.idle_slots)
        if isinstance(message, Tick):
            return self._tick()
        if isinstance(message, Query):
            return message.function(self._slots)
        raise TypeError(type(message).__name__)

    # -- asking ----------------------------------------------------------------------------

    def _acquire(self, message: AcquireSlot) -> None:
        group = message.group
        if not self._waiting.get(group) and self._grant(message):
            return
        reason = self._find_refusal_reason(message)
        if reason:
            message.slot.set(SlotRefused(reason, self._retry_after(group)))
            return
        peer = self._reserve_peer_slot(group) if message.may_lend else None
        if peer is not None:
            message.slot.set(SlotAtPeer(peer))
            return
        queue = self._waiting.setdefault(group, [])
        if not message.may_wait or len(queue) >= message.queue_limit:
            message.slot.set(SlotRefused("no slot is free", self._retry_after(group)))
            return
        if steady_seconds() + self._estimate_completion_s(message) > message.deadline:
            # Waiting would end in a refusal all the same; now the caller can turn elsewhere.
            message.slot.set(SlotRefused("the queue is too long", self._retry_after(group)))
            return
        heapq.heappush(queue, (-message.priority, next(self._sequence), message))

    def _find_refusal_reason(self, message: AcquireSlot) -> str:
        """Say why waiting cannot help, or nothing where it can."""
        if message.wanted:
            session_slots = self._slots.get(message.wanted)
            if session_slots is None or not session_slots.view.is_live:
                return "the session's minion is gone"
        usable = [s.view.name for s in self._by_group.get(message.group, ()) if s.usable]
        if usable and message.excluded.issuperset(usable):
            return "no other minion is left"
        return ""

    def _grant(self, message: AcquireSlot) -> bool:
        now = steady_seconds()
        candidates = (
            (slots.view, slots.idle, slots.health)
            for slots in self._by_group.get(message.group, ())
            if slots.idle > 0 and slots.view.name not in message.excluded
        )
        found = choose_minion(candidates, self._hall, message.wanted, now)
        if found is None:
            return False
        slots = self._slots[found.name]
        slots.in_use += 1
        slots.health.is_probing = slots.health.failures > 0
        message.slot.set(SlotGranted(found.name, found.address))
        return True

    def _forward_waiting(self, idle_slots: dict[str, int]) -> None:
        """Hand waiting requests to a peer that has just told of idle slots."""
        for group in idle_slots:
            queue = self._waiting.get(group, [])
            for entry in sorted(queue, key=lambda waiting: waiting[:2]):
                message = entry[2]
                if not message.may_lend:
                    continue
                node = self._reserve_peer_slot(group)
                if node is None:
                    break
                queue.remove(entry)
                message.slot.set(SlotAtPeer(node))
            heapq.heapify(queue)

    def _reserve_peer_slot(self, group: str) -> str | None:
        oldest_valid = steady_seconds() - _PEER_SLOTS_VALID_SECONDS
        idle = {
            node: slots.get(group, 0)
            for node, (reported_at, slots) in self._peer_idle_slots.items()
            if reported_at > oldest_valid and slots.get(group, 0) > 0
        }
        if not idle:
            return None
        node = max(idle, key=idle.get)
        # Until its next heartbeat the peer is taken to have one slot less.
        self._peer_idle_slots[node][1][group] -= 1
        return node

    def _estimate_completion_s(self, message: AcquireSlot) -> float:
        """Work out when a request that joins the queue now would be answered."""
        queue = self._waiting.get(message.group, ())
        ahead = sum(1 for priority, _, _ in queue if -priority >= message.priority)
        return self._estimate_wait_s(message.group, ahead) + self._average_duration_s

    def _estimate_wait_s(self, group: str, ahead: int) -> float:
        slots = sum(s.usable for s in self._by_group.get(group, ())) or 1
        return self._average_duration_s * (ahead + 1) / slots

    def _retry_after(self, group: str) -> float:
        """Work out from the queue when a slot is likely to be free."""
        seconds = self._estimate_wait_s(group, len(self._waiting.get(group, ())))
        return min(max(seconds, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)

    # -- giving back -----------------------------------------------------------------------

    def _release(self, message: SlotReleased) -> None:
        slots = self._slots.get(message.minion)
        if slots is None:
            return
        now = steady_seconds()
        record_result(slots.health, message.failed, now)
        if message.hold_s:
            heapq.heappush(self._held_slots, (now + message.hold_s, message.minion))
            return
        slots.in_use -= 1
        if not message.failed:
            self._average_duration_s += _SMOOTHING_FACTOR * (
                message.duration_s - self._average_duration_s
            )
        if slots.in_use == 0 and slots.view.share == 0 and not slots.view.is_live:
            self._remove_minion(slots)
        self._serve_queue(slots.view.group)

    def _serve_queue(self, group: str) -> None:
        queue = self._waiting.get(group, [])
        now = steady_seconds()
        while queue:
            message = queue[0][2]
            if message.deadline <= now + self._average_duration_s * _MIN_REMAINING_DURATIONS:
                # What would be answered too late only takes a slot from the next one.
                heapq.heappop(queue)
                message.slot.set(SlotRefused("too little time is left", self._retry_after(group)))
            elif self._grant(message):
                heapq.heappop(queue)
            else:
                return

    # -- the division among nodes ----------------------------------------------------------

    def _update_minions(self, message: MinionsChanged) -> None:
        self._may_take_slots = message.may_take_slots
        listed_names = set()
        for view in message.minions:
            listed_names.add(view.name)
            slots = self._slots.get(view.name)
            if slots is None:
                slots = self._slots[view.name] = _MinionSlots(view)
                self._by_group.setdefault(view.group, []).append(slots)
            returned = slots.view.share - view.share
            slots.view = view
            if returned > 0:
                slots.returning = max(0, slots.returning - returned)
            else:
                slots.last_take_at = -_REPROPOSE_SECONDS
        for name in self._slots.keys() - listed_names:
            self._remove_minion(self._slots[name])
        self._adjust_shares()
        for group in list(self._waiting):
            self._serve_queue(group)

    def _remove_minion(self, slots: _MinionSlots) -> None:
        self._slots.pop(slots.view.name, None)
        group = self._by_group.get(slots.view.group, [])
        if slots in group:
            group.remove(slots)

    def _adjust_shares(self) -> None:
        """Move this node's shares towards their targets."""
        if not self._may_take_slots:
            # A node on its way out needs its slots for what it still has in flight; they
            # are all given back when it leaves.
            return
        now = steady_seconds()
        records = []
        for slots in self._slots.values():
            view = slots.view
            target = view.target if view.is_live else 0
            surplus = view.share - slots.returning - target
            return_count = min(surplus, view.share - slots.returning - slots.in_use)
            if return_count > 0:
                slots.returning += return_count
                records.append(SlotsReturned(view.name, return_count))
            take_count = min(-surplus, view.unassigned)
            if take_count > 0 and now - slots.last_take_at > _REPROPOSE_SECONDS:
                slots.last_take_at = now
                records.append(SlotsTaken(view.name, take_count))
        if records:
            self._context.writer.tell(Propose(tuple(records)))

    def _release_expired_holds(self) -> None:
        now = steady_seconds()
        while self._held_slots and self._held_slots[0][0] <= now:
            slots = self._slots.get(heapq.heappop(self._held_slots)[1])
            if slots is not None:
                slots.in_use -= 1

    def _tick(self) -> None:
        self._release_expired_holds()
        self._adjust_shares()
        for group in list(self._waiting):
            self._serve_queue(group)
        self._context.idle_slots = {
            group: sum(s.idle for s in slots) if not self._waiting.get(group) else 0
            for group, slots in self._by_group.items()
        }
