"""Node life cycles: the supervisor that starts, kills, drains and replaces nodes, and fault injection. Nothing here
depends on which requests are served."""
