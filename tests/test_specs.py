"""Tests that the models hold within small bounds and that the reducer conforms to them.

``make check-model`` runs the full search.
"""

import random
import unittest
from types import ModuleType

from snowdock.declarations import Declarations, Endpoint, Limits, Size, Team, WorkSpec
from snowdock.effects import Accepted
from snowdock.leases import ORDER_VALID_MS
from snowdock.records import (
    AttemptEnded,
    AttemptLost,
    Batch,
    ConfigurationProposed,
    MinionSeen,
    NodeJoined,
    Placement,
    RequestEnded,
    RequestIntended,
    SlotsReturned,
    SlotsTaken,
    TasksPlaced,
    WorkerGone,
    WorkerSeen,
    WorkSubmitted,
)
from snowdock.reducer import Entry, reduce
from snowdock.request_ids import new_request_id
from snowdock.state import State, TaskState, VmState
from specs import (
    authority_model,
    configuration_model,
    crash_model,
    life_model,
    loss_model,
    placement_model,
    progress_model,
    quota_model,
    request_model,
    slot_model,
    starvation_model,
)
from specs.check import SMALL_BOUNDS, check

START_MS = 1_000_000
WALKS = 60
STEPS = 40


class TestModels(unittest.TestCase):
    def test_models_hold_and_can_finish(self) -> None:
        """Within small bounds each model holds and can always finish its work."""
        for module, bounds in SMALL_BOUNDS.items():
            with self.subTest(module.__name__):
                result = check(module, bounds)
                self.assertIs(result.holds, True)
                self.assertIs(result.can_finish, True)

    def test_omitted_rule_is_refuted(self) -> None:
        """The checker finds a counterexample if a rule of a model is omitted."""
        for module, rule in (
            (placement_model, "fence"),
            (request_model, "one_intent"),
            (slot_model, "cooling"),
            (configuration_model, "base_is_current"),
            *((crash_model, rule) for rule in crash_model.RULES),
            *((loss_model, rule) for rule in loss_model.RULES),
            *((starvation_model, rule) for rule in starvation_model.RULES),
            *((life_model, rule) for rule in life_model.RULES),
            *((quota_model, rule) for rule in quota_model.RULES),
            *((progress_model, rule) for rule in progress_model.RULES),
            *((authority_model, rule) for rule in authority_model.RULES),
        ):
            with self.subTest(rule):
                bounds = module.Bounds()
                self.assertIs(check(module, bounds, rule).holds, False)


class Replay:
    """Replays the appends of a walk in the reducer as batches of two nodes."""

    def __init__(self, declarations: Declarations) -> None:
        self.state = State()
        self.now_ms = START_MS
        self._incarnations = ["a0", "b0"]
        self._sequences = [0, 0]
        for node in (0, 1):
            self.join(node)
        self.append(0, ConfigurationProposed(0, declarations, ""))

    def join(self, node: int) -> None:
        self._incarnations[node] += "'"
        name, incarnation = f"n{node}", self._incarnations[node]
        self.append(node, NodeJoined(name, incarnation, "h", "", ""))

    def append(self, node: int, *records, read: int = -1, incarnation: str = "") -> list[bool]:
        """Append a batch and return for each record whether it was valid."""
        self._sequences[node] += 1
        batch = Batch(
            f"n{node}",
            incarnation or self._incarnations[node],
            self._sequences[node],
            read,
            self.now_ms,
            list(records),
        )
        effects = reduce(self.state, Entry(self.state.offset + 1, batch))
        verdicts = effects[-1].verdicts if effects else ()
        return [isinstance(verdict, Accepted) for verdict in verdicts]


def walks(module: ModuleType):
    """Yield random walks through a model: lists of (label, state before, state after)."""
    protocol = module.make_model(module.Bounds())
    for seed in range(WALKS):
        source = random.Random(seed)
        state = module.State(*protocol.initial)
        walk = []
        for _ in range(STEPS):
            steps = protocol.transitions(tuple(state))
            if not steps:
                break
            label, after = source.choice(steps)
            walk.append((label, state, module.State(*after)))
            state = module.State(*after)
        yield walk


