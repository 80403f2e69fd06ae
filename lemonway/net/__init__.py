"""The image node on real sockets. Layers, each importing only those before it:
transport, protocol (with the routing core's ports as types), routing, program."""
