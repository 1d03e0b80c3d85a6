"""Run the regular scoring programs of the users' bench in order and compare the scores with reference scores.

    python benchmarks/standing.py                  # quick: fleet, earlier scenarios, simulator
    python benchmarks/standing.py --full           # all scenarios of the fleet, a soak included

The bench must be next to the repository. Steps run one at a time; each writes its journal, which is
committed. Prints a table at the end. Exits with 1 if the gate failed, a rule was broken or a score fell by
more than 0.03, and with 2 if a program could not be run.
"""

from __future__ import annotations

import argparse
import re
import sys

import kit

MAX_SCORE_DROP = 0.03
STEP_TIMEOUT_S = 3600.0
# The newest scores of the main branch, from docs/results.md.
REFERENCE_SCORES = {
    "fleet quick": 0.900,
    "fleet full": 0.751,
    "earlier days quick": 0.976,
    "simulator quick": 0.513,
}
SCORE_PATTERNS = (
    re.compile(r"score of the real nodes (\d\.\d+)"),
    re.compile(r"quick (?:estimate|score)[^:]*: (\d\.\d+)"),
    re.compile(r"one figure[^:]*: (\d\.\d+)"),
)


def step_command(step: str, why: str) -> list[str]:
    """Return the command of a step."""
    fleet, site = str(kit.FLEET_BENCH), str(kit.SITE)
    purpose_options = ["--why", why]
    if step == "fleet quick":
        return [fleet, "score", site, "--quick", *purpose_options]
    if step == "fleet full":
        return [fleet, "score", site, *purpose_options]
    if step == "earlier days quick":
        return [fleet, "score", site, "--panel", "later", "--quick", *purpose_options]
    later = str(kit.KIT / "next" / "1" / "campus-books-later.toml")
    return [str(kit.SIMULATOR), "score", later, "--quick", *purpose_options]


def parse_score(text: str) -> float | None:
    """Return the score that a program printed, or None."""
    for pattern in SCORE_PATTERNS:
        score = pattern.findall(text)
        if score:
            return float(score[-1])
    return None


def main() -> int:
    """Run the steps; return the exit status."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--why", default="standing duty before a landing")
    options = parser.parse_args()
    if not kit.SITE.is_file():
        print(f"no bench at {kit.KIT}", file=sys.stderr)
        return 2
    steps = ["fleet full" if options.full else "fleet quick", "earlier days quick", "simulator quick"]
    rows, code = [], 0
    for step in steps:
        print(f"{step} ...", flush=True)
        try:
            output = kit.run_program(step_command(step, options.why), STEP_TIMEOUT_S)
        except OSError as error:
            rows.append((step, "-", f"{REFERENCE_SCORES[step]:.3f}", f"could not be run: {error}"))
            code = 2
            continue
        text = output.text
        score = parse_score(text)
        notes = [line for line in text.splitlines() if line.startswith("GATE") or "broken" in line]
        is_too_low = score is None or score < REFERENCE_SCORES[step] - MAX_SCORE_DROP
        has_failed = is_too_low or output.code != 0 or any("GATE failed" in note for note in notes)
        rows.append(
            (
                step,
                "-" if score is None else f"{score:.3f}",
                f"{REFERENCE_SCORES[step]:.3f}",
                "; ".join(notes),
            )
        )
        code = max(code, int(has_failed))
    print(f"\n{'step':<22}{'now':>8}{'before':>8}  notes")
    for step, now, reference, notes_ in rows:
        print(f"{step:<22}{now:>8}{reference:>8}  {notes_}")
    return code


if __name__ == "__main__":
    sys.exit(main())
