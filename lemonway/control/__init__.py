"""Configuration in numbered versions, decided by a few voters and watched by every image node through relays.

No clock and no socket: the drivers hand in what was received and the time, and carry out the outputs of each call in
order. ``now`` is whole microseconds of the machine's monotonic clock; ``due`` is the moment at which ``tick`` is wanted
next (a driver may call it earlier or later); ``draw`` gives uniform numbers in [0, 1). The same text runs live
(``net/program``), in virtual time (``kit/emulator/control_day.py``) and in the scale rig (``kit/scale``).

``agent.Agent`` is an image node's part, ``relay.Relay`` and ``voter.Voter`` are the control machines', ``store`` is the
form of what they keep on disk. Design: docs/design/control.md."""
