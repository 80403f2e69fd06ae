"""What the decision module keeps between steps. Nothing is decided here; no clock, no socket, no wire."""
