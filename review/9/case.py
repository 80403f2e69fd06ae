"""New settings drop a class; then a node is killed and started again, and a uwsgi client repeats its request there."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib_2"))
import stand  # noqa: E402

CASE = Path(__file__).resolve().parent
WINDOW_MS = 24336.0
NAMES = ("n1", "n2", "n3")


async def run(pool: stand.Pool, ident: str, kind: str, body: bytes) -> tuple[str, bytes]:
    await asyncio.sleep(0.3)
    return "good", b"recorded " + body + b" by run " + ident.encode()


async def post(record: stand.Record, name: str, port: int, key: str, body: bytes) -> tuple[int, bytes]:
    """One request of the web layer; returns the status (0: no answer) and the body."""
    variables = {
        "REQUEST_METHOD": "POST", "PATH_INFO": "/cadastro", "HTTP_HOST": "grande.museus.example",
        "CONTENT_LENGTH": str(len(body)), "HTTP_IDEMPOTENCY_KEY": key,
    }  # fmt: skip
    block = b"".join(len(part).to_bytes(2, "little") + part.encode() for item in variables.items() for part in item)
    record(f"client: POST /cadastro at {name}, Idempotency-Key {key}, {body!r}")
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"\0" + len(block).to_bytes(2, "little") + b"\0" + block + body)
    try:
        data = await asyncio.wait_for(reader.read(), 9)
    except (TimeoutError, ConnectionError):
        data = b""
    writer.close()
    head, _, result = data.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1]) if head else 0
    record(f"client: {status} {result!r}")
    return status, result


async def whole(node: stand.Node, seconds: float) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        status, body = await stand.http(node.admin, "GET", "/replication")
        if status == 200 and json.loads(body).get("whole"):
            return
        await asyncio.sleep(0.1)
    raise stand.CannotRun(f"{node.label} has not caught up")


async def case(stage: stand.Stage) -> list[str]:
    record = stage.record
    announce = await stand.Announce(record).start()
    cadastro = stand.lane("cadastro", "keyed", 3200.0, 8100.0, WINDOW_MS, 5.0)
    before = [stand.lane("miniatura", "safe", 5400.0, 16000.0, 5000.0, 1.0), cadastro]
    after = [cadastro, stand.lane("busca", "safe", 4100.0, 14000.0, 5000.0, 2.0)]
    peers = {name: f"127.0.0.1:{stand.free_port()}" for name in NAMES}
    group = stage.folder / "replication.json"
    group.write_text(json.dumps({"peers": peers, "group": 3, "first_start": True}))
    pools, nodes, web = {}, {}, {}
    for name in NAMES:
        pools[name] = stand.Pool(f"pool of {name}", record, run)
        await pools[name].start()
        web[name] = stand.free_port()
        site = stage.folder / f"{name}-uwsgi.toml"
        site.write_text(
            f'listen = "127.0.0.1:{web[name]}"\n[hosts]\n"grande.museus.example" = "museu-grande"\n'
            '[[location]]\npath = "/cadastro"\nmatch = "exact"\nclass = "cadastro"\n'
        )
        nodes[name] = stage.node(
            name,
            stand.config(name, stand.free_port(), pools[name], stand.settings(before), announce.port),
            options=f"--uwsgi {site} --replication {group}",
        )
        await nodes[name].start()
    for node in nodes.values():
        await node.ready()
        await whole(node, 20)
    group.write_text(json.dumps({"peers": peers, "group": 3, "first_start": False}))
    await asyncio.sleep(1.1)
    if stand.trouble():
        for node in nodes.values():
            node.write_config(node.config | {"settings": stand.settings(after)})
            node.signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        for node in nodes.values():
            if (await node.figures()).get("edge_edge_reloads_ok") != 1:
                raise stand.CannotRun(f"{node.label} has not taken the new settings")
    key, entry = f"entry-{os.urandom(8).hex()}", b"entry of a curator"
    first_at = stand.unix_ms()
    status, first = await post(record, "n1", web["n1"], key, entry)
    if status != 200:
        raise stand.CannotRun(f"the first try got {status}")
    await asyncio.sleep(0.5)
    await nodes["n1"].kill()  # along with its worker pool; it starts again under its name and addresses
    pools["n1"].restart()
    await asyncio.sleep(1.0)
    await nodes["n1"].start()
    await nodes["n1"].ready()
    await whole(nodes["n1"], 10)
    repeat_at = stand.unix_ms()
    if repeat_at - first_at > WINDOW_MS - 1000:
        raise stand.CannotRun("the start took longer than the window")
    status, again = await post(record, "n1", web["n1"], key, entry)
    runs = [(pool.name, ident) for pool in pools.values() for _, ident, _, body in pool.spawned if body == entry]
    record(f"the repeat came {repeat_at - first_at} ms after the first try; runs: {runs}")
    if len(runs) > 1:
        return [f"the request with this key ran {len(runs)} times within its window: {runs}"]
    return []


if __name__ == "__main__":
    sys.exit(stand.play(CASE, case))
