"""Starts the image node: ``python -m lemonway``."""

import sys

from .net.program.start import main

sys.exit(main())
