"""The idempotency table: links a duplicate of a keyed request to the try that ran, and stores that run's result."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from ..transport.clock import Clock

ENTRY_BYTES = 800  # memory of an entry without its result
# An expired entry is kept this long, for duplicates that arrived in time but are read late.
LATE_READ_GRACE_US = 10_000_000


@dataclass(slots=True)
class IdempotencyEntry:
    retained_id: int  # the newest try that the admission policy retained; until then the first try
    expires_at_us: int  # 0 until a try is retained or runs; until then only tries read in the same iteration find it
    registered_at_us: int  # time of the event-loop iteration that read the first try
    digest: bytes  # of the body, which is the same for every try of the key
    executed_id: int = 0  # the try that ran; 0 = none has
    class_index: int = -1  # request class of the try that ran; arrived_at_us is its arrival time
    arrived_at_us: int = 0
    result: tuple[bool, bytes] | None = None


def body_digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).digest()


class IdempotencyTable:
    """Entries by key alone, not by key and request class: tries of one request may arrive under two classes when
    reloaded settings rename its class. ``forget`` keeps the entry of a key that has run."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, IdempotencyEntry] = {}
        self._keys: dict[int, str] = {}  # id of a registered, retained or started try -> its key
        self._results = 0  # total size of the stored results in bytes

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def size_bytes(self) -> int:
        """Approximate size of the table in bytes, used to limit it."""
        return len(self._entries) * ENTRY_BYTES + self._results

    def _find_live(self, idempotency_key: str, arrived_at_us: int) -> IdempotencyEntry | None:
        entry = self._entries.get(idempotency_key)
        return (
            None
            if entry is None or (arrived_at_us > entry.expires_at_us and entry.registered_at_us != self._clock.now_us)
            else entry
        )

    def has_live(self, idempotency_key: str, arrived_at_us: int) -> bool:
        """Whether a try that arrives at this time repeats a request that the table has."""
        return self._find_live(idempotency_key, arrived_at_us) is not None

    def conflicts(self, idempotency_key: str, arrived_at_us: int, body: bytes) -> bool:
        """Whether the key belongs to a request with another body; all tries of one request have the same body."""
        entry = self._find_live(idempotency_key, arrived_at_us)
        return entry is not None and entry.digest != body_digest(body)

    def register(self, idempotency_key: str, arrived_at_us: int, ident: int, body: bytes) -> int:
        """Return the try that this one duplicates, or register this one and return 0.

        Tries read in the same event-loop iteration are linked even before the admission policy retains one."""
        entry = self._find_live(idempotency_key, arrived_at_us)
        if entry is None:
            if expired_entry := self._entries.get(idempotency_key):
                self._remove(idempotency_key, expired_entry)
            self._entries[idempotency_key] = IdempotencyEntry(ident, 0, self._clock.now_us, body_digest(body))
            self._keys[ident] = idempotency_key
            return 0
        return entry.executed_id or entry.retained_id

    def retain(self, idempotency_key: str, ident: int, ttl_us: int, body: bytes) -> None:
        entry = self._entries.get(idempotency_key)
        if entry is None:
            entry = self._entries[idempotency_key] = IdempotencyEntry(ident, 0, self._clock.now_us, body_digest(body))
        self._keys[ident] = idempotency_key
        entry.retained_id, entry.expires_at_us = ident, max(entry.expires_at_us, self._clock.now_us + ttl_us)

    def forget(self, ident: int) -> None:
        key = self._keys.get(ident)
        entry = self._entries.get(key) if key else None
        if key is not None and entry is not None and entry.retained_id == ident and not entry.executed_id:
            self._remove(key, entry)

    def release_unstarted(self, ident: int) -> None:
        """The worker pool does not know this request, so it never ran: its key is free for another try."""
        key = self._keys.get(ident)
        entry = self._entries.get(key) if key else None
        if key is not None and entry is not None and ident in (entry.executed_id, entry.retained_id):
            self._remove(key, entry)

    def record_start(
        self,
        idempotency_key: str,
        ident: int,
        expires_at_us: int,
        body: bytes,
        class_index: int = -1,
        arrived_at_us: int = 0,
    ) -> None:
        """Record that a try runs: its entry stays until the end of its window, retained or not."""
        entry = self._entries.get(idempotency_key)
        if entry is None:
            entry = self._entries[idempotency_key] = IdempotencyEntry(ident, 0, self._clock.now_us, body_digest(body))
        entry.executed_id, entry.expires_at_us, entry.class_index, entry.arrived_at_us = (
            ident,
            max(entry.expires_at_us, expires_at_us),
            class_index,
            arrived_at_us,
        )
        self._keys[ident] = idempotency_key

    def extend_windows(self, windows_us: dict[int, int]) -> None:
        """Apply the idempotency windows of new settings, by class index in microseconds. No entry expires earlier."""
        for entry in self._entries.values():
            if entry.executed_id and entry.class_index in windows_us:
                entry.expires_at_us = max(entry.expires_at_us, entry.arrived_at_us + windows_us[entry.class_index])

    def record_result(self, ident: int, good: bool, body: bytes) -> None:
        key = self._keys.get(ident)
        entry = self._entries.get(key) if key else None
        if entry is not None and entry.executed_id == ident and entry.result is None:
            entry.result = (good, body)
            self._results += len(body)

    def executed_try(self, idempotency_key: str) -> int:
        entry = self._entries.get(idempotency_key)
        return entry.executed_id if entry else 0

    def result(self, ident: int) -> tuple[bool, bytes] | None:
        key = self._keys.get(ident)
        entry = self._entries.get(key) if key else None
        return entry.result if entry is not None and entry.executed_id == ident else None

    def purge_expired(self) -> None:
        expired_before_us = self._clock.now_us - LATE_READ_GRACE_US
        for key, entry in [
            (k, e)
            for k, e in self._entries.items()
            if e.expires_at_us < expired_before_us and e.registered_at_us < expired_before_us
        ]:
            self._remove(key, entry)
        for ident in [i for i, key in self._keys.items() if key not in self._entries]:
            del self._keys[ident]

    def _remove(self, key: str, entry: IdempotencyEntry) -> None:
        del self._entries[key]
        self._results -= len(entry.result[1]) if entry.result else 0
        for ident in (entry.retained_id, entry.executed_id):
            self._keys.pop(ident, None)
