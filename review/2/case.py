"""SIGHUP with a file that lacks a key: the effect of a keyed class. A request that ran before comes again after it."""

from __future__ import annotations

import asyncio
import copy
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import (
    CLASSES,
    CaseError,
    Node,
    Pool,
    Record,
    Router,
    free_port,
    http,
    node_ready,
    run_case,
    settings,
    until,
)

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


async def case(record: Record, trouble: bool) -> list[str]:
    pool = Pool(record, "pool")
    await pool.start()
    listen, admin = free_port(), free_port()
    config: dict[str, Any] = {
        "name": "n1",
        "listen": f"127.0.0.1:{listen}",
        "admin": f"127.0.0.1:{admin}",
        "pool": f"127.0.0.1:{pool.port}",
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(CLASSES),
    }
    with tempfile.TemporaryDirectory() as temporary:
        node = Node(record, "n1", Path(temporary), config)
        await node.start(listen)
        try:
            await until(lambda: node_ready(record, listen), "node ready")
            await asyncio.sleep(1.5)  # SIGHUP never comes in the first second of service
            router = Router(record, "router 1")
            await router.connect(listen)
            first = await router.call("cadastro", "000000000000000a", b"entry 1", KEY)
            if first.word != "RESULT":
                raise CaseError(f"the first try was not served: {first}")
            new_config = copy.deepcopy(config)
            if trouble:
                del new_config["settings"]["lanes"][3]["effect"]
            node.write(new_config)
            node.signal(signal.SIGHUP)

            async def reload_seen() -> bool:
                metrics = (await http(admin, "/metrics"))[1].decode()
                lines = [line for line in metrics.splitlines() if "edge_reloads" in line]
                done = any(line.endswith(" 1") for line in lines)
                if done:
                    record.note(f"after SIGHUP: {'; '.join(lines)}")
                return done

            await until(reload_seen, "the file is taken or turned down")
            second = await router.call("cadastro", "000000000000000b", b"entry 1", KEY)
            router.close()
        finally:
            await node.end()
    if len(pool.runs) > 1:
        return [f"the request ran {len(pool.runs)} times: its second try, within the window, was run ({second})"]
    return []


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
