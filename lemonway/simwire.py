"""The simulator's binary wire: frames, records and the settings text. No decision is made here."""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct
from typing import Any

from . import interface as api
from .interface import Action, Event, Lane, Outcome, Settings, Tenant

HEADER = Struct(">dIII")
REPLY = Struct(">II")
_U16, _U64, _U8, _F64 = Struct(">H"), Struct(">Q"), Struct(">B"), Struct(">d")
_OPEN, _REQUEST = Struct(">QI"), Struct(">QHHQddffBIdQ")
_SETTLED, _RETURNED, _WOKEN = Struct(">QdB"), Struct(">QBd"), Struct(">QB")
_GAUGES = [Struct(f">{n}f") for n in range(256)]
_OUTCOMES = {
    0: Outcome.OK, 5: Outcome.ERROR, 11: Outcome.TURNED_AWAY, 110: Outcome.TIMED_OUT,
    111: Outcome.UNREACHABLE, 104: Outcome.CUT_OFF, 125: Outcome.CANCELLED, 114: Outcome.MOOT,
}


class WireError(Exception):
    """What came in is not a frame of the wire."""


class Opened:
    """A process came up: its seed and its settings text."""

    __slots__ = ("seed", "text")

    def __init__(self, seed: int, text: bytes) -> None:
        self.seed, self.text = seed, text


class Crashed:
    """The server died without warning."""

    __slots__ = ()


Record = Event | Opened | Crashed


def _outcome(code: int) -> Outcome:
    if code not in _OUTCOMES:
        raise WireError(f"unknown outcome {code}")
    return _OUTCOMES[code]


def decode(body: memoryview, count: int) -> list[tuple[int, Record]]:
    """Turn the records of one batch into (instance, event) pairs, in order."""
    out: list[tuple[int, Record]] = []
    at, end, inst = 0, len(body), -1

    def take(form: Struct) -> tuple[Any, ...]:
        nonlocal at
        if at + form.size > end:
            raise WireError("record cut short")
        fields = form.unpack_from(body, at)
        at += form.size
        return fields

    for _ in range(count):
        (code,) = take(_U8)
        if code == 9:
            (inst,) = take(_U16)
            continue
        if inst < 0:
            raise WireError("record before any target_instance")
        event: Record
        if code == 1:
            (rid, lane, tenant, key, ttl, work, kb, rank, flags, caller, lay, earlier) = take(_REQUEST)
            event = api.Arrival(
                rid, lane, tenant, key, ttl if ttl > 0 else None, work if flags & 1 else None, kb, rank,
                bool(flags & 2), bool(flags & 4), caller, lay, earlier,
            )
        elif code == 2:
            rid, duration, result = take(_SETTLED)
            event = api.Finished(rid, duration, _outcome(result))
        elif code == 3:
            event = api.CallNeeded(*take(_U64))
        elif code == 4:
            rid, result, duration = take(_RETURNED)
            event = api.CallEnded(rid, _outcome(result), duration)
        elif code == 5:
            event = api.Drain(*take(_F64))
        elif code == 6:
            event = api.Abandoned(*take(_U64))
        elif code == 7:
            token, n = take(_WOKEN)
            event = api.Woken(token, take(_GAUGES[n]))
        elif code == 8:
            event = Crashed()
        elif code == 0:
            seed, n = take(_OPEN)
            if at + n > end:
                raise WireError("settings cut short")
            event = Opened(seed, bytes(body[at : at + n]))
            at += n
        else:
            raise WireError(f"unknown event code {code}")
        out.append((inst, event))
    if at != end:
        raise WireError(f"{end - at} bytes left over after the last record")
    return out


def _text(code: int, text: str) -> bytes:
    raw = text.encode()[:65535]
    return bytes((code,)) + _U16.pack(len(raw)) + raw


def _ids(code: int) -> Callable[[Any], bytes]:
    form = Struct(">BQ")
    return lambda a: form.pack(code, a.id)


