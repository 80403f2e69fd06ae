"""Runs the admission policy for many simulated servers over standard input and output:
``python -m lemonway.adapter``."""

from __future__ import annotations

import sys
from typing import BinaryIO

from . import simwire
from .admission_policy import Policy
from .interface import Action, Event


def _read(source: BinaryIO, size: int) -> bytes:
    """Reads ``size`` bytes, or fewer if the input ends before."""
    data = b""
    while len(data) < size:
        chunk = source.read(size - len(data))
        if not chunk:
            break
        data = data + chunk if data else chunk
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Replies to each batch until the input ends between two frames. Raises ``WireError`` for an invalid frame."""
    policies: dict[int, Policy] = {}
    while True:
        header = _read(source, simwire.HEADER.size)
        if not header:
            return
        if len(header) < simwire.HEADER.size:
            raise simwire.WireError("input ended inside a frame header")
        now_ms, size, record_count, batch = simwire.HEADER.unpack(header)
        if size < simwire.HEADER.size:
            raise simwire.WireError(f"frame of {size} bytes is shorter than its header")
        body = _read(source, size - simwire.HEADER.size)
        if len(body) < size - simwire.HEADER.size:
            raise simwire.WireError("input ended inside a frame")
        events: dict[int, list[Event]] = {}
        for instance, record in simwire.decode(memoryview(body), record_count):
            if isinstance(record, simwire.Opened):
                policies[instance] = Policy(simwire.parse_settings(record.text), record.seed)
                events[instance] = []
            elif isinstance(record, simwire.Crashed):
                policies.pop(instance, None)
                events.pop(instance, None)
            elif instance in policies:
                events.setdefault(instance, []).append(record)
            else:
                raise simwire.WireError(f"event for instance {instance}, which is not open")
        groups: list[tuple[int, list[Action]]] = []
        fault: tuple[int, str] | None = None
        for instance, instance_events in events.items():
            try:
                groups.append((instance, policies[instance].step(now_ms, instance_events)))
            except Exception as error:  # the protocol reports a failure of the policy as a record
                fault = (instance, f"{type(error).__name__}: {error}")
                break
        sink.write(simwire.encode(batch, groups, fault))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (simwire.WireError, ValueError) as error:
        print(f"lemonway.adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
