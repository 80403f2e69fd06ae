"""Configuration, wiring and signals."""
