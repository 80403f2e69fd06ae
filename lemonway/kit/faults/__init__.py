"""Fault tests of several real node processes on the loopback interface: a proxy on every link, faults on the processes,
a recorded history and its check. Design: docs/design/replication.md, 8."""
