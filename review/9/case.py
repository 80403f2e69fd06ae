"""A configuration file that lacks a key, at SIGHUP; later the node is told to leave."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib_2"))
import stand  # noqa: E402

CASE = Path(__file__).resolve().parent
STOP_MS = 3200
WORK_S = 6.0  # a slow machine: runs take longer than the time that is left at the notice


async def run(pool: stand.Pool, ident: str, kind: str, body: bytes) -> tuple[str, bytes]:
    await asyncio.sleep(WORK_S if body.startswith(b"slow") else 0.05)
    return "good", b"made of " + body


async def case(stage: stand.Stage) -> list[str]:
    record = stage.record
    announce = await stand.Announce(record).start()
    pool = stand.Pool("pool", record, run)
    await pool.start()
    chosen = stand.settings(
        [
            stand.lane("miniatura", "safe", 5400.0, 16000.0, 5000.0, 1.0),
            stand.lane("cadastro", "keyed", 7000.0, 8100.0, 24336.0, 5.0),
        ]
    )
    listen = stand.free_port()
    node = stage.node("n1", stand.config("n1", listen, pool, chosen, announce.port, stop_ms=STOP_MS))
    await node.start()
    await node.ready()
    await asyncio.sleep(1.1)
    changed = dict(node.config)
    if stand.trouble():
        del changed["stop_ms"]
    node.write_config(changed)
    node.signal(signal.SIGHUP)
    await asyncio.sleep(0.5)
    figures = await node.figures()
    record(f"node: reloads_ok {figures.get('edge_edge_reloads_ok')}, failed {figures.get('edge_edge_reloads_failed')}")
    router = await stand.Router(record).connect(listen)
    asked = [router.ask("cadastro", b"slow entry %d" % n, os.urandom(16).hex(), cpu=400.0) for n in range(4)]
    asked += [router.ask("miniatura", b"slow picture %d" % n, cpu=300.0) for n in range(4)]
    await asyncio.sleep(0.5)
    node.signal(signal.SIGTERM)
    await node.end_within(STOP_MS / 1000)
    await asyncio.sleep(0.3)
    broken = [
        f"request {tag} was read and not answered before the process was stopped, {STOP_MS} ms after the notice"
        for tag in asked
        if tag not in router.answers
    ]
    record(f"{len(asked)} requests, {len(broken)} without an answer")
    return broken


if __name__ == "__main__":
    sys.exit(stand.play(CASE, case))
