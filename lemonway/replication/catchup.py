"""Recovery of a replica that starts with empty memory: when it may vote again, and the snapshots that peers send it.

A restarted replica has lost its promises. It votes in a group only after enough other members have sent it their
registers of the keys shared with it: enough to intersect every majority that its earlier incarnation was part of
(quorum.py, ``recovery_size``). Until then its node proposes claims and serves requests but does not vote; then it votes
in that group even if other groups are not recovered yet. If peers stay unreachable, it votes again after the longest
window, when every claim of the earlier incarnation has expired.

A peer that is still catching up counts only for the groups that it has recovered; its snapshot names the peers that it
has recovered from."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from ..quorum import recovery_size
from .claims import Claims
from .messages import Entry, Out, Recover, Send, SnapshotPart
from .placement import Group

STALL_TIMEOUT_US = 500_000  # a snapshot without progress for so long is requested again
MAX_ENTRIES = 64  # keys in one message
MAX_RESULT_BYTES = 48 * 1024  # of results in one message, after which no further key is added
NEVER_US = -(1 << 62)
BURST_US = 50_000  # the send budget accumulates for at most so long


DrainState = tuple[int, int, bool]  # (incarnation, number of the change in it, whether drained)


@dataclass(slots=True)
class PeerRecovery:
    """Progress of the snapshot that one peer sends."""

    request_id: int = 0
    next_part: int = 0
    progress_at_us: int = NEVER_US
    complete: bool = False
    caught_up: bool = False
    recovered_from: frozenset[str] = frozenset()


@dataclass(slots=True)
class SnapshotStream:
    """A snapshot that is being sent to one peer."""

    request_id: int
    keys: Iterator[str]
    next_part: int = 0


class CatchUp:
    """Recovers this node's registers from its peers, and sends them snapshots of its own.

    ``caught_up``: nothing has to be recovered (the first start of a fleet). ``deadline_us``: when all claims of the
    earlier incarnation have expired (Unix us). ``key_rate``: bound on the keys per second sent to all peers together,
    so that recovery does not slow the node's own requests. ``drain_state_of`` returns the known drain state of a peer.
    Messages are appended to ``out``."""

    def __init__(
        self,
        name: str,
        peers: list[str],
        *,
        caught_up: bool,
        deadline_us: int,
        key_rate: int,
        counters: Counter[str],
        out: list[Out],
        incarnations: dict[str, int],
        drain_state_of: Callable[[str], DrainState | None],
    ) -> None:
        self.incarnations, self.drain_state_of = incarnations, drain_state_of
        self.name, self.deadline_us, self.key_rate, self.counters, self.out = name, deadline_us, key_rate, counters, out
        self.caught_up = caught_up
        self.recoveries = {} if caught_up else {peer: PeerRecovery() for peer in peers if peer != name}
        self.streams: dict[str, SnapshotStream] = {}
        self._request_count = 0
        self._budget, self._refilled_at_us = 0.0, 0
        self._may_vote_by_group: dict[Group, bool] = {}
        self.recovery_time_us = -1  # microseconds from the start until caught up; -1 before
        self._started_at_us = -1

    # recovering

    def set_peers(self, peers: list[str]) -> None:
        """Use a changed list of peers."""
        if not self.caught_up:
            self.recoveries = {peer: self.recoveries.get(peer) or PeerRecovery() for peer in peers if peer != self.name}
            self._may_vote_by_group = {}

    def may_vote(self, group: Group) -> bool:
        """Whether enough of the group's other members have sent their registers."""
        if self.caught_up:
            return True
        allowed = self._may_vote_by_group.get(group)
        if allowed is None:
            recovered = sum(
                self._counts_for_group(self.recoveries.get(member), member, group)
                for member in group
                if member != self.name
            )
            allowed = self._may_vote_by_group[group] = len(group) > 1 and recovered >= recovery_size(group)
        return allowed

    @staticmethod
    def _counts_for_group(recovery: PeerRecovery | None, member: str, group: Group) -> bool:
        if recovery is None or not recovery.complete:
            return False
        return recovery.caught_up or sum(
            other in recovery.recovered_from for other in group if other != member
        ) >= recovery_size(group)

    @property
    def recovered_from(self) -> tuple[str, ...]:
        """The peers whose complete snapshot was received and that had caught up themselves."""
        return tuple(peer for peer, recovery in self.recoveries.items() if recovery.complete and recovery.caught_up)

    def tick(self, now_us: int, claims: Claims) -> None:
        """Request missing snapshots, check whether recovery is complete, and send what the budget allows."""
        if self._started_at_us < 0:
            self._started_at_us = now_us
        if not self.caught_up:
            for peer, recovery in self.recoveries.items():
                if (
                    not recovery.complete or not recovery.caught_up
                ) and now_us - recovery.progress_at_us >= STALL_TIMEOUT_US:
                    self._request_snapshot(peer, recovery, now_us)
            if now_us >= self.deadline_us or all(
                progress.complete and progress.caught_up for progress in self.recoveries.values()
            ):
                self.counters["caught_up" if now_us < self.deadline_us else "waited_out"] += 1
                self.caught_up, self.recovery_time_us = True, now_us - self._started_at_us
                self.recoveries, self._may_vote_by_group = {}, {}
        if self.streams:
            self._send_snapshots(now_us, claims)

    def _request_snapshot(self, peer: str, recovery: PeerRecovery, now_us: int) -> None:
        self._request_count += 1
        recovery.request_id, recovery.next_part, recovery.progress_at_us = self._request_count, 0, now_us
        self.out.append(Send(peer, Recover(recovery.request_id)))

    def on_snapshot_part(self, sender: str, msg: SnapshotPart, now_us: int, claims: Claims) -> None:
        """Merge a part of a peer's snapshot; after a lost part the snapshot is requested again."""
        recovery = self.recoveries.get(sender)
        if recovery is None or recovery.request_id != msg.request_id:
            return
        if msg.part != recovery.next_part:  # a part was lost
            if msg.part > recovery.next_part:
                self._request_snapshot(sender, recovery, now_us)
            return
        recovery.next_part, recovery.progress_at_us = recovery.next_part + 1, now_us
        for peer, incarnation in msg.incarnations:
            if peer != self.name and incarnation > self.incarnations.get(peer, 0):
                self.incarnations[peer] = incarnation
        for entry in msg.entries:
            self.counters["caught_keys"] += 1
            claims.merge(entry, now_us)
        if msg.last:
            recovery.complete, recovery.caught_up, recovery.recovered_from = (
                True,
                msg.caught_up,
                frozenset(msg.recovered_from),
            )
            self._may_vote_by_group = {}

    def on_peer_restart(self, peer: str) -> None:
        """The peer has a new incarnation: request its incomplete snapshot again and stop sending it the old one."""
        if (recovery := self.recoveries.get(peer)) is not None and not recovery.complete:
            recovery.progress_at_us = NEVER_US
        self.streams.pop(peer, None)

    # sending

    def on_recover(self, sender: str, msg: Recover, claims: Claims) -> None:
        """Start to send ``sender`` the registers shared with it."""
        keys = [key for key, _ in claims.shared(sender)]
        self.counters["snapshots"] += 1
        self.streams[sender] = SnapshotStream(msg.request_id, iter(keys))

    def _send_snapshots(self, now_us: int, claims: Claims) -> None:
        max_budget = self.key_rate * BURST_US / 1_000_000
        if not self._refilled_at_us:
            self._budget, self._refilled_at_us = max_budget, now_us
        self._budget = min(max_budget, self._budget + (now_us - self._refilled_at_us) * self.key_rate / 1_000_000)
        self._refilled_at_us = now_us
        while self.streams and self._budget >= 1:
            for peer, stream in list(self.streams.items()):
                entries: list[Entry] = []
                size, last = 0, False
                while len(entries) < min(MAX_ENTRIES, max(1, self._budget)) and size < MAX_RESULT_BYTES:
                    key = next(stream.keys, None)
                    if key is None:
                        last = True
                        break
                    if (register := claims.registers.get(key)) is not None:
                        entries.append(register.as_entry(key))
                        size += len(register.outcome.body) if register.outcome is not None else 0
                self._budget -= max(1, len(entries))
                self.out.append(
                    Send(
                        peer,
                        SnapshotPart(
                            stream.request_id,
                            stream.next_part,
                            tuple(entries),
                            last,
                            self.caught_up,
                            self.recovered_from if last else (),
                            tuple(self.incarnations.items()) if last else (),
                            self.drain_state_of(peer) if last else None,
                        ),
                    )
                )
                stream.next_part += 1
                if last:
                    del self.streams[peer]
                if self._budget < 1:
                    break
