"""Runs seeds of the soak: ``python -m soak --first 1 --count 50 --seconds 10``."""

import sys
import time
from typing import Annotated

import typer

from soak._run import run_seed


def main(
    first: Annotated[int, typer.Option(help="First seed; 0 draws one.")] = 0,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 5,
    seconds: Annotated[float, typer.Option(help="Time of faults for a seed.")] = 10.0,
) -> None:
    """Prints one line for each seed; exit status 1 if a promise was broken."""
    first = first or time.time_ns() // 1_000_000_000
    failed = 0
    for seed in range(first, first + count):
        result = run_seed(seed, seconds)
        print(result.describe(), flush=True)
        failed += bool(result.violations)
        for line in (*result.violations, *(result.faults if result.violations else ())):
            print(f"  {line}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
