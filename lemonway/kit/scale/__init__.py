"""A scale run of the control plane: thousands of image nodes without request traffic over real sockets, a few real
nodes that serve, and the control processes, under faults on a seeded schedule.

Sans-I/O: ``plan`` (sizes, phases, schedule), ``changes`` (what is proposed), ``history`` (checks and times of what was
applied), ``summary`` (percentiles, slopes, verdict), ``injection`` (spoilt versions), ``page`` (table and HTML).
Sockets and processes: ``hollow`` and ``traffic`` (worker processes, over ``worker``), ``metered``, ``control_group``,
``proposals``, ``real_nodes``, ``nodes``, ``observer``, ``processes`` and ``run``."""
