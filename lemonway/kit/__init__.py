"""The rehearsal kit: stand-ins for routers, web servers, the worker pool and the catalogue (``acervo``), bounded
scripted cases and a tally of answers per request. ``python -m lemonway.kit`` runs the cases; the project's tests
use the same stand-ins. Everything stays on loopback."""
