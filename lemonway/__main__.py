"""Starts the image node: ``python -m lemonway``."""

import sys

from .net.program.signal_mask import block_signals

# Blocks the control signals before the large imports: until a handler is installed, such a signal ends the process.
block_signals()

from .net.program.start import main  # noqa: E402

sys.exit(main())
