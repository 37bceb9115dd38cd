"""``python -m tools.rolling_upgrade --earlier COMMIT``."""

import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from tools.rolling_upgrade._judge import judge
from tools.rolling_upgrade._releases import check_out
from tools.rolling_upgrade._run import run_upgrade


def main(
    earlier: Annotated[str, typer.Option(help="Commit of the release that runs.")],
    new: Annotated[str, typer.Option(help="Commit that replaces it.")] = "HEAD",
    instances: Annotated[int, typer.Option(help="Number of entry instances.")] = 12,
    rate: Annotated[float, typer.Option(help="Requests per second in all.")] = 120.0,
) -> None:
    """Prints one line for each check; exit status 1 if one fails."""
    with tempfile.TemporaryDirectory(prefix="egrethall-releases-") as directory:
        releases = (
            check_out(earlier, Path(directory) / "earlier"),
            check_out(new, Path(directory) / "new"),
        )
        for release in releases:
            print(f"{release.name}: {release.commit}", flush=True)
        checks = judge(run_upgrade(*releases, instances, rate))
    for check in checks:
        print(check.describe(), flush=True)
    sys.exit(0 if all(check.passed for check in checks) else 1)


if __name__ == "__main__":
    typer.run(main)
