"""Run the bench on all day files and print a table of results and broken rules.

    python deploy/play_days.py --bench PATH --site FILE [--jobs N] [--only TEXT] [--why TEXT]
        [--vary SEED] [--class NAME]

The bench is an external program; it is run once for each day file. With `--vary`, the times and
shares of faults are drawn around those of the files; with `--class`, faults that name a class of
requests get that class.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import random
import re
import subprocess
import tomllib

_DAYS = pathlib.Path(__file__).parent / "days"
_DAY_SECONDS = 600.0
"""The timeout for one day, which usually takes about 20 s."""

_EARLIER_SECONDS = 2.0
_LATER_SECONDS = 4.0
_SHARE_FACTORS = (0.5, 1.6)
"""The ranges in which a day's times are shifted and its shares are scaled by `--vary`."""

_DRAWN_FOLDER = pathlib.Path(__file__).parent.parent / "target" / "days"
"""The folder for drawn day files."""

_ROW = re.compile(r"^(\S+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)\s+([\d.]+)", re.MULTILINE)
_BROKEN = re.compile(r"^rules broken: (.+)$", re.MULTILINE)
_FIRST = re.compile(r"^([A-Z]{3,}) at .+$", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class DayResult:
    """The result of one day; ``worth`` and ``served`` are None if it couldn't be played."""

    name: str
    worth: float | None
    served: float | None
    broken: str
    first: str


def run_day(bench: str, site: str, day: pathlib.Path, why: str) -> DayResult:
    """Run the bench on one day file."""
    command = [bench, "run", site, str(day), "--why", f"{why}: {day.stem}"]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=_DAY_SECONDS, check=False
        )
    except subprocess.TimeoutExpired:
        return DayResult(day.stem, None, None, "not played to its end", "")
    row = _ROW.search(done.stdout)
    if row is None:
        lines = (done.stdout + done.stderr).strip().splitlines()
        return DayResult(day.stem, None, None, "not played", lines[-1] if lines else "")
    broken = _BROKEN.search(done.stdout)
    first = _FIRST.search(done.stdout)
    return DayResult(
        day.stem,
        float(row[2]),
        float(row[3]),
        broken[1] if broken else "",
        first[0] if broken and first else "",
    )


def draw_day(day: pathlib.Path, seed: int | None, class_name: str) -> pathlib.Path:
    """Write a variation of a day file with other times, shares and class; return its path."""
    source = random.Random(f"{seed} {day.stem}")
    fields = tomllib.loads(day.read_text())
    for trouble in [*fields.get("faults", []), *fields.get("plan", [])]:
        if class_name and "class" in trouble:
            trouble["class"] = class_name
        if seed is None:
            continue
        trouble["at"] = round(max(0.5, trouble["at"] + _draw_shift(source)), 2)
        if "share" in trouble:
            share = trouble["share"] * source.uniform(*_SHARE_FACTORS)
            trouble["share"] = round(min(1.0, share), 3)
    _DRAWN_FOLDER.mkdir(parents=True, exist_ok=True)
    drawn = _DRAWN_FOLDER / day.name
    drawn.write_text("".join(f"{key} = {_format_toml(value)}\n" for key, value in fields.items()))
    return drawn


def _draw_shift(source: random.Random) -> float:
    return source.uniform(-_EARLIER_SECONDS, _LATER_SECONDS)


def _format_toml(value: object) -> str:
    """Format a value as TOML."""
    if isinstance(value, dict):
        return (
            "{ " + ", ".join(f"{key} = {_format_toml(each)}" for key, each in value.items()) + " }"
        )
    if isinstance(value, list):
        return "[" + ", ".join(map(_format_toml, value)) + "]"
    return json.dumps(value)


def main() -> None:
    """Run all days and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--only", default="")
    parser.add_argument("--why", default="a day for each kind of trouble")
    parser.add_argument("--vary", type=int, default=None, metavar="SEED")
    parser.add_argument("--class", dest="class_name", default="")
    options = parser.parse_args()
    days = [day for day in sorted(_DAYS.glob("*.toml")) if options.only in day.stem]
    if options.vary is not None or options.class_name:
        days = [draw_day(day, options.vary, options.class_name) for day in days]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        futures = [
            pool.submit(run_day, options.bench, options.site, day, options.why) for day in days
        ]
        for future in futures:
            played = future.result()
            worth = "-" if played.worth is None else f"{played.worth:.3f}"
            served = "-" if played.served is None else f"{played.served:.3f}"
            print(f"{played.name:<28}{worth:>8}{served:>8}  {played.broken}", flush=True)
            if played.first:
                print(f"    {played.first}")


if __name__ == "__main__":
    main()
