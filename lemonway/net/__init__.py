"""The image node on network sockets. Each layer imports only the layers before it: transport, protocol (which uses
the interfaces in ``ports`` as types), routing, program."""
