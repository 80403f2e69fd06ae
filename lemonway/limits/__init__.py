"""Decisions beside admission that the decision module hands over: how long idle connections are kept. No clock, no
socket, no wire; the module gives the time and what it saw."""
