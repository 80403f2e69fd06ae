"""A node is told to leave while the process that it was upgraded from is still finishing its requests."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib_2"))
import stand  # noqa: E402

CASE = Path(__file__).resolve().parent
INHERITED_FD = 5
LONG_S = 2.4  # work of the requests that the old process still has at its SIGTERM; the deadline is 3 s
NOTICE_AFTER_S = 1.0  # from the old process's SIGTERM to the notice to leave
SENT_FOR_S = 1.0  # routers hear of the notice a second or two late
STOP_MS = 3200


async def run(pool: stand.Pool, ident: str, kind: str, body: bytes) -> tuple[str, bytes]:
    await asyncio.sleep(LONG_S if body.startswith(b"long") else 0.05)
    return "good", b"made of " + body


async def case(stage: stand.Stage) -> list[str]:
    record = stage.record
    held = socket.create_server(("127.0.0.1", 0), backlog=512)  # the platform holds the clients' listening socket
    os.dup2(held.fileno(), INHERITED_FD, inheritable=True)
    port = held.getsockname()[1]
    announce = await stand.Announce(record).start()
    chosen = stand.settings(
        [
            stand.lane("visualizador", "safe", 2700.0, 3000.0, 5000.0, 2.0),
            stand.lane("cadastro", "keyed", 2900.0, 3000.0, 24336.0, 5.0),
        ]
    )
    env = {"EDGE_INHERITED_FD": str(INHERITED_FD)}

    async def start(label: str) -> tuple[stand.Node, stand.Pool]:
        pool = stand.Pool(f"pool of {label}", record, run)
        await pool.start()
        node = stage.node(label, stand.config("n1", port, pool, chosen, announce.port, stop_ms=STOP_MS), env=env,
                          tmp="tmp-shared")  # fmt: skip
        await node.start(pass_fds=(INHERITED_FD,))
        await node.ready()
        return node, pool

    old: stand.Node | None = None
    ended_old: asyncio.Task[None] | None = None
    asked: list[tuple[stand.Router, int]] = []
    if stand.trouble():
        old, _ = await start("old")
        first = await stand.Router(record, "router 0").connect(port)
    new, _ = await start("new")
    if old is not None:
        for n in range(3):
            asked.append((first, first.ask("cadastro", b"long %d" % n, os.urandom(16).hex(), cpu=2400.0)))
        await asyncio.sleep(0.1)
        old.signal(signal.SIGTERM)
        ended_old = asyncio.ensure_future(old.end_within(3.0 + 0.7))  # the longest deadline and 0.7 s
        await asyncio.sleep(NOTICE_AFTER_S)
    before = await stand.Router(record, "router 1").connect(port)
    tag = before.ask("visualizador", b"before the notice")
    if await before.answer(tag, 1.0) is None:
        raise stand.CannotRun("the new process does not serve before the notice")
    record(f"platform: health before the notice: {await before.check()}")
    # So the process that is told to leave has work in hand as well, and stays while the routers ask it.
    asked.append((before, before.ask("cadastro", b"long and last", os.urandom(16).hex(), cpu=2400.0)))
    await asyncio.sleep(0.1)
    new.signal(signal.SIGTERM)
    ended_new = asyncio.ensure_future(new.end_within(STOP_MS / 1000))
    noticed_at = stand.unix_ms()
    sent, sent_until = 0, 0
    while stand.unix_ms() < noticed_at + SENT_FOR_S * 1000:
        sent += 1
        router = stand.Router(record, f"router {sent + 1}")
        try:
            await router.connect(port)
        except ConnectionError:
            record(f"router {sent + 1}: refused")
            continue
        asked.append((router, router.ask("visualizador", b"after the notice %d" % sent)))
        sent_until = stand.unix_ms()
        if new.process is None or new.process.returncode is not None:
            raise stand.CannotRun("the process has ended while the routers still ask it")
        await asyncio.sleep(0.2)
    if ended_old is not None:
        await ended_old
    await ended_new
    await asyncio.sleep(0.5)
    record(f"the last request was sent {sent_until - noticed_at} ms after the notice")
    broken = []
    for router, tag in asked:
        if tag not in router.answers:
            broken.append(f"{router.name}: request {tag} was written to a connection that the machine accepted and "
                          "got no answer before its process was stopped")  # fmt: skip
        elif router.answer_count[tag] > 1:
            broken.append(f"{router.name}: request {tag} was answered twice")
    record(f"announce service: last report {announce.last.get('n1')}; false was "
           f"{'reported' if any(r[2] == 'false' for r in announce.reports) else 'never reported'}")  # fmt: skip
    held.close()
    return broken


if __name__ == "__main__":
    sys.exit(stand.play(CASE, case))
