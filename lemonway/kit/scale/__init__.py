"""Scale test of the control plane: thousands of simulated image nodes without request traffic (hollow nodes) over real
sockets, a few real nodes that serve requests, and the control processes, with faults on a seeded schedule.

Sans-I/O: ``plan`` (sizes, phases, schedule), ``changes`` (proposed table changes), ``history`` (consistency checks and
propagation times), ``accounts`` (resource usage), ``assemble`` (result of a run), ``summary`` (percentiles, slopes,
limits), ``injection`` (faulty versions), ``page`` (tables and HTML). Messages: ``orders``.

Sockets and processes: ``hollow`` and ``traffic`` (worker processes, started through ``worker``), ``workers``,
``metered``, ``control_group``, ``http``, ``proposals``, ``real_nodes``, ``nodes``, ``observer``, ``processes`` and
``run``."""
