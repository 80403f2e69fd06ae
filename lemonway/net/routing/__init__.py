"""Request routing, independent of wire formats. Front ends, worker pool and backend are accessed through ``ports``."""
