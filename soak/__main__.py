"""Command line of the soak: ``python -m soak --seeds 1-50``."""

import argparse
import asyncio
import json
import subprocess
import sys

from soak import judge
from soak import regressions
from soak import run

DEFAULT_SECONDS = 20.0
DEFAULT_NODES = 12
BROKEN_EXIT = 1


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m soak", description=__doc__
    )
    parser.add_argument("--seed", type=int, help="play one seed")
    parser.add_argument("--seeds", default="", help="play several, as 1-50")
    parser.add_argument(
        "--regressions", action="store_true", help="play the seeds that failed"
    )
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--nodes", type=int, default=DEFAULT_NODES)
    parser.add_argument("--jobs", type=int, default=1, help="seeds at a time")
    parser.add_argument("--keep", default="", help="folder for failed logs")
    parser.add_argument(
        "--sabotage", default="", help="promise that the nodes break"
    )
    return parser.parse_args()


def main() -> int:
    """Play seeds; return 1 if one broke a promise.

    Returns
    -------
    int
        Exit code.
    """
    arguments = _arguments()
    if arguments.seed is not None:
        return _play_one(arguments)
    if arguments.regressions:
        return _play_regressions(arguments)
    first, _, last = arguments.seeds.partition("-")
    if not first.isdigit() or not (last or first).isdigit():
        print("--seed N or --seeds FIRST-LAST is needed", file=sys.stderr)
        return 2
    return _play_many(arguments, range(int(first), int(last or first) + 1))


def _play_one(arguments: argparse.Namespace) -> int:
    outcome = asyncio.run(
        run.play(
            arguments.seed,
            arguments.seconds,
            arguments.nodes,
            arguments.keep,
            arguments.sabotage,
        )
    )
    line = outcome._asdict()
    line["broken"] = sorted({b.promise for b in outcome.broken})
    print(json.dumps(line), flush=True)
    print(judge.report(outcome.broken), file=sys.stderr, flush=True)
    return BROKEN_EXIT if outcome.broken else 0


def _play_regressions(arguments: argparse.Namespace) -> int:
    codes = []
    for regression in regressions.REGRESSIONS:
        arguments.seconds = regression.seconds
        arguments.nodes = regression.nodes
        codes.append(
            _play_many(arguments, range(regression.seed, regression.seed + 1))
        )
    return max(codes)


def _play_many(arguments: argparse.Namespace, seeds: range) -> int:
    """Play each seed in a process of its own, some at a time."""
    waiting, failed = list(seeds), 0
    running: list[subprocess.Popen[bytes]] = []
    while waiting or running:
        while waiting and len(running) < arguments.jobs:
            running.append(_start(arguments, waiting.pop(0)))
        code = running.pop(0).wait()
        failed += code != 0
    print(f"{len(seeds)} seeds, {failed} failed")
    return BROKEN_EXIT if failed else 0


def _start(
    arguments: argparse.Namespace, seed: int
) -> subprocess.Popen[bytes]:
    options = {
        "--seed": seed,
        "--seconds": arguments.seconds,
        "--nodes": arguments.nodes,
    }
    words = [str(w) for pair in options.items() for w in pair]
    if arguments.keep:
        words += ["--keep", arguments.keep]
    if arguments.sabotage:
        words += ["--sabotage", arguments.sabotage]
    return subprocess.Popen([sys.executable, "-m", "soak", *words])


if __name__ == "__main__":
    sys.exit(main())
