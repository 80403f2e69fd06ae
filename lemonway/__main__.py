"""Starts the image node: ``python -m lemonway``."""

import signal
import sys

# Until the program is loaded a signal that asks for something would end it. Nothing is missed: the configuration is
# read, and the handlers are set, after this.
for number in (signal.SIGHUP, signal.SIGUSR1):
    signal.signal(number, signal.SIG_IGN)

from .net.program.start import main  # noqa: E402

sys.exit(main())
