"""Check all models, and check that leaving out any rule is refuted: ``python -m specs.check``.

Prints a line for each search. Exits with status 1 if a complete protocol violates an invariant
within the bounds, or if a rule can be left out without the checker finding a counterexample.
"""

import argparse
import dataclasses
import sys
import time
from types import ModuleType

from minicheck import check_liveness, check_safety

from . import (
    authority_model,
    configuration_model,
    crash_model,
    election_model,
    life_model,
    loss_model,
    placement_model,
    progress_model,
    quota_model,
    request_model,
    slot_model,
    starvation_model,
)

__all__ = ["SMALL_BOUNDS", "Result", "check", "main"]

_MAX_STATES = 500_000
_REFUTATION_STATE_LIMITS = (2_000, 10_000, 40_000, 150_000)
"""State limits of successive searches; a counterexample is valid in an incomplete search, too."""


@dataclasses.dataclass(frozen=True)
class Result:
    """The result of one search; None means undecided within the bounds."""

    model: str
    left_out: str
    holds: bool | None
    can_finish: bool | None
    states: int
    seconds: float
    steps: int

    @property
    def is_expected(self) -> bool:
        """Whether the complete protocol holds, or the one without a rule is refuted."""
        if self.left_out:
            return self.holds is False
        return self.holds is True and self.can_finish is True


FULL_BOUNDS = {
    placement_model: placement_model.Bounds(),
    request_model: request_model.Bounds(),
    slot_model: slot_model.Bounds(),
    configuration_model: configuration_model.Bounds(),
    election_model: election_model.Bounds(),
    quota_model: quota_model.Bounds(),
    crash_model: crash_model.Bounds(takeovers=2),
    loss_model: loss_model.Bounds(),
    starvation_model: starvation_model.Bounds(),
    life_model: life_model.Bounds(),
    progress_model: progress_model.Bounds(),
    authority_model: authority_model.Bounds(),
}

SMALL_BOUNDS = {
    placement_model: placement_model.Bounds(ticks=4, restarts=0),
    request_model: request_model.Bounds(restarts=1),
    slot_model: slot_model.Bounds(ticks=2),
    configuration_model: configuration_model.Bounds(records=2),
    election_model: election_model.Bounds(orders=1),
    quota_model: quota_model.Bounds(takeovers=0),
    crash_model: crash_model.Bounds(),
    loss_model: loss_model.Bounds(),
    starvation_model: starvation_model.Bounds(takeovers=0, failures=3),
    life_model: life_model.Bounds(restarts=1, takeovers=1, runs=2),
    progress_model: progress_model.Bounds(batches=2, switches=2),
    authority_model: authority_model.Bounds(blind_spells=0),
}
"""Bounds that are small enough for each run of the test suite."""


def check(module: ModuleType, bounds: object, left_out: str = "") -> Result:
    """Search one model exhaustively within its bounds.

    Parameters
    ----------
    module
        The model's module.
    bounds
        Its bounds.
    left_out
        The rule to leave out, or an empty string.
    """
    started = time.perf_counter()
    protocol = module.make_model(bounds, left_out)
    for limit in _REFUTATION_STATE_LIMITS if left_out else (_MAX_STATES,):
        report = check_safety(protocol, max_states=limit)
        property_results = [verdict["holds"] for verdict in report["properties"].values()]
        holds = False if False in property_results else (None if None in property_results else True)
        if holds is not None:
            break
    can_finish = None
    if not left_out and holds:
        can_finish = check_liveness(protocol)["holds"]
    traces = [v["counterexample"] for v in report["properties"].values() if v["counterexample"]]
    return Result(
        module.__name__.rpartition(".")[2],
        left_out,
        holds,
        can_finish,
        report["reachable_states"],
        time.perf_counter() - started,
        min((len(trace) - 1 for trace in traces), default=0),
    )


def format_result(result: Result) -> str:
    """Format a result as one line."""
    variant = f"without {result.left_out}" if result.left_out else "as it is"
    if result.holds is False:
        verdict = f"refuted in {result.steps} steps"
    else:
        verdict = {True: "holds", None: "undecided"}[result.holds]
        verdict += f", can finish: {result.can_finish}" if not result.left_out else ""
    mark = "ok  " if result.is_expected else "FAIL"
    counts = f"{result.states} states, {result.seconds:.1f} s"
    return f"{mark} {result.model:20} {variant:36} {verdict} ({counts})"


def main() -> int:
    """Check all models and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--small", action="store_true", help="use the bounds of the tests")
    options = parser.parse_args()
    all_bounds = SMALL_BOUNDS if options.small else FULL_BOUNDS
    all_expected = True
    for module, bounds in all_bounds.items():
        print(f"{module.__name__}: {bounds}")
        for left_out in ("", *module.RULES):
            # Some counterexamples need the larger bounds.
            result = check(module, FULL_BOUNDS[module] if left_out else bounds, left_out)
            print(format_result(result), flush=True)
            all_expected = all_expected and result.is_expected
    return 0 if all_expected else 1


if __name__ == "__main__":
    sys.exit(main())
