"""Command: ``python -m soak``; see docs/design/soak.md."""

import argparse
import json
import pathlib
import random
import shutil
import signal
import sys
import time

import attrs

from soak import mutations, run, schedule

REGRESSIONS = pathlib.Path(__file__).parent / "regressions"
# Faults of a run of each mutation, besides those that it needs.
MUTATION_SECONDS = 25.0


def _print(line: str) -> None:
    print(line, flush=True)


def play(
    seed: int, seconds: float, faults: list[schedule.Fault] | None = None, mutation: str = ""
) -> run.Result:
    """Plays one run and prints what it showed."""
    faults = schedule.draw(seed, seconds) if faults is None else faults
    _print(f"seed {seed}, {seconds:.0f} s, {len(faults)} faults {mutation}")
    stops_at = mutations.MUTATIONS[mutation].promises if mutation else ()
    result = run.Run(
        seed=seed,
        faults=faults,
        seconds=seconds,
        mutation=mutation,
        stops_at=stops_at,
        tell=_print,
    ).play()
    _print(
        f"seed {seed}: {len(faults)} faults, {sum(result.outcomes.values())} requests, "
        f"{result.outcomes}, {len(result.findings)} findings, soak late {result.late_s:.1f} s, "
        f"processes starved {result.starved_s:.1f} s, memory {result.memory_mb:.0f} MB, "
        f"{result.counts} {result.folder}"
    )
    if result.findings and not mutation:
        _print(json.dumps([attrs.asdict(fault) for fault in faults]))
    return result


def play_mutation(name: str, seed: int) -> bool:
    """Plays a mutation with the faults that it needs; whether it was found."""
    mutation = mutations.MUTATIONS[name]
    faults = []
    for index, kind in enumerate(mutation.faults * 3):
        places = {"leave": "014", "crash": "014", "evacuate": "aab", "part": ("c1", "c2", "c3")}
        place = places.get(kind, ("e1", "e2", "e3"))[index]
        faults.append(schedule.Fault(at_s=6.0 + 6 * index, kind=kind, place=place, length_s=7.0))
    result = play(seed, MUTATION_SECONDS, faults, name)
    is_found = run.fails(result, mutation.promises)
    if is_found:
        shutil.rmtree(result.folder)
    word = "found" if is_found else "NOT FOUND"
    if "evacuations unknown to the product" in result.counts:
        # Nothing to break in a product without evacuations.
        is_found, word = True, "NOT RUN: the product has no evacuations"
    _print(f"mutation {name}: {word}")
    return is_found


def _read_regressions() -> list[tuple[int, float, list[schedule.Fault]]]:
    cases = []
    for path in sorted(REGRESSIONS.glob("*.json")):
        case = json.loads(path.read_text())
        faults = [schedule.Fault(**fault) for fault in case["faults"]]
        cases.append((case["seed"], case["seconds"], faults))
    return cases


def _shorten(result: run.Result, seconds: float) -> None:
    names = {finding.promise for finding in result.findings}

    def fails(faults: list[schedule.Fault]) -> bool:
        return run.fails(play(result.seed, seconds, faults), names)

    shorter = schedule.shorten(result.faults, fails)
    _print(
        json.dumps(
            {
                "seed": result.seed,
                "seconds": seconds,
                "cause": "",
                "faults": [attrs.asdict(fault) for fault in shorter],
            }
        )
    )


def main() -> int:
    """Runs the command; returns 1 if anything was found, or a mutation was not."""
    # A run that is asked to end ends the processes that it started.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="one run; otherwise fresh seeds")
    parser.add_argument("--seconds", type=float, default=40.0, help="length of each run")
    parser.add_argument("--minutes", type=float, default=0.0, help="goes on for this long")
    parser.add_argument("--runs", type=int, default=1, help="seeds to run from --seed on")
    parser.add_argument("--faults", help="file with a schedule to play instead of the drawn one")
    parser.add_argument("--mutation", choices=sorted(mutations.MUTATIONS))
    parser.add_argument("--mutations", action="store_true", help="plays all mutations")
    parser.add_argument("--regressions", action="store_true", help="plays the kept schedules")
    parser.add_argument("--shorten", action="store_true", help="leaves out faults if it fails")
    options = parser.parse_args()
    if options.mutations or options.mutation:
        names = [options.mutation] if options.mutation else sorted(mutations.MUTATIONS)
        missed = [name for name in names if not play_mutation(name, options.seed or 1)]
        _print(f"{len(names) - len(missed)} of {len(names)} mutations found; missed {missed}")
        return int(bool(missed))
    if options.regressions:
        found = [play(*case).findings for case in _read_regressions()]
        return int(any(found))
    faults = None
    if options.faults:
        text = pathlib.Path(options.faults).read_text()
        faults = [schedule.Fault(**fault) for fault in json.loads(text)]
    started_s, failed, count = time.monotonic(), [], 0
    while count < options.runs or time.monotonic() - started_s < options.minutes * 60:
        fresh = random.SystemRandom().randrange(1 << 32)
        seed = fresh if options.seed is None else options.seed + count
        count += 1
        result = play(seed, options.seconds, faults)
        if result.findings:
            failed.append(seed)
            if options.shorten:
                _shorten(result, options.seconds)
    _print(f"{count} runs, {len(failed)} with findings: {failed}")
    return int(bool(failed))


if __name__ == "__main__":
    sys.exit(main())
