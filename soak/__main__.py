"""Command line of the soak: ``python -m soak --seeds 1-50``."""

import argparse
import asyncio
import json
import subprocess
import sys

from soak import checker
from soak import profiles
from soak import regressions
from soak import run

DEFAULT_SECONDS = 20.0
DEFAULT_NODES = 12
VIOLATION_EXIT_CODE = 1


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m soak", description=__doc__
    )
    parser.add_argument("--seed", type=int, help="run one seed")
    parser.add_argument(
        "--seeds", default="", help="run several seeds, such as 1-50"
    )
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="run the seeds that once failed",
    )
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--nodes", type=int, default=DEFAULT_NODES)
    parser.add_argument(
        "--jobs", type=int, default=1, help="seeds run at once"
    )
    parser.add_argument(
        "--keep", default="", help="folder for the logs of failed runs"
    )
    parser.add_argument(
        "--sabotage", default="", help="sabotage of the nodes, by its name"
    )
    parser.add_argument(
        "--profile",
        default="mixed",
        choices=profiles.PROFILES.names,
        help="services, load and kinds of faults",
    )
    parser.add_argument(
        "--faults",
        default="",
        help="names of the profile's faults to draw from, by default all",
    )
    return parser.parse_args()


def main() -> int:
    """Run seeds; return 1 if a run violated a guarantee.

    Returns
    -------
    int
        Exit code.
    """
    arguments = _arguments()
    if arguments.seed is not None:
        return _run_one_seed(arguments)
    if arguments.regressions:
        return _run_regressions(arguments)
    first, _, last = arguments.seeds.partition("-")
    if not first.isdigit() or not (last or first).isdigit():
        print("--seed N or --seeds FIRST-LAST is needed", file=sys.stderr)
        return 2
    return _run_seeds(arguments, range(int(first), int(last or first) + 1))


def _profile(arguments: argparse.Namespace) -> profiles.Profile:
    profile = profiles.PROFILES.get(arguments.profile)()
    names = tuple(name for name in arguments.faults.split(",") if name)
    return profile._replace(fault_names=names)


def _run_one_seed(arguments: argparse.Namespace) -> int:
    result = asyncio.run(
        run.run_seed(
            arguments.seed,
            arguments.seconds,
            arguments.nodes,
            arguments.keep,
            arguments.sabotage,
            _profile(arguments),
        )
    )
    fields = result._asdict()
    fields["broken"] = sorted({v.guarantee for v in result.broken})
    print(json.dumps(fields), flush=True)
    print(
        checker.format_violations(result.broken), file=sys.stderr, flush=True
    )
    return VIOLATION_EXIT_CODE if result.broken else 0


def _run_regressions(arguments: argparse.Namespace) -> int:
    codes = []
    for regression in regressions.REGRESSIONS:
        arguments.seconds = regression.seconds
        arguments.nodes = regression.nodes
        arguments.profile = regression.profile
        arguments.faults = regression.faults
        codes.append(
            _run_seeds(arguments, range(regression.seed, regression.seed + 1))
        )
    return max(codes)


def _run_seeds(arguments: argparse.Namespace, seeds: range) -> int:
    """Run each seed in a process of its own, ``--jobs`` of them at once."""
    pending, failed = list(seeds), 0
    running: list[subprocess.Popen[bytes]] = []
    while pending or running:
        while pending and len(running) < arguments.jobs:
            running.append(_start_seed(arguments, pending.pop(0)))
        code = running.pop(0).wait()
        failed += code != 0
    print(f"{len(seeds)} seeds, {failed} failed")
    return VIOLATION_EXIT_CODE if failed else 0


def _start_seed(
    arguments: argparse.Namespace, seed: int
) -> subprocess.Popen[bytes]:
    options = {
        "--seed": seed,
        "--seconds": arguments.seconds,
        "--nodes": arguments.nodes,
        "--profile": arguments.profile,
    }
    command_arguments = [
        str(item) for pair in options.items() for item in pair
    ]
    if arguments.faults:
        command_arguments += ["--faults", arguments.faults]
    if arguments.keep:
        command_arguments += ["--keep", arguments.keep]
    if arguments.sabotage:
        command_arguments += ["--sabotage", arguments.sabotage]
    return subprocess.Popen([sys.executable, "-m", "soak", *command_arguments])


if __name__ == "__main__":
    sys.exit(main())
