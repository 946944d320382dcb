"""The actor that assigns this node's slots on minions to requests."""

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
"""A request is rejected once its remaining time is below this many average durations."""
_PEER_IDLE_SECONDS = 3.0
_REPROPOSE_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class _Slots:
    """The slots of one minion that belong to this node.

    Attributes
    ----------
    view
        The minion and this node's share of it.
    in_use
        Slots that are assigned to requests.
    returning
        Slots whose return is proposed but not applied yet.
    last_take_at
        When this node last proposed to take slots, in seconds on the monotonic clock.
    health
        The health of the minion as seen by this node.
    """

    view: MinionView
    in_use: int = 0
    returning: int = 0
    taking_since: float = -_REPROPOSE_SECONDS
    health: MinionHealth = dataclasses.field(default_factory=MinionHealth)

    @property
    def usable(self) -> int:
        """The number of slots that may be assigned, including those in use."""
        return self.view.share - self.returning if self.view.is_live else 0

    @property
    def idle(self) -> int:
        """The number of slots that may be assigned now."""
        return max(0, self.usable - self.in_use)


class Router(pykka.ThreadingActor):
    """Assigns slots by priority, then by order of arrival.

    Slots are assigned only from this node's share as recorded on the log, so that all nodes
    together never exceed a minion's slots. A surplus is taken out of use before its return is
    recorded.

    Parameters
    ----------
    context
        The node's settings and actors.
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
        """Dispatch a message by its type."""
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

    # -- assignment ------------------------------------------------------------------------

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
            # The wait would exceed the deadline, so the caller can try elsewhere at once.
            message.slot.set(Refused("the queue is too long", self._retry_after(group)))
            return
        heapq.heappush(queue, (-message.priority, next(self._order), message))

    def _why_hopeless(self, message: Acquire) -> str:
        """Return why waiting for a slot is useless, or an empty string."""
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
        """Forward waiting requests to peers with idle slots, after a report of a peer."""
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
        # Counts the slot as used until the peer's next heartbeat.
        self._peers[node][1][group] -= 1
        return node

    def _wait_for(self, message: Acquire) -> float:
        """Estimate the seconds until a request that is queued now would be finished."""
        queue = self._waiting.get(message.group, ())
        ahead = sum(1 for priority, _, _ in queue if -priority >= message.priority)
        return self._seconds_until_free(message.group, ahead) + self._seconds

    def _seconds_until_free(self, group: str, ahead: int) -> float:
        slots = sum(s.usable for s in self._by_group.get(group, ())) or 1
        return self._seconds * (ahead + 1) / slots

    def _retry_after(self, group: str) -> float:
        """Estimate from the queue the seconds until a slot is free."""
        seconds = self._seconds_until_free(group, len(self._waiting.get(group, ())))
        return min(max(seconds, _MIN_RETRY_SECONDS), _MAX_RETRY_SECONDS)

    # -- release ---------------------------------------------------------------------------

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
                # A request that would exceed its deadline must not occupy a slot.
                heapq.heappop(queue)
                message.slot.set(Refused("too little time is left", self._retry_after(group)))
            elif self._grant(message):
                heapq.heappop(queue)
            else:
                return

    # -- shares among nodes ----------------------------------------------------------------

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
        """Propose changes that move this node's shares towards their targets."""
        if not self._may_take:
            # A draining node keeps its slots for requests in flight; all are released when it
            # leaves.
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
