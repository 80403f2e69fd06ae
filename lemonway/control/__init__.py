"""Configuration in numbered versions, decided by a few voters and watched by every image node through relays.

No clock and no socket: the drivers hand in what was received and the time, and carry out the outputs. The same text
runs live (``net/program``), in virtual time (``kit/emulator/control_day.py``) and in the scale rig (``kit/scale``).
Design: docs/design/control.md."""
