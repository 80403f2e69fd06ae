"""Codec of the simulator's binary protocol: frames, records and the settings text. No decision is made here."""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct
from typing import Any

from . import interface as api
from .interface import Action, Event, Outcome, Settings
from .settings import read_settings

HEADER = Struct(">dIII")
REPLY = Struct(">II")
_U16, _U64, _U8, _F64 = Struct(">H"), Struct(">Q"), Struct(">B"), Struct(">d")
_OPENED, _ARRIVAL = Struct(">QI"), Struct(">QHHQddffBIdQ")
_FINISHED, _CALL_ENDED, _WOKEN = Struct(">QdB"), Struct(">QBd"), Struct(">QB")
_GAUGES = [Struct(f">{n}f") for n in range(256)]
_OUTCOMES = {
    0: Outcome.OK,
    5: Outcome.ERROR,
    11: Outcome.TURNED_AWAY,
    110: Outcome.TIMED_OUT,
    111: Outcome.UNREACHABLE,
    104: Outcome.CUT_OFF,
    125: Outcome.CANCELLED,
    114: Outcome.MOOT,
}


class WireError(Exception):
    """The input is not a valid frame of the protocol."""


class Opened:
    """An instance started: its random seed and its settings text."""

    __slots__ = ("seed", "text")

    def __init__(self, seed: int, text: bytes) -> None:
        self.seed, self.text = seed, text


class Crashed:
    """An instance ended without notice."""

    __slots__ = ()


Record = Event | Opened | Crashed


def _outcome(code: int) -> Outcome:
    if code not in _OUTCOMES:
        raise WireError(f"unknown outcome code {code}")
    return _OUTCOMES[code]


def decode(body: memoryview, count: int) -> list[tuple[int, Record]]:
    """Decodes the records of one batch to (instance, record) pairs, in order. Raises ``WireError`` on invalid input."""
    records: list[tuple[int, Record]] = []
    offset, end, instance = 0, len(body), -1

    def unpack(layout: Struct) -> tuple[Any, ...]:
        nonlocal offset
        if offset + layout.size > end:
            raise WireError("frame ends inside a record")
        fields = layout.unpack_from(body, offset)
        offset += layout.size
        return fields

    for _ in range(count):
        (code,) = unpack(_U8)
        if code == 9:
            (instance,) = unpack(_U16)
            continue
        if instance < 0:
            raise WireError("record before any target_instance")
        event: Record
        if code == 1:
            (
                request_id,
                class_index,
                tenant,
                key,
                remaining_ms,
                work_ms,
                size_kb,
                rank,
                flags,
                caller,
                age_ms,
                duplicate_of,
            ) = unpack(_ARRIVAL)
            event = api.Arrival(
                request_id,
                class_index,
                tenant,
                key,
                remaining_ms if remaining_ms > 0 else None,
                work_ms if flags & 1 else None,
                size_kb,
                rank,
                bool(flags & 2),
                bool(flags & 4),
                caller,
                age_ms,
                duplicate_of,
            )
        elif code == 2:
            request_id, duration_ms, outcome_code = unpack(_FINISHED)
            event = api.Finished(request_id, duration_ms, _outcome(outcome_code))
        elif code == 3:
            event = api.CallNeeded(*unpack(_U64))
        elif code == 4:
            request_id, outcome_code, duration_ms = unpack(_CALL_ENDED)
            event = api.CallEnded(request_id, _outcome(outcome_code), duration_ms)
        elif code == 5:
            event = api.Drain(*unpack(_F64))
        elif code == 6:
            event = api.Abandoned(*unpack(_U64))
        elif code == 7:
            token, gauge_count = unpack(_WOKEN)
            event = api.Woken(token, unpack(_GAUGES[gauge_count]))
        elif code == 8:
            event = Crashed()
        elif code == 0:
            seed, text_size = unpack(_OPENED)
            if offset + text_size > end:
                raise WireError("frame ends inside the settings text")
            event = Opened(seed, bytes(body[offset : offset + text_size]))
            offset += text_size
        else:
            raise WireError(f"unknown event code {code}")
        records.append((instance, event))
    if offset != end:
        raise WireError(f"{end - offset} bytes follow the last record")
    return records


def _encode_text(code: int, text: str) -> bytes:
    encoded = text.encode()[:65535]
    return bytes((code,)) + _U16.pack(len(encoded)) + encoded


def _id_encoder(code: int) -> Callable[[Any], bytes]:
    layout = Struct(">BQ")
    return lambda action: layout.pack(code, action.id)


_BQD, _BQDB, _BBB = Struct(">BQd"), Struct(">BQdB"), Struct(">BBB")
_BF, _BD, _BDQ = Struct(">Bf"), Struct(">Bd"), Struct(">BdQ")
_ENCODE: dict[type, Callable[[Any], bytes]] = {
    api.Admit: _id_encoder(0),
    api.Refuse: lambda action: _BQDB.pack(1, action.id, action.retry_after_ms, action.final),
    api.Fail: _id_encoder(2),
    api.Suspend: _id_encoder(3),
    api.Call: lambda action: _BQD.pack(4, action.id, action.timeout_ms),
    api.SkipCall: _id_encoder(5),
    api.Retain: lambda action: _BQD.pack(6, action.id, action.ttl_ms),
    api.Forget: _id_encoder(7),
    api.Replay: _id_encoder(8),
    api.SetHealth: lambda action: _BBB.pack(9, action.healthy, action.stored),
    api.Advertise: lambda action: _BF.pack(10, action.value),
    api.KeepAlive: lambda action: _BD.pack(11, action.ttl_ms),
    api.Wake: lambda action: _BDQ.pack(12, action.at_ms, action.token),
    api.Log: lambda action: _encode_text(13, action.text),
}


def encode(batch: int, groups: list[tuple[int, list[Action]]], fault: tuple[int, str] | None = None) -> bytes:
    """Encodes one reply: the actions of each instance, and a ``bail_out`` record if the policy of one failed."""
    parts: list[bytes] = []
    for instance, actions in groups:
        if actions:
            parts.append(b"\x0f" + _U16.pack(instance))
            parts.extend(_ENCODE[type(each)](each) for each in actions)
    if fault is not None:
        parts.append(b"\x0f" + _U16.pack(fault[0]))
        parts.append(_encode_text(14, fault[1]))
    body = b"".join(parts)
    return REPLY.pack(REPLY.size + len(body), batch) + body


def parse_settings(raw: bytes) -> Settings:
    """Reads the settings text of an ``open_instance`` record, which consists of path=value lines."""
    lines = (line.partition("=") for line in raw.decode("utf-8", "replace").splitlines() if "=" in line)
    return read_settings({path.strip(): value.strip() for path, _, value in lines})
