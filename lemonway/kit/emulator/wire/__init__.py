"""The second fidelity: whole nodes, with their fronts, links and parsers, over byte pipes in memory."""
