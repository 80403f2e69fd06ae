"""Byte buffers, clock, timers, stream connections and the listening port. Independent of any message format."""
