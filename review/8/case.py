"""A voter is cut off just as the others accept its change; they decide it, and others after it, and the cut ends."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib_2"))
import stand  # noqa: E402
from links import Link  # noqa: E402

CASE = Path(__file__).resolve().parent
VOTERS = ("voter1", "voter2", "voter3")
DELAY_S = 0.3  # each way on voter1's links to the other two
CUT_AFTER_S = (
    5.0 * DELAY_S
)  # question and answer, then promises (heard after 4), then votes (cast after 5, heard after 6)
TRIES = 3  # on a busy machine the cut may come too early or too late; then it is tried with another change
CUT_MOST_S = 6.0  # STANDING: "for 6 s a zone is partitioned"
LATER_CHANGES = 20


async def get(port: int, path: str) -> dict[str, Any]:
    status, body = await stand.http(port, "GET", path)
    return dict(json.loads(body)) if status == 200 else {}


async def case(stage: stand.Stage) -> list[str]:
    record = stage.record
    vote = {name: stand.free_port() for name in VOTERS}
    watch = {name: stand.free_port() for name in VOTERS}
    admin = {name: stand.free_port() for name in VOTERS}
    to_first = {name: await Link(vote["voter1"], DELAY_S).start() for name in VOTERS[1:]}
    from_first = {name: await Link(vote[name], DELAY_S).start() for name in VOTERS[1:]}
    watch_first = await Link(watch["voter1"], 0.0).start()
    links = [*to_first.values(), *from_first.values(), watch_first]

    def group(of: str) -> dict[str, dict[str, str]]:
        """The voters' addresses as the machine ``of`` has them: its links to and from voter1 go through the proxies."""
        listed = {}
        for name in VOTERS:
            vote_port, watch_port = vote[name], watch[name]
            if of == "voter1" and name != of:
                vote_port = from_first[name].port
            elif name == "voter1" and of != name:
                vote_port = to_first[of].port if of in to_first else vote_port
                watch_port = watch_first.port
            listed[name] = {
                "vote": f"127.0.0.1:{vote_port}", "watch": f"127.0.0.1:{watch_port}",
                "admin": f"127.0.0.1:{admin[name]}",
            }  # fmt: skip
        return listed

    async def machine(file: dict[str, Any]) -> None:
        path = stage.folder / f"{file['name']}.json"
        path.write_text(json.dumps(file))
        await stage.command(file["name"], f"exec .venv/bin/lemonway control run --file {path}")

    for name in VOTERS:
        disk = str(stage.folder / f"disk-{name}")
        await machine({"role": "voter", "name": name, "voters": group(name), "disk": disk, "first_start": True})
    relay, relay_admin = stand.free_port(), stand.free_port()
    await machine({
        "role": "relay", "name": "relay1", "voters": group("relay1"), "listen": f"127.0.0.1:{relay}",
        "admin": f"127.0.0.1:{relay_admin}",
    })  # fmt: skip

    async def run(pool: stand.Pool, ident: str, kind: str, body: bytes) -> tuple[str, bytes]:
        return "good", b"made of " + body

    pool = stand.Pool("pool", record, run)
    await pool.start()
    control = stage.folder / "control.json"
    control.write_text(json.dumps({"relays": {"relay1": f"127.0.0.1:{relay}"}, "when_lost": "stop"}))
    chosen = stand.settings([stand.lane("visualizador", "safe", 2700.0, 6800.0, 5000.0, 2.0)])
    listen = stand.free_port()
    node = stage.node("n1", stand.config("n1", listen, pool, chosen), options=f"--control {control}")
    await node.start()
    await node.ready()

    async def propose(at: str, change: dict[str, Any]) -> str:
        """An operator's call; returns the proposal's name."""
        record(f"operator: propose at {at}: {json.dumps(change)}")
        status, body = await stand.http(admin[at], "POST", "/control/propose", json.dumps(change).encode())
        if status != 202:
            raise stand.CannotRun(f"propose at {at}: {status} {body!r}")
        return str(json.loads(body)["proposal"])

    async def outcome(at: str, ident: str, seconds: float) -> dict[str, Any]:
        """What the voter says of it, once that is final or the time is over."""
        until, said = time.monotonic() + seconds, {}
        while time.monotonic() < until:
            said = (await get(admin[at], "/control")).get("proposals", {}).get(ident, {})
            if said.get("state") not in ("queued", "checking", "deciding"):
                break
            await asyncio.sleep(0.02)
        record(f"operator: {at} says of {ident}: {said}")
        return said

    async def in_force() -> int:
        """The version at the node, once it has the one of voter2."""
        number = (await get(admin["voter2"], "/control"))["number"]
        for _ in range(100):
            here = (await get(node.admin, "/control"))["number"]
            if here >= number:
                return int(here)
            await asyncio.sleep(0.02)
        raise stand.CannotRun("the node does not get the version in force")

    async def asks(team: str) -> str:
        router = await stand.Router(record).connect(listen)
        answer = await router.answer(router.ask("visualizador", b"picture", team=team), 3.0)
        router.close()
        return answer[0] if answer else "none"

    first = await outcome("voter2", await propose("voter2", {"put": [{"kind": "limit", "name": "ceilings.maxRetryAfter",
                                                                     "value": 900.0}]}), 10)  # fmt: skip
    if first.get("state") != "committed":
        raise stand.CannotRun(f"the group does not decide: {first}")
    await asyncio.sleep(1.0)
    number, tenant, ident, cut_at = 0, "", "", 0.0
    for attempt in range(TRIES):
        tenant = f"museu-novo-{attempt}"
        proposed = time.monotonic()
        put = {"put": [{"kind": "tenant", "name": tenant, "value": {"quotaRps": 40.0, "share": 0.05}}]}
        ident = await propose("voter1", put)
        if stand.trouble():
            await asyncio.sleep(max(0.0, proposed + CUT_AFTER_S - time.monotonic()))
            record("proxy: voter1 is cut off, first from what the others say")
            cut_at = time.monotonic()
            for link in (*to_first.values(), watch_first):
                link.set_cut(True)
        else:
            await outcome("voter1", ident, 10)
        for _ in range(100):
            history = (await get(admin["voter2"], "/control/history")).get("history", [])
            number = max(
                (each["number"] for each in history if each["by"] == "voter1" and each["committed"]), default=0
            )
            if number:
                break
            await asyncio.sleep(0.02)
        said = (await get(admin["voter1"], "/control"))["proposals"][ident]["state"]
        if number and (said == "deciding" or not stand.trouble()):
            break
        record(f"the cut did not meet the vote: version {number}, voter1 says {said}")
        if number or attempt == TRIES - 1:
            raise stand.CannotRun("the cut did not come between the votes and the word of them")
        for link in links:
            link.set_cut(False)
        await outcome("voter1", ident, 20)
        await asyncio.sleep(3.0)
        history = (await get(admin["voter2"], "/control/history")).get("history", [])
        if any(each["by"] == "voter1" and each["committed"] for each in history):
            raise stand.CannotRun("the cut came too early, and the change was decided after it")
    for link in links if stand.trouble() else ():
        link.set_cut(True)
    record(f"voter2 and voter3: the change proposed at voter1 is version {number}")
    await in_force()
    record(f"node: a request of {tenant} gets {await asks(tenant)}")
    await asyncio.sleep(1.0)
    later = [{"delete": [{"kind": "tenant", "name": tenant}]}]
    later += [
        {"put": [{"kind": "limit", "name": "ceilings.maxRetryAfter", "value": 500.0 + n}]} for n in range(LATER_CHANGES)
    ]
    for change in later:
        said = await outcome("voter2", await propose("voter2", change), 3)
        if said.get("state") != "committed":
            raise stand.CannotRun(f"a later change was not committed: {said}")
    before = await in_force()
    word = await asks(tenant)
    record(f"node: at version {before} a request of {tenant}, which is deleted, gets {word}")
    if word == "RESULT":
        raise stand.CannotRun("the deletion is not in force")
    if stand.trouble():
        record(f"proxy: the cut ends after {time.monotonic() - cut_at:.2f} s")
        if time.monotonic() - cut_at > CUT_MOST_S:
            raise stand.CannotRun("the cut took longer than the pages allow")
        for link in links:
            link.set_cut(False)
    await asyncio.sleep(8.0)
    await outcome("voter1", ident, 5)
    after = await in_force()
    word = await asks(tenant)
    record(f"node: at version {after} a request of {tenant}, which was deleted after that change, gets {word}")
    broken = []
    for name in VOTERS:
        history = (await get(admin[name], "/control/history")).get("history", [])
        numbers = [each["number"] for each in history if each["by"] == "voter1" and each["committed"]]
        record(f"{name}: versions proposed at voter1: {numbers} of {[each['number'] for each in history]}")
        if len(numbers) > 1:
            broken.append(f"{name}: the one change that was proposed at voter1 was applied as versions {numbers}")
    if word == "RESULT":
        broken.append(f"version {before} had deleted {tenant}; the node serves it again, at version {after}")
    return broken


if __name__ == "__main__":
    sys.exit(stand.play(CASE, case))
