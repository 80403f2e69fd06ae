"""Replicated configuration: a few voters agree on numbered versions, and relays distribute them to all image nodes.

The package does no I/O and reads no clock: drivers pass in received messages and the time, and carry out the outputs of
each call in order. ``now`` is in whole microseconds of the machine's monotonic clock; ``due`` is the time of the next
``tick`` (a driver may call it earlier or later); ``draw`` returns uniform random numbers in [0, 1). The same code runs
live (``net/program``), in virtual time (``kit/emulator/control_day.py``) and in the scale test (``kit/scale``).

``agent.Agent`` runs in an image node; ``relay.Relay`` and ``voter.Voter`` run on the control machines; ``store``
defines their file format on disk. Design: docs/design/control.md."""
