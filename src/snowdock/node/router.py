"""The actor that hands out this node's slots on minions to waiting requests."""

import dataclasses
import heapq
import itertools

import pykka

from ..clocks import steady_seconds
from ..decisions.minion_choice import MinionHealth, choose_minion, record_result
from ..decisions.shares import MinionView
from ..records import SlotsReturned, SlotsTaken
from .messages import (
    Acquire,
    Granted,
    LentByPeer,
    MinionsChanged,
    PeerIdle,
    Propose,
    Refused,
    Released,
    Tick,
    View,
)
from .parts import Parts

__all__ = ["Router"]

_MIN_RETRY_SECONDS = 0.1
_MAX_RETRY_SECONDS = 30.0
_TYPICAL_SECONDS = 0.05
_SMOOTHING = 0.1
_WORTH_SENDING = 1.0
"""A request that has less than this many typical runs left is not sent any more."""
_PEER_IDLE_SECONDS = 3.0
_REPROPOSE_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class _Slots:
    """Slots of one minion that are this node's."""

    view: MinionView
    in_use: int = 0
    returning: int = 0
    taking_since: float = -_REPROPOSE_SECONDS
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

    def __init__(self, parts: Parts) -> None:
        super().__init__()
        self._parts = parts
        self._slots: dict[str, _Slots] = {}
        self._by_group: dict[str, list[_Slots]] = {}
        self._waiting: dict[str, list] = {}
        self._may_take = False
        self._order = itertools.count()
        self._held: list[tuple[float, str]] = []
        self._seconds = _TYPICAL_SECONDS
        self._peers: dict[str, tuple[float, dict[str, int]]] = {}

    @property
    def _hall(self) -> str:
        return self._parts.settings.node.hall

    def on_receive(self, message: object) -> object:
        """Dispatch by the message's type."""
        if isinstance(message, Acquire):
            return self._acquire(message)
        if isinstance(message, Released):
            return self._release(message)
        if isinstance(message, MinionsChanged):
            return self._change(message)
        if isinstance(message, PeerIdle):
            self._peers[message.node] = (steady_seconds(), dict(message.idle_slots))
            return self._lend_waiting(message.idle_slots)
        if isinstance(message, Tick):
            return self._tick()
        if isinstance(message, View):
            return message.function(self._slots)
        raise TypeError(type(message).__name__)

    # -- asking ----------------------------------------------------------------------------

    def _acquire(self, message: Acquire) -> None:
        group = message.group
        if not self._waiting.get(group) and self._grant(message):
            return
        hopeless = self._why_hopeless(message)
        if hopeless:
            message.slot.set(Refused(hopeless, self._retry_after(group)))
            return
        peer = self._idle_peer(group) if message.may_lend else None
        if peer is not None:
            message.slot.set(LentByPeer(peer))
            return
        queue = self._waiting.setdefault(group, [])
        if not message.may_wait or len(queue) >= message.queue_limit:
            message.slot.set(Refused("no slot is free", self._retry_after(group)))
            return
        if steady_seconds() + self._wait_for(message) > message.deadline:
            # Waiting would end in a refusal all the same; now the caller can turn elsewhere.
            message.slot.set(Refused("the queue is too long", self._retry_after(group)))
            return
        heapq.heappush(queue, (-message.priority, next(self._order), message))

    def _why_hopeless(self, message: Acquire) -> str:
        """Say why waiting cannot help, or nothing where it can."""
        if message.wanted:
            wanted = self._slots.get(message.wanted)
            if wanted is None or not wanted.view.is_live:
                return "the session's minion is gone"
        usable = [s.view.name for s in self._by_group.get(message.group, ()) if s.usable]
        if usable and message.excluded.issuperset(usable):
            return "no other minion is left"
        return ""

    def _grant(self, message: Acquire) -> bool:
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
        message.slot.set(Granted(found.name, found.address))
        return True

    def _lend_waiting(self, idle_slots: dict[str, int]) -> None:
        """Hand waiting requests to a peer that has just told of idle slots."""
        for group in idle_slots:
            queue = self._waiting.get(group, [])
            for entry in sorted(queue, key=lambda waiting: waiting[:2]):
                message = entry[2]
                if not message.may_lend:
                    continue
                node = self._idle_peer(group)
                if node is None:
                    break
                queue.remove(entry)
                message.slot.set(LentByPeer(node))
            heapq.heapify(queue)

    def _idle_peer(self, group: str) -> str | None:
        horizon = steady_seconds() - _PEER_IDLE_SECONDS
        idle = {
            node: slots.get(group, 0)
            for node, (heard, slots) in self._peers.items()
            if heard > horizon and slots.get(group, 0) > 0
        }
        if not idle:
            return None
        node = max(idle, key=idle.get)
        # Until its next heartbeat the peer is taken to have one slot less.
        self._peers[node][1][group] -= 1
        return node

    def _wait_for(self, message: Acquire) -> float:
        """Work out when a request that joins the queue now would be answered."""
        queue = self._waiting.get(message.group, ())
        ahead = sum(1 for priority, _, _ in queue if -priority >= message.priority)
        return self._seconds_until_free(message.group, ahead) + self._seconds

    def _seconds_until_free(self, group: str, ahead: int) -> float:
        slots = sum(s.usable for s in self._by_group.get(group, ())) or 1
        return self._seconds * (ahead + 1) / slots

    def _retry_after(self, group: str) -> float:
        """Work out from the queue when a slot is likely to be free."""
        seconds = self._seconds_until_free(group, len(self._waiting.get(group, ())))
        return min(max(seconds, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)

    # -- giving back -----------------------------------------------------------------------

    def _release(self, message: Released) -> None:
        slots = self._slots.get(message.minion)
        if slots is None:
            return
        now = steady_seconds()
        record_result(slots.health, message.failed, now)
        if message.hold_seconds:
            heapq.heappush(self._held, (now + message.hold_seconds, message.minion))
            return
        slots.in_use -= 1
        if not message.failed:
            self._seconds += _SMOOTHING * (message.seconds - self._seconds)
        if slots.in_use == 0 and slots.view.share == 0 and not slots.view.is_live:
            self._forget(slots)
        self._serve(slots.view.group)

    def _serve(self, group: str) -> None:
        queue = self._waiting.get(group, [])
        now = steady_seconds()
        while queue:
            message = queue[0][2]
            if message.deadline <= now + self._seconds * _WORTH_SENDING:
                # What would be answered too late only takes a slot from the next one.
                heapq.heappop(queue)
                message.slot.set(Refused("too little time is left", self._retry_after(group)))
            elif self._grant(message):
                heapq.heappop(queue)
            else:
                return

    # -- the division among nodes ----------------------------------------------------------

    def _change(self, message: MinionsChanged) -> None:
        self._may_take = message.may_take
        named = set()
        for view in message.minions:
            named.add(view.name)
            slots = self._slots.get(view.name)
            if slots is None:
                slots = self._slots[view.name] = _Slots(view)
                self._by_group.setdefault(view.group, []).append(slots)
            returned = slots.view.share - view.share
            slots.view = view
            if returned > 0:
                slots.returning = max(0, slots.returning - returned)
            else:
                slots.taking_since = -_REPROPOSE_SECONDS
        for name in self._slots.keys() - named:
            self._forget(self._slots[name])
        self._settle()
        for group in list(self._waiting):
            self._serve(group)

    def _forget(self, slots: _Slots) -> None:
        self._slots.pop(slots.view.name, None)
        group = self._by_group.get(slots.view.group, [])
        if slots in group:
            group.remove(slots)

    def _settle(self) -> None:
        """Move this node's shares towards their targets."""
        if not self._may_take:
            # A node on its way out needs its slots for what it still has in flight; they
            # are all given back when it leaves.
            return
        now = steady_seconds()
        records = []
        for slots in self._slots.values():
            view = slots.view
            target = view.target if view.is_live else 0
            surplus = view.share - slots.returning - target
            giving = min(surplus, view.share - slots.returning - slots.in_use)
            if giving > 0:
                slots.returning += giving
                records.append(SlotsReturned(view.name, giving))
            wanted = min(-surplus, view.unassigned)
            if wanted > 0 and now - slots.taking_since > _REPROPOSE_SECONDS:
                slots.taking_since = now
                records.append(SlotsTaken(view.name, wanted))
        if records:
            self._parts.writer.tell(Propose(tuple(records)))

    def _release_held(self) -> None:
        now = steady_seconds()
        while self._held and self._held[0][0] <= now:
            slots = self._slots.get(heapq.heappop(self._held)[1])
            if slots is not None:
                slots.in_use -= 1

    def _tick(self) -> None:
        self._release_held()
        self._settle()
        for group in list(self._waiting):
            self._serve(group)
        self._parts.idle_slots = {
            group: sum(s.idle for s in slots) if not self._waiting.get(group) else 0
            for group, slots in self._by_group.items()
        }
