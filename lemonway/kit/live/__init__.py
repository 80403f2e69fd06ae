"""Live rehearsals: a scenario's day on real node processes and real sockets, in real time. The parts of the day are
processes of their own (routers, machines, acervo, announce), each on the emulator's own models; only what drives them
differs. They talk over loopback, and the supervisor tells them little more than when the day begins."""
