"""The registers of one replica, by key: bounded, kept until their windows end, with checksums of the decided ones.

A register is write-once within its window. There is one checksum for each range of keys shared with a peer. Each change
updates it, so anti-entropy (repair.py) compares replicas without iterating over the keys.

Times are whole Unix microseconds."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b

from .messages import NO_BALLOT, Ballot, Chosen, Claim, Entry, RunOutcome
from .placement import Group, Membership

REGISTER_BYTES = 570  # memory of a register without its result
RANGE_COUNT = 256  # key ranges: replicas compare one checksum a range, then the keys of a range that differs
SECOND_US = 1_000_000


def range_of(key: str) -> int:
    """The index of the range of ``key``, from 0 to ``RANGE_COUNT - 1``."""
    return blake2b(key.encode(), digest_size=1).digest()[0]


def is_same_run(a: Claim | None, b: Claim | None) -> bool:
    """Whether both claims are present and stand for the same run."""
    return (
        a is not None
        and b is not None
        and (a.node, a.incarnation, a.arrived_at_us, a.digest) == (b.node, b.incarnation, b.arrived_at_us, b.digest)
    )


def register_checksum(key: str, value: Claim, outcome: RunOutcome | None) -> int:
    """The checksum of a decided register, which is XORed into that of its range."""
    outcome_bytes = b"-" if outcome is None else b"%d" % outcome.kind + blake2b(outcome.body, digest_size=8).digest()
    data = f"{key}\x00{value.node}\x00{value.incarnation}\x00".encode() + value.digest + outcome_bytes
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


@dataclass(slots=True)
class Register:
    """What one replica stores for a key until the window ends at ``window_end_us``.

    ``promised``, ``accepted`` and ``value`` are the state of the Paxos acceptor; ``chosen`` and ``outcome`` are decided
    and never change."""

    group: Group
    window_end_us: int
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Claim | None = None
    chosen: Claim | None = None
    outcome: RunOutcome | None = None
    durable: bool = False  # a majority of the group is known to store the outcome
    run_granted: bool = False  # this node's driver got ``Won`` for the key
    fast_used: bool = False  # this node has used round 0 for the key in its current incarnation
    checksum: int = 0  # its part of the checksum of its range; 0 until a claim is chosen

    def as_chosen(self, key: str) -> Chosen:
        """The message with the chosen claim and its outcome. A claim must have been chosen."""
        assert self.chosen is not None
        return Chosen(key, self.chosen, self.outcome, self.durable)

    def as_entry(self, key: str) -> Entry:
        """The complete state of the register, as sent to a replica that catches up."""
        return Entry(
            key, self.window_end_us, self.promised, self.accepted, self.value, self.chosen, self.outcome, self.durable
        )


class RegisterTable:
    """The registers of the node ``name``.

    ``keep_us``: how long past the end of its window a register is kept. ``max_registers`` and ``max_bytes`` bound the
    table. ``in_use`` returns whether a key's register has to stay after its window has ended; ``on_drop`` is called
    with each key whose register is removed."""

    def __init__(
        self,
        name: str,
        placement: Membership,
        *,
        keep_us: int,
        max_registers: int,
        max_bytes: int,
        in_use: Callable[[str], bool],
        on_drop: Callable[[str], None],
    ) -> None:
        self.name, self.placement, self.keep_us = name, placement, keep_us
        self.max_registers, self.max_bytes = max_registers, max_bytes
        self.by_key: dict[str, Register] = {}
        self.result_bytes = 0
        self.range_checksums: dict[str, list[int]] = {}  # by peer: one per range, over the keys shared with it
        self._in_use, self._on_drop = in_use, on_drop
        self._expiries: dict[int, list[str]] = {}  # keys by the Unix second in which they can be dropped

    def __len__(self) -> int:
        return len(self.by_key)

    @property
    def memory_bytes(self) -> int:
        """Estimated memory of the registers and results, in bytes."""
        return len(self.by_key) * REGISTER_BYTES + self.result_bytes

    @property
    def full(self) -> bool:
        """Whether new claims and promises are refused because a bound is reached."""
        return len(self.by_key) >= self.max_registers or self.memory_bytes >= self.max_bytes

    @property
    def overfull(self) -> bool:
        """Whether decided claims are refused too: they may exceed ``max_registers``, but only by an eighth."""
        return len(self.by_key) >= self.max_registers + self.max_registers // 8

    def get(self, key: str) -> Register | None:
        """The register, even if its window has ended."""
        return self.by_key.get(key)

    def live(self, key: str, now_us: int) -> Register | None:
        """The register, unless its window has ended: it is dropped then, as on the other replicas."""
        register = self.by_key.get(key)
        if register is not None and self._expired(key, register, now_us):
            self.drop(key, register)
            return None
        return register

    def get_or_create(self, key: str, window_end_us: int) -> Register:
        """The register of the key; a new one gets ``window_end_us`` as the end of its window."""
        register = self.by_key.get(key)
        if register is None:
            register = self.by_key[key] = Register(self.placement.group(key), window_end_us)
            self._expiries.setdefault(self._expiry_second(window_end_us), []).append(key)
        return register

    def record_outcome(self, key: str, register: Register, outcome: RunOutcome) -> bool:
        """Record the outcome of the chosen claim unless one is recorded already. Returns whether it was recorded."""
        if register.outcome is not None:
            return False
        register.outcome = outcome
        self.result_bytes += len(outcome.body)
        self.update_checksum(key, register)
        return True

    def drop(self, key: str, register: Register) -> None:
        """Remove the register."""
        self._set_checksum(key, register, 0)
        if register.outcome is not None:
            self.result_bytes -= len(register.outcome.body)
        del self.by_key[key]
        self._on_drop(key)

    def drop_expired(self, now_us: int) -> None:
        """Remove the registers whose windows have ended."""
        second = now_us // SECOND_US
        for due_second in [each for each in self._expiries if each <= second]:
            for key in self._expiries.pop(due_second):
                register = self.by_key.get(key)
                if register is None:
                    continue
                if self._expired(key, register, now_us):
                    self.drop(key, register)
                else:
                    later = max(second + 1, self._expiry_second(register.window_end_us))
                    self._expiries.setdefault(later, []).append(key)

    def regroup(self) -> None:
        """Recompute every register's group and the checksums after a change of the list of peers."""
        self.range_checksums.clear()
        for key, register in self.by_key.items():
            register.group, register.checksum = self.placement.group(key), 0
            self.update_checksum(key, register)

    def update_checksum(self, key: str, register: Register) -> None:
        """Update the checksums after a change of a decided register."""
        if register.chosen is not None and self.name in register.group:
            self._set_checksum(key, register, register_checksum(key, register.chosen, register.outcome))

    def shared(self, peer: str, range_index: int | None = None) -> Iterable[tuple[str, Register]]:
        """The registers that this node shares with a peer; with ``range_index`` only those of that range."""
        for key, register in self.by_key.items():
            if (
                peer in register.group
                and self.name in register.group
                and (range_index is None or range_of(key) == range_index)
            ):
                yield key, register

    def _set_checksum(self, key: str, register: Register, new_checksum: int) -> None:
        """Replace the register's part of the range checksums (XOR) by ``checksum``."""
        if self.name not in register.group or register.chosen is None:
            return
        change, register.checksum = register.checksum ^ new_checksum, new_checksum
        range_index = range_of(key)
        for member in register.group:
            if member != self.name:
                self.range_checksums.setdefault(member, [0] * RANGE_COUNT)[range_index] ^= change

    def _expired(self, key: str, register: Register, now_us: int) -> bool:
        return register.window_end_us + self.keep_us < now_us and not self._in_use(key)

    def _expiry_second(self, window_end_us: int) -> int:
        return (window_end_us + self.keep_us) // SECOND_US + 1
