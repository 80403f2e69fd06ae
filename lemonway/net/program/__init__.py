"""The node's program: configuration files, wiring of the parts, signals."""
