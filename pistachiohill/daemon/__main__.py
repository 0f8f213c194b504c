"""Run one daemon: `python -m pistachiohill.daemon entry|agent [SETTINGS]`.

The `pistachiohill` command runs the same daemons and also accepts options. This module does not
import the command line's modules, which saves memory.
"""

import sys

from .start import EXIT_INVALID, start_agent, start_entry

STARTERS = {"entry": start_entry, "agent": start_agent}


def main() -> None:
    """Run the daemon named by the first argument."""
    role, *files = sys.argv[1:] or [""]
    if role not in STARTERS or len(files) > 1:
        print(__doc__, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    STARTERS[role](files[0] if files else "", {})


if __name__ == "__main__":
    main()
