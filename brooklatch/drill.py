"""Hosts the policy for many simulated servers on the wire: ``python -m brooklatch.drill``."""

from __future__ import annotations

import sys
from typing import BinaryIO

from . import wire
from .interface import Action, Event
from .logic import Policy


def _read(source: BinaryIO, size: int) -> bytes:
    """All of ``size`` bytes, or what came before the input ended."""
    parts = b""
    while len(parts) < size:
        more = source.read(size - len(parts))
        if not more:
            break
        parts = parts + more if parts else more
    return parts


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch until the input ends between two frames."""
    policies: dict[int, Policy] = {}
    while True:
        head = _read(source, wire.HEADER.size)
        if not head:
            return
        if len(head) < wire.HEADER.size:
            raise wire.WireError("header cut short")
        now, size, count, batch = wire.HEADER.unpack(head)
        if size < wire.HEADER.size:
            raise wire.WireError(f"frame of {size} bytes is shorter than its header")
        body = _read(source, size - wire.HEADER.size)
        if len(body) < size - wire.HEADER.size:
            raise wire.WireError("frame cut short")
        events: dict[int, list[Event]] = {}
        for inst, record in wire.decode(memoryview(body), count):
            if isinstance(record, wire.Opened):
                policies[inst] = Policy(wire.parse_settings(record.text), record.seed)
                events[inst] = []
            elif isinstance(record, wire.Crashed):
                policies.pop(inst, None)
                events.pop(inst, None)
            elif inst in policies:
                events.setdefault(inst, []).append(record)
            else:
                raise wire.WireError(f"event for instance {inst}, which is not open")
        groups: list[tuple[int, list[Action]]] = []
        fault: tuple[int, str] | None = None
        for inst, mine in events.items():
            try:
                groups.append((inst, policies[inst].step(now, mine)))
            except Exception as error:  # the wire wants the policy's failure as a record
                fault = (inst, f"{type(error).__name__}: {error}")
                break
        sink.write(wire.encode(batch, groups, fault))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, ValueError) as error:
        print(f"brooklatch.drill: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
