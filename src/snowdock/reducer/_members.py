"""Handlers of node records, and the tracking of the members' read offsets."""

from ..effects import Accepted as _Accepted
from ..effects import MembersChanged, Verdict
from ..records import Batch, NodeDraining, NodeGone, NodeJoined, NodeLeft
from ..state import Member, MemberState, State
from . import _minions
from ._common import Context, require

__all__ = ["HANDLERS", "fence_workers", "update_read_offset"]


def update_read_offset(state: State, batch: Batch) -> None:
    """Update the sequence and the read offset of the member that sent a batch."""
    member = state.members.get(batch.node)
    if member is not None and member.incarnation == batch.incarnation:
        member.sequence = batch.sequence
        member.read_offset = max(member.read_offset, batch.read_offset)


def fence_workers(state: State) -> None:
    """Mark as fenced each gone worker whose `WorkerGone` record all members have read.

    A member confirms this by any batch with a sufficient read offset. A member that joined
    later has confirmed it by joining, since it acts only after it has read that record.
    """
    if not state.unfenced_workers:
        return
    slowest = min((member.read_offset for member in state.members.values()), default=-1)
    for name in list(state.unfenced_workers):
        worker = state.workers[name]
        if slowest >= worker.gone_offset:
            worker.fenced_ms = state.now_ms
            state.unfenced_workers.remove(name)


def _apply_node_joined(context: Context, record: NodeJoined) -> Verdict:
    state, batch = context.state, context.batch
    require(record.node == batch.node, "the node is not the sender of the batch")
    require(record.incarnation == batch.incarnation, "the incarnation is not that of the sender")
    known = state.members.get(record.node)
    require(known is None or known.incarnation != record.incarnation, "the node has joined already")
    if known is not None:
        _retire(context, known)
    state.members[record.node] = Member(
        name=record.node,
        incarnation=record.incarnation,
        hall=record.hall,
        api_address=record.api_address,
        peer_address=record.peer_address,
        read_offset=context.offset,
        sequence=batch.sequence,
    )
    context.effects.append(MembersChanged())
    return _Accepted(context.offset)


def _apply_node_draining(context: Context, record: NodeDraining) -> Verdict:
    require(record.node == context.batch.node, "the node is not the sender of the batch")
    context.state.members[record.node].state = MemberState.DRAINING
    context.effects.append(MembersChanged())
    return _Accepted()


def _apply_node_left(context: Context, record: NodeLeft) -> Verdict:
    state = context.state
    require(record.node == context.batch.node, "the node is not the sender of the batch")
    member = state.members.pop(record.node)
    _minions.release_slots(context, record.node)
    state.retired_incarnations[member.incarnation] = state.now_ms
    context.effects.append(MembersChanged())
    return _Accepted()


def _apply_node_gone(context: Context, record: NodeGone) -> Verdict:
    state = context.state
    member = state.members.get(record.node)
    require(member is not None, "unknown node")
    require(member.incarnation == record.incarnation, "another incarnation has joined")
    del state.members[record.node]
    _retire(context, member)
    context.effects.append(MembersChanged())
    return _Accepted()


def _retire(context: Context, member: Member) -> None:
    context.state.retired_incarnations[member.incarnation] = context.state.now_ms
    _minions.start_cooldown(context, member.name)


HANDLERS = {
    NodeJoined: _apply_node_joined,
    NodeDraining: _apply_node_draining,
    NodeLeft: _apply_node_left,
    NodeGone: _apply_node_gone,
}
