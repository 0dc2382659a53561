"""`python -m stepknot.platform`: one broker on the platform, in the foreground, told by its environment what it is."""

from __future__ import annotations

import os
import signal
import sys

from stepknot.platform.config import Unreadable, load

HELP = """Usage: python -m stepknot.platform

Run one broker on the platform's protocol until SIGTERM. What it is told stands in the JSON file that the variable
LB_CONFIG names: its name and addresses, limits, settings and the list of nodes as last had.

  LB_CONFIG      path of that file (needed)
  STEPKNOT_LOG   "debug" logs each query, "trace" all that the decisions are told and say as well

SIGHUP reads the file again and follows discovery's address; SIGTERM finishes what is in work. Exit codes: 0 after
SIGTERM, 2 where the file cannot be read or the address is taken.

Example: LB_CONFIG=/run/balancer/config.json python -m stepknot.platform
"""


def main(arguments: list[str]) -> int:
    if arguments:
        helped = arguments == ["--help"]
        print(HELP, end="", file=sys.stdout if helped else sys.stderr)
        return 0 if helped else 2
    from stepknot.broker.process import HANDLED

    # A signal that comes before somebody listens for it waits, as the kernel may hold clients' requests already;
    # `Life.live` lets them through.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
    from stepknot.platform.log import make_log, traced, wants_trace
    from stepknot.platform.service import Service

    try:
        service = Service(load(os.environ), make_log(os.environ), lambda: load(os.environ))
    except (Unreadable, OSError) as error:
        print(f"stepknot: {error}", file=sys.stderr)
        return 2
    if wants_trace(os.environ):
        service.core.decide = traced(service.core.decide, service.log)
    return service.run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
