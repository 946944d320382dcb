"""Model of the placement of one task: placed, run under a lease, declared lost, placed again.

Two nodes read one log independently; two workers run the orders that arrive in time. Transitions
interleave freely, which covers pauses, late orders and slow readers, and a node may restart with
empty memory. Worker 0 may disappear from the VM list and continue to run, which is the worst
case of a wrong list.

A node's state is derived from the prefix of the log that it has read, so the log itself isn't
part of the state. Each rule that safety depends on can be left out by name; the checker then
finds a counterexample.
"""

import dataclasses
import functools
from typing import NamedTuple

from minicheck import Protocol

from .tools import Rules, make_protocol, replace_item

__all__ = ["RULES", "Append", "Bounds", "State", "make_model", "parse_append"]

LEASE_TICKS = 1
ORDER_VALID_TICKS = 1
CLOCK_MARGIN_TICKS = 1
CLOCK_SKEW_TICKS = 1
"""The workers' clocks are behind the nodes' clocks by the whole margin."""

RULES = (
    "fence",
    "fence_by_all",
    "order_validity",
    "clock_margin",
    "lease_wait",
    "join_before_acting",
    "refused_stays_refused",
    "placed_only_when_queued",
)
"""Rules that may be left out."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of the search."""

    ticks: int = 4
    attempts: int = 2
    restarts: int = 1
    orders: int = 1


class View(NamedTuple):
    """The state derived from a prefix of the log.

    ``confirmed`` holds for each node whether it has confirmed the end of worker 0, and
    ``fenced`` the tick at which the last one did (-1 for not yet).
    """

    queued: bool = False
    attempt: int = 1
    worker: int = 0
    gone: bool = False
    confirmed: tuple = (False, False)
    fenced: int = -1
    done: bool = False


class Node(NamedTuple):
    """A node's view; after a restart, it acts only after it has read its own join record."""

    view: View = View()
    joined: bool = True


class Worker(NamedTuple):
    """The running attempt (0 for none), the end of its lease, and the attempts to be refused."""

    attempt: int = 0
    lease_until: int = 0
    refused: frozenset = frozenset()


class Order(NamedTuple):
    """An order in transit that starts or renews an attempt."""

    worker: int
    attempt: int
    built: int


class State(NamedTuple):
    """The time, the state of the whole log, the nodes, the workers, and the orders in transit."""

    now: int = 0
    truth: View = View()
    nodes: tuple = (Node(), Node())
    workers: tuple = (Worker(), Worker())
    orders: frozenset = frozenset()
    restarts: int = 0


class Append(NamedTuple):
    """A record that a node appends; ``subject`` is a worker or an attempt."""

    node: int
    kind: str
    subject: int

    @property
    def label(self) -> str:
        """The transition's label in a trace."""
        return f"node {self.node} appends {self.kind} {self.subject}"


def parse_append(label: str) -> Append | None:
    """Parse the append from a transition's label; return None for other transitions."""
    words = label.split()
    if len(words) != 5 or words[2] != "appends":
        return None
    return Append(int(words[1]), words[3], int(words[4]))


class PlacementRules(Rules):
    """The rules by which records are validated."""

    def __init__(self, left_out: str, attempts: int) -> None:
        super().__init__(left_out)
        self._attempts = attempts

    def last_run_tick(self, fenced: int) -> int:
        """Return the last tick at which an attempt on a fenced worker may still run."""
        lease = LEASE_TICKS if self.holds("lease_wait") else 0
        margin = CLOCK_MARGIN_TICKS if self.holds("clock_margin") else 0
        return fenced + ORDER_VALID_TICKS + lease + margin

    def judge(self, view: View, append: Append, now: int) -> View | None:
        """Apply a record at its offset; return None if it is invalid."""
        if append.kind == "confirm":
            return view
        if append.kind == "gone":
            return None if view.gone else view._replace(gone=True)
        if append.kind == "place":
            return self._judge_placement(view, append.subject)
        if view.done or view.queued or append.subject != view.attempt:
            return None
        if append.kind == "end":
            # A failed attempt is retried unless it was the last one.
            is_last = view.attempt >= self._attempts
            return view._replace(done=True) if is_last else view._replace(queued=True)
        return view._replace(queued=True) if self._may_be_lost(view, now) else None

    def _judge_placement(self, view: View, worker: int) -> View | None:
        if not view.queued and self.holds("placed_only_when_queued"):
            return None
        if worker == 0 and view.gone:
            return None
        return view._replace(queued=False, attempt=view.attempt + 1, worker=worker)

    def _may_be_lost(self, view: View, now: int) -> bool:
        if view.worker != 0 or not view.gone:
            return False
        if not self.holds("fence"):
            return True
        return view.fenced >= 0 and now > self.last_run_tick(view.fenced)

    def confirm(self, view: View, node: int, now: int) -> View:
        """Record that a node has read the record of the worker's end."""
        view = view._replace(confirmed=replace_item(view.confirmed, node, True))
        quorum = all if self.holds("fence_by_all") else any
        if view.fenced < 0 and quorum(view.confirmed):
            view = view._replace(fenced=now)
        return view


