"""Experiments: many rehearsals of scenarios under a grid of parameters, kept, compared seed by seed, and shown."""
