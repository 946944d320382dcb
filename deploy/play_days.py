"""Play a day for each kind of trouble and print a table of the rules broken.

    python deploy/play_days.py --bench PATH --site FILE [--jobs N] [--only TEXT] [--why TEXT]

The bench is a program of the platform's users; it is run as its page says, once a day file.
"""

import argparse
import concurrent.futures
import dataclasses
import pathlib
import re
import subprocess

_DAYS = pathlib.Path(__file__).parent / "days"
_DAY_SECONDS = 600.0
"""The longest that playing one day may take; a usual one takes some 20 s."""

_ROW = re.compile(r"^(\S+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)\s+([\d.]+)", re.MULTILINE)
_BROKEN = re.compile(r"^rules broken: (.+)$", re.MULTILINE)
_FIRST = re.compile(r"^([A-Z]{3,}) at .+$", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class Played:
    """How one day went; ``worth`` and ``served`` are None where it could not be played."""

    name: str
    worth: float | None
    served: float | None
    broken: str
    first: str


def play(bench: str, site: str, day: pathlib.Path, why: str) -> Played:
    """Play one day."""
    command = [bench, "run", site, str(day), "--why", f"{why}: {day.stem}"]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=_DAY_SECONDS, check=False
        )
    except subprocess.TimeoutExpired:
        return Played(day.stem, None, None, "not played to its end", "")
    row = _ROW.search(done.stdout)
    if row is None:
        lines = (done.stdout + done.stderr).strip().splitlines()
        return Played(day.stem, None, None, "not played", lines[-1] if lines else "")
    broken = _BROKEN.search(done.stdout)
    first = _FIRST.search(done.stdout)
    return Played(
        day.stem,
        float(row[2]),
        float(row[3]),
        broken[1] if broken else "",
        first[0] if broken and first else "",
    )


def main() -> None:
    """Play all days and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--only", default="")
    parser.add_argument("--why", default="a day for each kind of trouble")
    options = parser.parse_args()
    days = [day for day in sorted(_DAYS.glob("*.toml")) if options.only in day.stem]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        futures = [pool.submit(play, options.bench, options.site, day, options.why) for day in days]
        for future in futures:
            played = future.result()
            worth = "-" if played.worth is None else f"{played.worth:.3f}"
            served = "-" if played.served is None else f"{played.served:.3f}"
            print(f"{played.name:<28}{worth:>8}{served:>8}  {played.broken}", flush=True)
            if played.first:
                print(f"    {played.first}")


if __name__ == "__main__":
    main()
