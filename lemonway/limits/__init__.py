"""Limits that are set apart from admission: how long idle connections are kept, and how fast calls go to a backend
that may be cold. No clock, socket or wire format is used here; the caller passes the time and its observations."""
