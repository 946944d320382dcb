"""Handling of requests and notices that other entry VMs send to this node."""

from collections.abc import Callable
from concurrent.futures import Future

from ..clocks import steady_seconds
from ..errors import PlatformError
from ..jobs.model import JobId
from ..jobs.orders import AdviceRequest
from ..logs import log_event
from ..platform.store import KeyedRecord
from .advice_dispatcher import LocalAdviceClient
from .held_lookups import HeldLookups
from .leader_queries import LeaderQueries
from .messages import (
    AdviceRelayRequest,
    AdviceReply,
    ConfigurationNotice,
    CountReply,
    CountRequest,
    EntryMessage,
    RecordNotice,
    RecordOutcome,
    RecordReply,
    RecordRequest,
    StatusRequest,
)

__all__ = ["make_request_handler"]


def make_request_handler(
    queries: LeaderQueries,
    held_lookups: HeldLookups,
    advice_client: LocalAdviceClient,
    record_locally: Callable[[JobId, KeyedRecord, float], RecordOutcome],
    apply_configuration: Callable[[bytes], None],
) -> Callable[[EntryMessage], EntryMessage | Future[EntryMessage] | None]:
    """Return the function that handles a message of a peer.

    Parameters
    ----------
    queries
        Answers requests that only the leader can answer.
    held_lookups
        Lookups that wait for the leader on this node.
    advice_client
        Client of the advice service for this node.
    record_locally
        Appends a job's record to the store from this node.
    apply_configuration
        Applies a configuration sent by a peer.

    Returns
    -------
    Callable
        Returns the reply to a request or a future of it, or None for a notice.
    """

    def handle_request(request: EntryMessage) -> EntryMessage | Future[EntryMessage] | None:
        match request:
            case StatusRequest(may_wait=True):
                return held_lookups.hold(lambda: queries.answer_status(request))
            case StatusRequest():
                return queries.answer_status(request)
            case CountRequest(number, queue):
                waiting = queries.local_count(queue)
                return CountReply(number, waiting or 0, waiting is not None)
            case AdviceRelayRequest():
                return _ask_advice(advice_client, request)
            case RecordRequest(number, job, key, value, seconds):
                record = KeyedRecord(key, value)
                outcome = queries.record_for_peer(
                    record, lambda: record_locally(job, record, seconds)
                )
                return RecordReply(number, outcome)
            case RecordNotice(key, value):
                queries.apply_record(KeyedRecord(key, value))
            case ConfigurationNotice(data):
                apply_configuration(data)
        return None

    return handle_request


def _ask_advice(advice_client: LocalAdviceClient, request: AdviceRelayRequest) -> AdviceReply:
    advice_request = AdviceRequest(
        request.job, request.repetition, request.step, tuple(request.workers)
    )
    started_at = steady_seconds()
    try:
        advice = advice_client.ask(advice_request, request.timeout_s)
    except PlatformError as error:
        log_event("advice_unanswered", job=request.job, step=request.step, reason=str(error))
        return AdviceReply(request.number, None)
    return AdviceReply(request.number, advice.tickets, steady_seconds() - started_at)
