"""``python -m lemonway.kit.cli``: the command ``lemonway`` without its entry point."""

from . import main

if __name__ == "__main__":
    main()
