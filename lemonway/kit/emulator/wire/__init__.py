"""The emulator's fidelity ``wire``: complete nodes with their listeners, links and parsers, over in-memory pipes."""
