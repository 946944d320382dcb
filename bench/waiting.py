"""Measure waiting times at the highest load: ``python -m bench.waiting [SEED ...]``.

Runs the real decisions on 270 emulated workers, with a burst of lookups and one of payouts on top
of a load of four fifths of their processors. The leader's processor time isn't modelled.
"""

import sys
import time

from snowdock.emulator import Emulator, EmulatorOptions, WorkloadOptions, draw_workload
from snowdock.emulator.report import format_report, make_report
from snowdock.emulator.workload import Burst, crowded_mixes

SECONDS = 34.0
DRAIN_SECONDS = 20.0
SAMPLE_SECONDS = 0.5
BURSTS = (Burst("lookups", 6.6, 4.0, 2.3), Burst("payouts", 20.0, 4.0, 1.8))


def run_seed(seed: int) -> float:
    """Run one seed, print its report and the processor use, and return its worth."""
    workload = WorkloadOptions(SECONDS, 1.0, crowded_mixes(), BURSTS)
    options = EmulatorOptions(workload, workers=270, racks=23, advice_node_count=97)
    jobs = draw_workload(seed, workload)
    began = time.perf_counter()
    emulator = Emulator(seed, options, jobs)
    busy = []
    for number in range(round((SECONDS + DRAIN_SECONDS) / SAMPLE_SECONDS)):
        emulator.run_until((number + 1) * SAMPLE_SECONDS)
        used = sum(worker.used_cpu for worker in emulator.workers.values())
        busy.append(used / (len(emulator.workers) * options.capacity.cpu))
    report = make_report(emulator, jobs)
    print(f"seed {seed}, played in {time.perf_counter() - began:.0f} s")
    print(format_report(report))
    print("processors in use:", " ".join(f"{share:.2f}" for share in busy[::4]))
    return report.worth


def main() -> None:
    """Run the given seeds, or three by default."""
    seeds = [int(word) for word in sys.argv[1:]] or [1, 2, 3]
    worths = [run_seed(seed) for seed in seeds]
    print(f"mean worth {sum(worths) / len(worths):.3f}")


if __name__ == "__main__":
    main()
