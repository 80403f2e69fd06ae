"""The core: it knows no wire. Fronts, pool and catalogue are met through ``ports``."""
