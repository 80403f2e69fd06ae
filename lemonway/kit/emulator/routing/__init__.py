"""Routers that are not ours to change: how they pick, when they try again, what feedback they follow. A router knows
only what it heard itself, and nothing here knows what is true of a node."""