class Model:
    """The transitions of the model."""

    def __init__(self, bounds: Bounds, rules: PlacementRules) -> None:
        self._bounds = bounds
        self._rules = rules

    def transitions(self, state: State) -> list:
        """Return all labels and next states; there are none once the task has ended."""
        if state.truth.done:
            return []
        steps = [*self._tick_steps(state), *self._worker_steps(state), *self._restart_steps(state)]
        for number, node in enumerate(state.nodes):
            steps += self._node_steps(state, number, node)
        return steps

    def _tick_steps(self, state: State) -> list:
        # Leases that expire before the worker is declared gone are covered by "ends".
        if state.now >= self._bounds.ticks or not state.truth.gone:
            return []
        local = state.now + 1 - CLOCK_SKEW_TICKS
        workers = tuple(_expire_lease(worker, local) for worker in state.workers)
        orders = state.orders
        if self._rules.holds("order_validity"):
            orders = frozenset(
                order for order in orders if local <= order.built + ORDER_VALID_TICKS
            )
        return [("tick", state._replace(now=state.now + 1, workers=workers, orders=orders))]

    def _node_steps(self, state: State, number: int, node: Node) -> list:
        steps = []
        if node.view != state.truth or not node.joined:
            after = replace_item(state.nodes, number, Node(state.truth))
            steps.append((f"node {number} reads", state._replace(nodes=after)))
        if node.joined or not self._rules.holds("join_before_acting"):
            steps += self._append_steps(state, number, node.view)
            steps += self._order_steps(state, number, node.view)
        return steps

    def _append_steps(self, state: State, number: int, view: View) -> list:
        steps = []
        for kind, subject in self._allowed_appends(state, number, view):
            append = Append(number, kind, subject)
            truth = state.truth
            if view.gone:
                truth = self._rules.confirm(truth, number, state.now)
            judged = self._rules.judge(truth, append, state.now)
            steps.append((append.label, state._replace(truth=truth if judged is None else judged)))
        return steps

    def _allowed_appends(self, state: State, number: int, view: View) -> list:
        wanted = []
        may_place = view.queued or not self._rules.holds("placed_only_when_queued")
        if may_place and not view.done and view.attempt < self._bounds.attempts:
            wanted += [("place", w) for w in (0, 1) if w == 1 or not view.gone]
        if not view.gone and not view.queued and view.worker == 0:
            wanted.append(("gone", 0))
        if view.gone and not view.confirmed[number]:
            wanted.append(("confirm", number))
        if not view.queued and view.worker == 0 and view.gone:
            wanted.append(("lost", view.attempt))
        if not view.queued and view.attempt in state.workers[view.worker].refused:
            wanted.append(("end", view.attempt))
        return wanted

    def _order_steps(self, state: State, number: int, view: View) -> list:
        if view.queued or (view.gone and view.worker == 0):
            return []
        order = Order(view.worker, view.attempt, state.now)
        if order in state.orders or len(state.orders) >= self._bounds.orders:
            return []
        label = f"node {number} sends order for attempt {view.attempt} to worker {view.worker}"
        return [(label, state._replace(orders=state.orders | {order}))]

    def _worker_steps(self, state: State) -> list:
        steps = []
        for order in state.orders:
            left = state.orders - {order}
            worker = self._execute_order(state.now, state.workers[order.worker], order)
            workers = replace_item(state.workers, order.worker, worker)
            label = f"worker {order.worker} gets the order of {order.built}"
            steps.append((label, state._replace(workers=workers, orders=left)))
            steps.append(("an order is lost", state._replace(orders=left)))
        for number, worker in enumerate(state.workers):
            if worker.attempt:
                workers = replace_item(state.workers, number, _end_attempt(worker))
                steps.append((f"worker {number} ends", state._replace(workers=workers)))
        return steps

    def _execute_order(self, now: int, worker: Worker, order: Order) -> Worker:
        local = now - CLOCK_SKEW_TICKS
        if local > order.built + ORDER_VALID_TICKS and self._rules.holds("order_validity"):
            return worker
        if order.attempt in worker.refused and self._rules.holds("refused_stays_refused"):
            return worker
        return worker._replace(attempt=order.attempt, lease_until=local + LEASE_TICKS)

    def _restart_steps(self, state: State) -> list:
        if state.restarts >= self._bounds.restarts:
            return []
        steps = []
        for number in (0, 1):
            truth = state.truth
            if truth.gone:
                truth = self._rules.confirm(truth, number, state.now)
            # The node reads the log from its start, where worker 0 is not gone yet.
            nodes = replace_item(state.nodes, number, Node(View(), joined=False))
            after = state._replace(truth=truth, nodes=nodes, restarts=state.restarts + 1)
            steps.append((f"node {number} restarts", after))
        return steps


def _end_attempt(worker: Worker) -> Worker:
    return worker._replace(attempt=0, refused=worker.refused | {worker.attempt})


def _expire_lease(worker: Worker, local: int) -> Worker:
    return _end_attempt(worker) if worker.attempt and worker.lease_until < local else worker


def make_model(bounds: Bounds, left_out: str = "") -> Protocol:
    """Build the checker's protocol.

    Parameters
    ----------
    bounds
        Limits of the search.
    left_out
        The one of `RULES` that is left out; an empty string for the complete protocol.
    """
    model = Model(bounds, PlacementRules(left_out, bounds.attempts))
    return make_protocol(
        "placement",
        left_out,
        State(),
        model.transitions,
        {"one_place": _runs_on_one_worker, "queued_means_idle": _queued_means_idle},
        functools.partial(_is_finished, bounds),
    )


def _runs_on_one_worker(state: dict) -> bool:
    return sum(1 for worker in state["workers"] if worker.attempt) <= 1


def _queued_means_idle(state: dict) -> bool:
    """Check whether a task that is queued according to the log runs nowhere."""
    return not state["truth"].queued or not any(w.attempt for w in state["workers"])


def _is_finished(bounds: Bounds, state: dict) -> bool:
    """Check whether the task has ended or the last tick is reached."""
    return state["truth"].done or state["now"] >= bounds.ticks
