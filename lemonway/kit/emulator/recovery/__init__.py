"""How nodes come and go: the keeper that starts, kills, drains and replaces them, and the faults of a day. It must
not know what is served."""
