"""State of the admission policy between steps. It makes no decisions and uses no clock, socket or wire format."""
