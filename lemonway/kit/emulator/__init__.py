"""Discrete-event simulation of a fleet: whole days in virtual time, run on the node's own core and admission policy.

It uses no sockets, no threads and no real clock."""
