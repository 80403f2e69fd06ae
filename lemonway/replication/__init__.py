"""Replicated state among image nodes: exclusive claims of keyed requests and their results, sans-I/O.

Messages in, messages and decisions out, time handed in as whole microseconds; the node's loop and the emulator drive
the same text. Design: docs/design/replication.md."""