_BQD, _BQDB, _BBB = Struct(">BQd"), Struct(">BQdB"), Struct(">BBB")
_BF, _BD, _BDQ = Struct(">Bf"), Struct(">Bd"), Struct(">BdQ")
_ENCODE: dict[type, Callable[[Any], bytes]] = {
    api.Admit: _ids(0),
    api.Refuse: lambda a: _BQDB.pack(1, a.id, a.retry_after, a.final),
    api.Fail: _ids(2),
    api.Suspend: _ids(3),
    api.Call: lambda a: _BQD.pack(4, a.id, a.timeout),
    api.SkipCall: _ids(5),
    api.Retain: lambda a: _BQD.pack(6, a.id, a.ttl),
    api.Forget: _ids(7),
    api.Replay: _ids(8),
    api.SetHealth: lambda a: _BBB.pack(9, a.good, a.stored),
    api.Advertise: lambda a: _BF.pack(10, a.value),
    api.KeepAlive: lambda a: _BD.pack(11, a.ttl),
    api.Wake: lambda a: _BDQ.pack(12, a.at, a.token),
    api.Log: lambda a: _text(13, a.text),
}


def encode(batch: int, groups: list[tuple[int, list[Action]]], fault: tuple[int, str] | None = None) -> bytes:
    """Pack one reply: the actions of each instance, and a bail_out if the policy failed."""
    parts: list[bytes] = []
    for inst, actions in groups:
        if actions:
            parts.append(b"\x0f" + _U16.pack(inst))
            parts.extend(_ENCODE[type(action)](action) for action in actions)
    if fault is not None:
        parts.append(b"\x0f" + _U16.pack(fault[0]))
        parts.append(_text(14, fault[1]))
    body = b"".join(parts)
    return REPLY.pack(REPLY.size + len(body), batch) + body


class _Pairs:
    """Path=value lines, read by path; what is absent keeps the default."""

    def __init__(self, text: str) -> None:
        lines = (line.partition("=") for line in text.splitlines() if "=" in line)
        self.values = {path.strip(): value.strip() for path, _, value in lines}

    def number(self, path: str, default: float) -> float:
        raw = self.values.get(path, "")
        try:
            return float(raw) if raw else default
        except ValueError:
            raise ValueError(f"settings: {path} is {raw!r}, wanted a number") from None

    def flag(self, path: str, default: bool) -> bool:
        raw = self.values.get(path, "")
        if raw not in ("", "true", "false"):
            raise ValueError(f"settings: {path} is {raw!r}, wanted true or false")
        return raw == "true" if raw else default

    def word(self, path: str, default: str) -> str:
        return self.values.get(path) or default

    def choice(self, path: str, kind: Any, default: Any) -> Any:
        raw = self.values.get(path, "")
        try:
            return kind(raw) if raw else default
        except ValueError:
            raise ValueError(f"settings: {path} is {raw!r}") from None

    def row(self, path: str) -> list[str]:
        raw = self.values.get(path, "")
        return raw.split(",") if raw else []

    def items(self, path: str) -> int:
        count = self.number(f"{path}.count", 0)
        if count < 0 or count != int(count):
            raise ValueError(f"settings: {path}.count is {count:g}, wanted a whole number")
        return int(count)


