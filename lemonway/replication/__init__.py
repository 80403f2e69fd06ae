"""State replicated among image nodes: exclusive claims of keyed requests, their results and the drain state of nodes.

The package does no I/O: it takes messages and the time (whole Unix microseconds) and returns messages and decisions, so
that the node and the emulator run the same code. Design: docs/design/replication.md."""
