"""Runs the shorter measurements one after the other."""

import runpy
import sys

SCRIPTS = (
    "bench.added_latency",
    "bench.failing_chain",
    "bench.outcomes",
    "bench.admission",
    "bench.routing",
    "bench.membership",
    "bench.store",
    "bench.configuration",
    "bench.sessions",
)


def main() -> None:
    """Run the scripts named on the command line, or all of them."""
    for name in sys.argv[1:] or SCRIPTS:
        print(f"== {name}", flush=True)
        sys.argv = [name]
        runpy.run_module(name, run_name="__main__")


if __name__ == "__main__":
    main()
