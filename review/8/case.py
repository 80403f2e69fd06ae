"""New settings lengthen the window of a keyed class; then a new version takes over."""

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
WINDOW_BEFORE_MS, WINDOW_MS = 3500.0, 24336.0
REPEAT_AFTER_S = 6.0  # the repeat's arrival after the first try's


async def run(pool: stand.Pool, ident: str, kind: str, body: bytes) -> tuple[str, bytes]:
    await asyncio.sleep(0.3)
    return "good", b"recorded " + body + b" by run " + ident.encode()


async def case(stage: stand.Stage) -> list[str]:
    record = stage.record
    held = socket.create_server(("127.0.0.1", 0), backlog=512)  # the platform holds the clients' listening socket
    os.dup2(held.fileno(), INHERITED_FD, inheritable=True)
    port = held.getsockname()[1]
    announce = await stand.Announce(record).start()

    def chosen(window: float) -> dict[str, object]:
        return stand.settings(
            [
                stand.lane("visualizador", "safe", 2700.0, 3000.0, 5000.0, 2.0),
                stand.lane("cadastro", "keyed", 2900.0, 3000.0, window, 5.0),
            ]
        )

    pools: list[stand.Pool] = []

    async def start(label: str, window: float) -> stand.Node:
        pool = stand.Pool(f"pool of {label}", record, run)
        await pool.start()
        pools.append(pool)
        node = stage.node(
            label,
            stand.config("n1", port, pool, chosen(window), announce.port),
            env={"EDGE_INHERITED_FD": str(INHERITED_FD)},
            tmp="tmp-shared",
        )
        await node.start(pass_fds=(INHERITED_FD,))
        await node.ready()
        return node

    old = await start("old", WINDOW_BEFORE_MS)
    await asyncio.sleep(1.0)
    router = await stand.Router(record, "router 1").connect(port)
    key, entry = os.urandom(16).hex(), b"entry of a curator"
    first_at = stand.unix_ms()
    tag = router.ask("cadastro", entry, key, cpu=300.0)
    answer = await router.answer(tag, 3.2)
    if answer is None or answer[0] != "RESULT":
        raise stand.CannotRun(f"the first try was not served: {answer}")
    old.write_config(old.config | {"settings": chosen(WINDOW_MS)})
    old.signal(signal.SIGHUP)
    await asyncio.sleep(0.5)
    if (await old.figures()).get("edge_edge_reloads_ok") != 1:
        raise stand.CannotRun("the new settings were not taken")
    if stand.trouble():
        await start("new", WINDOW_MS)
        old.signal(signal.SIGTERM)
        ended = asyncio.ensure_future(old.end_within(3.0 + 0.7))
        await asyncio.sleep(0.2)
    await asyncio.sleep(max(0.0, REPEAT_AFTER_S - (stand.unix_ms() - first_at) / 1000))
    again = await stand.Router(record, "router 2").connect(port)
    repeat_at = stand.unix_ms()
    tag = again.ask("cadastro", entry, key, cpu=300.0)
    await again.answer(tag, 3.2)
    await asyncio.sleep(0.5)
    if stand.trouble():
        await ended
    held.close()
    runs = [at for pool in pools for at, _, _, body in pool.spawned if body == entry]
    record(f"the repeat came {repeat_at - first_at} ms after the first try; {len(runs)} runs")
    if len(runs) > 1:
        return [
            f"the request ran {len(runs)} times: its repeat came {repeat_at - first_at} ms after the door of the try "
            f"that ran, and the window in force is {WINDOW_MS:.0f} ms"
        ]
    return []


if __name__ == "__main__":
    sys.exit(stand.play(CASE, case))