class TestReducerFollowsModels(unittest.TestCase):
    def test_placement(self) -> None:
        """The reducer's state equals the placement model's after each record of random walks."""
        appended = sum(self._replay_placement(walk) for walk in walks(placement_model))
        self.assertGreater(appended, WALKS)

    def _replay_placement(self, walk) -> int:
        tick_ms = ORDER_VALID_MS
        limits = Limits(lease_ms=tick_ms, clock_margin_ms=tick_ms)
        replay = Replay(Declarations(teams={"t": Team(cpu=9, memory_gb=9)}, limits=limits))
        size = Size(1, 1)
        for name in ("w0", "w1"):
            replay.append(0, WorkerSeen(name, "b", size, "r", "h", ""))
        replay.append(0, WorkSubmitted("k", WorkSpec("batch", "x", "t", 1, size, retries=0)))
        (number,) = replay.state.works
        replay.append(0, TasksPlaced(number, [Placement(0, "w0")]))
        appended = 0
        for label, before, after in walk:
            replay.now_ms = START_MS + after.now * tick_ms
            if label.endswith("restarts"):
                replay.join(int(label.split()[1]))
            append = placement_model.parse_append(label)
            if append is None:
                continue
            view = before.nodes[append.node].view
            gone = replay.state.workers["w0"].gone_offset
            records = self._placement_records(append, number, after.truth.done)
            replay.append(append.node, *records, read=gone if view.gone else -1)
            appended += 1
            self._compare_placement(replay.state, number, after.truth)
        return appended

    @staticmethod
    def _placement_records(append, number: int, done: bool) -> list:
        if append.kind == "place":
            return [TasksPlaced(number, [Placement(0, f"w{append.subject}")])]
        if append.kind == "gone":
            return [WorkerGone("w0", "b")]
        if append.kind == "lost":
            return [AttemptLost(number, 0, append.subject)]
        if append.kind == "end":
            outcome = "succeeded" if done else "absent"
            return [AttemptEnded(number, 0, append.subject, outcome)]
        return []

    def _compare_placement(self, state: State, number: int, truth) -> None:
        task = state.works[number].tasks[0]
        worker = state.workers["w0"]
        self.assertEqual(task.state == TaskState.QUEUED, truth.queued)
        self.assertEqual(task.state == TaskState.SUCCEEDED, truth.done)
        self.assertEqual(task.attempt, truth.attempt)
        self.assertEqual(worker.state == VmState.GONE, truth.gone)
        self.assertEqual(worker.fenced_ms > 0, truth.fenced >= 0)

    def test_request(self) -> None:
        """The reducer's verdict on each intent equals the request model's."""
        appended = sum(self._replay_request(walk) for walk in walks(request_model))
        self.assertGreater(appended, WALKS)

    def _replay_request(self, walk) -> int:
        replay = Replay(Declarations())
        request_id = new_request_id(START_MS)
        appended = 0
        incarnations = [0, 0]
        for label, before, after in walk:
            if label.endswith("restarts"):
                node = int(label.split()[1])
                replay.join(node)
                incarnations[node] += 1
            append = request_model.parse_append(label)
            if append is None or append in before.log:
                continue
            old = append.incarnation != incarnations[append.node]
            verdict = replay.append(
                append.node, RequestIntended(request_id, "m"), incarnation="gone" if old else ""
            )
            valid = after.holder == tuple(append) and before.holder != after.holder
            self.assertEqual(verdict == [True], valid)
            self.assertEqual(request_id in replay.state.requests, bool(after.holder))
            appended += 1
            if valid and after.ended == "not_run":
                ended = replay.append(append.node, RequestEnded(request_id, "not_run"))
                self.assertEqual(ended, [True])
        return appended

    def test_slots(self) -> None:
        """The reducer assigns a minion's slots to nodes as the slot model does."""
        appended = sum(self._replay_slots(walk) for walk in walks(slot_model))
        self.assertGreater(appended, WALKS)

    def _replay_slots(self, walk) -> int:
        tick_ms = 1000
        endpoint = Endpoint("g", slots=slot_model.SLOTS, deadline_ms=tick_ms)
        replay = Replay(Declarations(endpoints={"e": endpoint}))
        replay.append(0, MinionSeen("m", "g", "h", ""))
        appended = 0
        for label, _, after in walk:
            # Half a tick later, so that everything that expires at the tick has expired.
            replay.now_ms = START_MS + after.now * tick_ms + tick_ms // 2
            append = slot_model.parse_append(label)
            if append is None:
                continue
            appended += 1
            if append.kind == "joined":
                replay.now_ms -= tick_ms // 2
                replay.join(append.node)
            else:
                record = SlotsTaken if append.kind == "taken" else SlotsReturned
                self.assertEqual(replay.append(append.node, record("m", 1)), [True], label)
            minion = replay.state.minions["m"]
            shares = tuple(minion.shares.get(f"n{node}", 0) for node in (0, 1))
            self.assertEqual(shares, after.shares)
        return appended

    def test_configuration(self) -> None:
        """The reducer accepts and rejects the same changes as the configuration model."""
        appended = sum(self._replay_configuration(walk) for walk in walks(configuration_model))
        self.assertGreater(appended, WALKS)

    def _replay_configuration(self, walk) -> int:
        replay = Replay(Declarations())
        versions = {0: replay.state.configuration.version}
        appended = 0
        for label, _, after in walk:
            append = configuration_model.parse_append(label)
            if append is None:
                continue
            _, valid = after.log[-1]
            record = ConfigurationProposed(versions[append.base], Declarations(), "")
            self.assertEqual(replay.append(append.node, record), [valid])
            versions[len(after.log)] = replay.state.configuration.version
            appended += 1
        return appended


if __name__ == "__main__":
    unittest.main()
