"""`python -m stepknot.platform`: one broker on the platform, in the foreground, configured by its environment."""

from __future__ import annotations

import os
import signal
import sys

from stepknot.platform.config import load_config
from stepknot.platform.errors import MalformedInputError

HELP = """Usage: python -m stepknot.platform

Run one broker on the platform's protocol until SIGTERM. Its configuration is the JSON file that the
variable LB_CONFIG names: its name and addresses, limits, settings and the last known list of nodes.

  LB_CONFIG      path of that file (required)
  STEPKNOT_LOG   "debug" logs each query, "trace" all events and actions of the decisions as well

SIGHUP reads the file again and follows discovery's address; SIGTERM finishes queries in flight. Exit
codes: 0 after SIGTERM, 2 where the file cannot be read or the address is in use.

Example: LB_CONFIG=/run/balancer/config.json python -m stepknot.platform
"""
OK, USAGE_ERROR = 0, 2  # exit codes


def main(arguments: list[str]) -> int:
    """Run the broker, or print the help; returns the exit code."""
    if arguments:
        is_help = arguments == ["--help"]
        print(HELP, end="", file=sys.stdout if is_help else sys.stderr)
        return OK if is_help else USAGE_ERROR
    from stepknot.broker.process import HANDLED_SIGNALS

    # A signal that comes before the loop handles it waits, as the kernel may already hold clients'
    # requests; `BrokerProcess.run_loop` unblocks signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    from stepknot.platform.log import make_log, trace_decisions, wants_trace
    from stepknot.platform.service import Service

    log = make_log(os.environ)
    try:
        service = Service(load_config(os.environ), log, lambda: load_config(os.environ))
    except (MalformedInputError, OSError) as error:
        print(f"stepknot: {error}", file=sys.stderr)
        return USAGE_ERROR
    if wants_trace(os.environ):
        service.core.decide = trace_decisions(service.core.decide, log)
    return service.run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
