"""Run one daemon: `python -m pistachiohill.daemon entry|agent [SETTINGS]`.

The `pistachiohill` command runs the same daemons and also accepts options. This module does not
import the command line's modules, which saves memory.
"""

import signal
import sys


def main() -> None:
    """Run the daemon named by the first argument.

    SIGHUP is ignored until it is handled: by default it ends a process that still imports modules.
    The settings are read after that, so that no change is missed. Callers that connect while the
    modules are imported wait in the queues of sockets that listen already.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    role, *files = sys.argv[1:] or [""]
    from .early_start import listen_early

    listen_early(files[0] if files else "")
    from .start import EXIT_INVALID, start_agent, start_entry

    starters = {"entry": start_entry, "agent": start_agent}
    if role not in starters or len(files) > 1:
        print(__doc__, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    starters[role](files[0] if files else "", {})


if __name__ == "__main__":
    main()
