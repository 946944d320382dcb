"""Model of the progress records of one job in two partitions, with one change of leader.

The leader writes batches one at a time, may continue in the other partition at any moment, and
deletes the job's records once its last batch is on record. An append in transit may be carried out
at any time, also after its leader was replaced, and its answer may be lost. The next leader fences
and reads both partitions in any order.

The partitions' reads and fences are atomic. A deletion is carried out when it is sent, or not at
all.
"""

import dataclasses
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol, replace_item

__all__ = ["RULES", "Bounds", "State", "make_model"]

PARTS = (0, 1)

RULES = (
    "highest_batch_counts",
    "fence_every_partition",
    "fence_before_reading",
    "number_keeps_its_batch",
    "newest_deleted_last",
    "no_deletion_beside_open_append",
)
"""Rules that may be left out."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search."""

    batches: int = 3
    switches: int = 3


class Part(NamedTuple):
    """A partition: whether the first leader is fenced, its last number, and the job's record.

    The record is the number of its batch; 0 if there is none.
    """

    fenced: bool = False
    number: int = 0
    record: int = 0


class Append(NamedTuple):
    """An append in transit to a partition."""

    part: int
    number: int
    batch: int


class Leader(NamedTuple):
    """The first leader.

    Attributes
    ----------
    part
        The partition to which it appends.
    batch, confirmed
        The batch that it writes or has written, and the newest one that it knows to be on record.
    numbers
        For each partition, the number of its last append.
    open_batches
        For each partition, the batch of an append without an answer; 0 if there is none.
    order
        The partitions that may hold records, with the newest last.
    deleted
        The number of partitions from which it has deleted the record.
    """

    part: int = 0
    batch: int = 0
    confirmed: int = 0
    numbers: tuple = (0, 0)
    open_batches: tuple = (0, 0)
    order: tuple = ()
    deleted: int = 0


class State(NamedTuple):
    """The partitions, appends in transit, the first leader, and what the next one has read."""

    parts: tuple = (Part(), Part())
    transit: frozenset = frozenset()
    leader: Leader = Leader()
    switches: int = 0
    reads: tuple = (None, None)


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: Rules) -> None:
        self._bounds = bounds
        self._holds = rules.holds

    def transitions(self, state: State) -> list:
        """Return all labels and next states."""
        steps = [*self._batch_steps(state), *self._delete_steps(state)]
        for append in state.transit:
            steps += self._execute_steps(state, append)
        for part in PARTS:
            steps += self._takeover_steps(state, part)
        return steps

    def _batch_steps(self, state: State) -> list:
        leader = state.leader
        steps = []
        if leader.confirmed == leader.batch < self._bounds.batches:
            after = leader._replace(batch=leader.batch + 1)
            steps.append((f"batch {after.batch} begins", state._replace(leader=after)))
        if leader.confirmed < leader.batch:
            steps.append(self._send_step(state))
            if state.switches < self._bounds.switches:
                after = leader._replace(part=1 - leader.part)
                label = f"the leader continues in {after.part}"
                steps.append((label, state._replace(leader=after, switches=state.switches + 1)))
        return steps

    def _send_step(self, state: State) -> tuple:
        leader = state.leader
        part = leader.part
        open_batch = leader.open_batches[part]
        if not open_batch:
            number = leader.numbers[part] + 1
            order = (*(each for each in leader.order if each != part), part)
            leader = leader._replace(
                numbers=replace_item(leader.numbers, part, number), order=order
            )
        if not open_batch or not self._holds("number_keeps_its_batch"):
            open_batch = leader.batch
        open_batches = replace_item(leader.open_batches, part, open_batch)
        append = Append(part, leader.numbers[part], open_batch)
        after = state._replace(
            leader=leader._replace(open_batches=open_batches), transit=state.transit | {append}
        )
        return f"batch {open_batch} is sent to {part} as {append.number}", after

    def _execute_steps(self, state: State, append: Append) -> list:
        part = state.parts[append.part]
        state = state._replace(transit=state.transit - {append})
        if part.fenced or append.number > part.number + 1:
            return [(f"{append} is refused", state)]
        if append.number == part.number + 1:
            part = part._replace(number=append.number, record=append.batch)
            state = state._replace(parts=replace_item(state.parts, append.part, part))
        lost = (f"{append} is carried out, unanswered", state)
        leader = state.leader
        if append.number != leader.numbers[append.part] or not leader.open_batches[append.part]:
            return [lost]
        open_batches = replace_item(leader.open_batches, append.part, 0)
        confirmed = max(leader.confirmed, append.batch)
        leader = leader._replace(open_batches=open_batches, confirmed=confirmed)
        return [lost, (f"{append} is answered", state._replace(leader=leader))]

    def _delete_steps(self, state: State) -> list:
        """Return the deletion of the next partition's record; none follows one that fails."""
        leader = state.leader
        has_ended = leader.confirmed == self._bounds.batches
        # A replaced leader deletes nothing more.
        is_replaced = state.reads != (None, None) or any(part.fenced for part in state.parts)
        if not has_ended or is_replaced or leader.deleted == len(leader.order):
            return []
        if any(leader.open_batches) and self._holds("no_deletion_beside_open_append"):
            return []
        order = leader.order if self._holds("newest_deleted_last") else leader.order[::-1]
        number = order[leader.deleted]
        part = state.parts[number]._replace(record=0)
        after = state._replace(
            parts=replace_item(state.parts, number, part),
            leader=leader._replace(deleted=leader.deleted + 1),
        )
        return [(f"the record in {number} is deleted", after)]

    def _takeover_steps(self, state: State, number: int) -> list:
        part = state.parts[number]
        steps = []
        if not part.fenced and (number == 0 or self._holds("fence_every_partition")):
            fenced = replace_item(state.parts, number, part._replace(fenced=True))
            steps.append((f"partition {number} is fenced", state._replace(parts=fenced)))
        may_read = not self._holds("fence_before_reading") or all(
            each.fenced or (index and not self._holds("fence_every_partition"))
            for index, each in enumerate(state.parts)
        )
        if may_read and state.reads[number] is None:
            reads = replace_item(state.reads, number, part.record)
            steps.append((f"partition {number} is read", state._replace(reads=reads)))
        return steps


def _make_invariant(rules: Rules):
    def knows_the_newest(values: dict) -> bool:
        """Check that the next leader has read whatever the first one knew to be on record."""
        reads, leader = values["reads"], values["leader"]
        if None in reads:
            return True
        found = max(reads) if rules.holds("highest_batch_counts") else (reads[1] or reads[0])
        return found >= leader.confirmed or (leader.deleted > 0 and not found)

    return knows_the_newest


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol; ``left_out`` is one of `RULES`, or an empty string."""
    rules = Rules(left_out)
    return make_protocol(
        "progress",
        left_out,
        State(),
        Model(bounds, rules).transitions,
        {"takeover_knows_the_newest": _make_invariant(rules)},
        lambda values: None not in values["reads"],
    )
