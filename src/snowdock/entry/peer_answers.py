"""Handling of requests and notices that other entry VMs send to this node."""

from collections.abc import Callable

from ..errors import PlatformError
from ..jobs.model import JobId
from ..jobs.orders import AdviceWanted
from ..logs import log_event
from ..platform.store import KeyedRecord
from .advisers import LocalAdviser
from .leader_queries import LeaderQueries
from .messages import (
    AdviceAsked,
    AdviceReply,
    ConfigurationTold,
    CountAsked,
    CountReply,
    EntryMessage,
    RecordAsked,
    Recording,
    RecordNoted,
    RecordReply,
    StatusAsked,
    StatusReply,
)

__all__ = ["make_peer_answers"]


def make_peer_answers(
    queries: LeaderQueries,
    adviser: LocalAdviser,
    record_here: Callable[[JobId, KeyedRecord, float], Recording],
    take_configuration: Callable[[bytes], None],
) -> Callable[[EntryMessage], EntryMessage | None]:
    """Return the function that handles a message of a peer.

    Parameters
    ----------
    queries
        Answers requests that only the leader can answer.
    adviser
        Queries the advice service from this node.
    record_locally
        Appends a job's record to the store from this node.
    apply_configuration
        Applies a configuration sent by a peer.

    Returns
    -------
    Callable
        Returns the reply to a request, or None for a notice.
    """

    def answer(question: EntryMessage) -> EntryMessage | None:
        match question:
            case StatusAsked(number, job, team):
                return StatusReply(number, *queries.own_status(job, team))
            case CountAsked(number, queue):
                waiting = queries.own_count(queue)
                return CountReply(number, waiting or 0, waiting is not None)
            case AdviceAsked():
                return _ask_advice(adviser, question)
            case RecordAsked(number, job, key, value, seconds):
                return RecordReply(number, record_here(job, KeyedRecord(key, value), seconds))
            case RecordNoted(key, value):
                queries.take_note(KeyedRecord(key, value))
            case ConfigurationTold(data):
                take_configuration(data)
        return None

    return answer


def _ask_advice(adviser: LocalAdviser, asked: AdviceAsked) -> AdviceReply:
    wanted = AdviceWanted(asked.job, asked.repetition, asked.step, tuple(asked.workers))
    try:
        given = adviser.ask(wanted, asked.seconds)
    except PlatformError as error:
        log_event("advice_unanswered", job=asked.job, step=asked.step, reason=str(error))
        return AdviceReply(asked.number, None)
    return AdviceReply(asked.number, given.tickets)
