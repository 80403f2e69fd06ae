"""Bytes, time and connections; nothing here knows a message."""
