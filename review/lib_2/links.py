"""A proxy before one address, which delays what passes and can be cut."""

from __future__ import annotations

import asyncio

import stand


class Link:
    """Everything takes ``delay_s`` each way. While it is cut, nothing passes, and connections are reset."""

    def __init__(self, port: int, delay_s: float) -> None:
        self.target, self.delay_s, self.cut = port, delay_s, False
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def start(self) -> Link:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def set_cut(self, cut: bool) -> None:
        self.cut = cut
        for writer in self.writers:
            writer.transport.abort()
        self.writers = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.cut:
            writer.transport.abort()
            return
        try:
            far_reader, far = await asyncio.open_connection("127.0.0.1", self.target)
        except ConnectionError:
            writer.transport.abort()
            return
        self.writers += [writer, far]
        stand.OPEN.extend((writer, far))
        await asyncio.gather(self.copy(reader, far), self.copy(far_reader, writer))

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()

        def deliver(data: bytes) -> None:
            if not writer.is_closing():
                if data:
                    writer.write(data)
                else:
                    writer.close()

        try:
            while True:
                data = await reader.read(65536)
                loop.call_later(self.delay_s, deliver, data)
                if not data:
                    return
        except ConnectionError:
            writer.transport.abort()