def parse_settings(raw: bytes) -> Settings:
    """Read the settings a process is started with. Unknown paths are passed over."""
    pairs = _Pairs(raw.decode("utf-8", "replace"))
    neutral, lanes = Settings(), []
    calls, skips = pairs.row("familyInfo.classCalls"), pairs.row("familyInfo.classSkipWorth")
    count = pairs.items("lanes")
    for name, row in (("classCalls", calls), ("classSkipWorth", skips)):
        if row and len(row) != count:
            raise ValueError(f"settings: familyInfo.{name} has {len(row)} values for {count} lanes")
    for n in range(count):
        at, plain = f"lanes.{n}.", Lane()
        lanes.append(Lane(
            name=pairs.word(at + "name", ""),
            aim=pairs.number(at + "aim", plain.aim),
            aim_stretch=pairs.number(at + "aimStretch", 0.0),
            deadline=pairs.number(at + "deadline", plain.deadline),
            effect=pairs.choice(at + "effect", api.Effect, plain.effect),
            worth=pairs.number(at + "worth", plain.worth),
            late_value=pairs.number(at + "lateValue", 0.0),
            memory_span=pairs.number(at + "memorySpan", 0.0),
            calls=bool(calls) and calls[n] == "true",
            skip_worth=float(skips[n]) if skips else 0.0,
        ))
    tenants = [
        Tenant(
            pairs.word(f"tenants.{n}.name", ""),
            pairs.number(f"tenants.{n}.quotaRps", 0.0),
            pairs.number(f"tenants.{n}.share", 0.0),
        )
        for n in range(pairs.items("tenants"))
    ]
    fam, rule, mix = "familyInfo.", "rules.", "objectiveMix."
    return Settings(
        lanes=lanes or neutral.lanes,
        tenants=tenants,
        cores=int(pairs.number(fam + "cores", neutral.cores)),
        memory_kb=pairs.number(fam + "memoryKb", neutral.memory_kb),
        run_factor=pairs.number(fam + "runFactor", neutral.run_factor),
        kb_per_key=pairs.number(fam + "kbPerKey", neutral.kb_per_key),
        fresh_start=pairs.flag(fam + "freshStart", neutral.fresh_start),
        halt=pairs.choice(fam + "halt", api.Halt, neutral.halt),
        advice=pairs.choice(fam + "say", api.Advice, neutral.advice),
        advice_heeded=pairs.number(fam + "heeded", neutral.advice_heeded),
        retry_after=pairs.flag("ceilings.retryAfter", neutral.retry_after),
        max_retry_after=pairs.number("ceilings.maxRetryAfter", neutral.max_retry_after),
        marks_retry=pairs.flag("clients.marksRetry", neutral.marks_retry),
        tells_abandoned=pairs.flag(fam + "tellsGone", neutral.tells_abandoned),
        share_for=pairs.number(fam + "shareFor", neutral.share_for),
        deep_checks=pairs.flag(fam + "deepChecks", neutral.deep_checks),
        caller_idle=pairs.number(fam + "callerIdle", neutral.caller_idle),
        callers=int(pairs.number(fam + "upstreams", neutral.callers)),
        fleet=int(pairs.number("fleetSize", neutral.fleet)),
        meters=tuple(pairs.row(fam + "meters")),
        below=pairs.word(fam + "below", neutral.below),
        call_share=pairs.number(fam + "depShare", neutral.call_share),
        call_window=pairs.number(fam + "depWindow", neutral.call_window),
        call_linger=pairs.number(fam + "staysFor", neutral.call_linger),
        cold_time=pairs.number(rule + "cold", neutral.cold_time),
        cold_from=pairs.number(rule + "coldFrom", neutral.cold_from),
        crowd=pairs.number(rule + "fallMultiple", neutral.crowd),
        crowd_window=pairs.number(rule + "overloadFor", neutral.crowd_window),
        answer_grace=pairs.number(rule + "graceToAnswer", neutral.answer_grace),
        drain_grace=pairs.number(rule + "stopSendingWithin", neutral.drain_grace),
        worth_by_work=pairs.word("worthBy", "request") == "work",
        over_share_worth=pairs.number("overShareWorth", neutral.over_share_worth),
        weight_whole=pairs.number(mix + "whole", neutral.weight_whole),
        weight_window=pairs.number(mix + "worstWindow", neutral.weight_window),
        weight_class=pairs.number(mix + "worstClass", neutral.weight_class),
        weight_tenant=pairs.number(mix + "worstTenant", neutral.weight_tenant),
        tick=pairs.number("tick", neutral.tick),
    )
