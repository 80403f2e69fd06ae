"""Live rehearsals: a scenario played in real time on real node processes and real sockets.

Each part (routers, machines, acervo, announce) is a separate process that reuses the emulator's models under a
real-time event loop. The parts communicate over loopback; the supervisor only distributes their addresses and the
start time."""
