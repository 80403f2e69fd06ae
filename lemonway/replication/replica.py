"""One node's replica, as its driver uses it: claims, recovery, anti-entropy and the status of peers.

The driver passes in messages with their sender and its incarnation, calls ``tick`` every few milliseconds, and carries
out what each call returns: messages to send, and decisions. The replica does no I/O and reads no clock: ``now_us`` is
whole Unix microseconds, from clocks that agree within ``skew_us``."""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass

from ..quorum import majority_size
from .catchup import CatchUp, DrainState
from .claims import Claims
from .messages import (
    Claim,
    Digests,
    Heartbeat,
    Listing,
    Message,
    NoQuorum,
    Out,
    Pull,
    Recover,
    Repair,
    Restored,
    RunOutcome,
    Send,
    SnapshotPart,
)
from .placement import Membership
from .repair import AntiEntropy

log = logging.getLogger(__name__)

HEARTBEATS_PER_SECOND = 100  # bound for all peers together: many peers get less frequent heartbeats


@dataclass(frozen=True)
class ReplicaSettings:
    """Parameters of one replica. Times are in microseconds."""

    group_size: int = 3  # replicas per key
    claim_us: int = 150_000  # a claim without a majority is abandoned after so long
    heartbeat_us: int = 200_000  # least interval between heartbeats
    missed_heartbeats: int = 4  # heartbeat intervals without a message after which a peer counts as gone
    window_us: int = 30_000_000  # the longest idempotency window of any request class
    skew_us: int = 1_000_000  # the largest difference between the nodes' Unix clocks
    max_try_age_us: int = 9_000_000  # the longest time from the arrival of a try to its claim
    repair_us: int = 1_000_000  # between comparisons, each with the next peer in turn
    key_rate: int = 20_000  # keys per second sent to peers that catch up
    max_registers: int = 100_000
    max_bytes: int = 64 << 20
    first_start: bool = False  # first start of the fleet: there is nothing to recover


@dataclass(slots=True)
class Peer:
    """The known status of another node."""

    incarnation: int = 0
    seen_at_us: int = -(1 << 62)
    status_version: tuple[int, int] = (0, 0)
    ready: bool = False
    drained: bool = False
    caught_up: bool = False
    epoch: int = 0


class Replica:
    """The replicated state of one node. Each method that returns a list returns what the driver has to carry out."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        peers: list[str],
        settings: ReplicaSettings,
        now_us: int,
        epoch: int = 0,
        previous_peers: list[str] | None = None,
    ) -> None:
        """``peers``: all nodes, this one included. ``epoch``: the number of changes of that list. ``previous_peers``:
        the previous list if it may still be in force when this node starts."""
        self.name, self.incarnation, self.settings = name, incarnation, settings
        self.counters: Counter[str] = Counter()
        self.out: list[Out] = []
        self.placement = Membership(peers, settings.group_size, epoch, previous_peers)
        # During a change of the list: the earliest time at which the previous list can be dropped.
        self.joint_until_us = now_us + settings.window_us + settings.max_try_age_us + 2 * settings.skew_us
        self.outdated = False  # a peer uses a later list: this node neither votes nor claims
        self.peers: dict[str, Peer] = {peer: Peer() for peer in self.placement.peers if peer != name}
        self.incarnations: dict[str, int] = {}
        self.heartbeat_us = max(settings.heartbeat_us, len(self.peers) * 1_000_000 // HEARTBEATS_PER_SECOND)
        self.peer_timeout_us = settings.missed_heartbeats * self.heartbeat_us
        self.catchup = CatchUp(
            name,
            self.placement.peers,
            caught_up=settings.first_start or not self.peers,
            deadline_us=now_us + settings.window_us + 2 * settings.skew_us + settings.max_try_age_us,
            key_rate=settings.key_rate,
            counters=self.counters,
            out=self.out,
            incarnations=self.incarnations,
            drain_state_of=self._drain_state_of,
        )
        self.claims = Claims(
            name,
            incarnation,
            self.placement,
            may_vote=self._may_vote,
            incarnations=self.incarnations,
            counters=self.counters,
            out=self.out,
            claim_us=settings.claim_us,
            window_us=settings.window_us,
            keep_us=settings.skew_us + settings.max_try_age_us,
            max_registers=settings.max_registers,
            max_bytes=settings.max_bytes,
        )
        self.repair = AntiEntropy(name, self.placement.peers, settings.repair_us, self.counters, self.out)
        self.alive: set[str] = set()
        self.status_version, self.ready, self.drained = (0, 0), False, False
        self._next_heartbeat_us = now_us

    # calls of the driver

    def claim(self, key: str, own_claim: Claim, now_us: int) -> list[Out]:
        """Request the run of ``key``: yields one ``Won``, ``Lost`` or ``NoQuorum`` for all concurrent requests."""
        if not self.reaches_majority(key) and self.claims.find_chosen(key) is None:
            self.counters["no_quorum_known"] += 1
            return [NoQuorum(key)]
        self.claims.claim(key, own_claim, now_us)
        return self._take_output()

    def watch(self, key: str, now_us: int) -> list[Out]:
        """After ``Lost``: fetch the outcome of the chosen claim until ``Learned``."""
        self.claims.watch(key, now_us)
        return self._take_output()

    def publish(self, key: str, outcome: RunOutcome, now_us: int) -> list[Out]:
        """Replicate the outcome of this node's chosen claim, ``VOID`` if it never runs; ``Durable`` follows."""
        self.claims.publish(key, outcome, now_us)
        return self._take_output()

    def set_ready(self, ready: bool) -> None:
        """Set whether this node accepts requests; sent with the next heartbeat."""
        self.ready = ready

    def set_drained(self, drained: bool) -> None:
        """Record that an operator drained this node or ended that.

        The next tick reports it to the peers, which return it to the next incarnation of this node."""
        self.status_version = (
            self.incarnation,
            self.status_version[1] + 1 if self.status_version[0] == self.incarnation else 1,
        )
        self.drained, self._next_heartbeat_us = drained, 0

    def reaches_majority(self, key: str) -> bool:
        """Whether this node has recent messages from a majority of the key's group, itself included."""
        return not self.outdated and all(
            sum(member == self.name or member in self.alive for member in group) >= majority_size(group)
            for group in self.placement.groups(key)
        )

    def _may_vote(self, key: str) -> bool:
        return not self.outdated and all(self.catchup.may_vote(group) for group in self.placement.groups(key))

    def change(self, peers: list[str], epoch: int, now_us: int) -> list[Out]:
        """Start a change to a new list of peers.

        Claims and results need a majority in both lists until the claims made under the old list have expired and every
        remaining node has the new one. Removed nodes have to be stopped: they are not notified. Raises ``ValueError``
        for a list without this node, for an epoch that is not higher, or while another change is in progress."""
        if self.name not in peers:
            raise ValueError(f"this node, {self.name}, is not among the peers")
        self.placement.change(peers, epoch)
        settings = self.settings
        self.joint_until_us = now_us + settings.window_us + settings.max_try_age_us + 2 * settings.skew_us
        self.outdated = False
        self._regroup(now_us)
        self._next_heartbeat_us = 0
        self.counters["list_changes"] += 1
        return self._take_output()

    def _regroup(self, now_us: int) -> None:
        """Apply the lists of peers in force to all parts."""
        peers = self.placement.peers
        self.peers = {peer: self.peers.get(peer) or Peer() for peer in peers if peer != self.name}
        self.heartbeat_us = max(self.settings.heartbeat_us, len(self.peers) * 1_000_000 // HEARTBEATS_PER_SECOND)
        self.peer_timeout_us = self.settings.missed_heartbeats * self.heartbeat_us
        self.catchup.set_peers(peers)
        self.repair.set_peers(peers)
        self.claims.regroup(now_us)

    def _finish_change(self, now_us: int) -> None:
        """End the change of the list once the old claims have expired and every remaining peer uses the new list."""
        previous = self.placement.previous
        if previous is None or now_us < self.joint_until_us:
            return
        remaining = set(previous.peers) & set(self.placement.current.peers) - {self.name}
        if all(self.peers[peer].epoch >= self.placement.epoch for peer in remaining):
            self.placement.finish_change()
            self._regroup(now_us)
            self.counters["lists_settled"] += 1
            log.info("replication: only the peer list of epoch %d is in force now", self.placement.epoch)

    def may_be_running(self, claim: Claim) -> bool:
        """Whether the incarnation that made the claim still seems to run, and so may yet publish its outcome."""
        if claim.node == self.name:
            return claim.incarnation == self.incarnation
        return claim.node in self.alive and self.incarnations.get(claim.node, 0) <= claim.incarnation

    def receive(self, sender: str, incarnation: int, message: Message, now_us: int, epoch: int = 0) -> list[Out]:
        """Handle a message that a peer sent in ``incarnation`` under its list of ``epoch``; drop stale ones."""
        peer = self.peers.get(sender)
        if peer is None or incarnation < self.incarnations.get(sender, 0):
            self.counters["stale_messages"] += 1
            return []
        if incarnation > self.incarnations.get(sender, 0):
            self.incarnations[sender] = incarnation
        if incarnation > peer.incarnation:
            peer.incarnation = incarnation
            self.catchup.on_peer_restart(sender)
        peer.seen_at_us, peer.epoch = now_us, max(peer.epoch, epoch)
        if epoch > self.placement.epoch and not self.outdated:
            self.outdated = True
            self.counters["outdated"] += 1
            log.error(
                "replication: %s uses the peer list of epoch %d, this node that of epoch %d: install the new file "
                "here and send SIGHUP",
                sender,
                epoch,
                self.placement.epoch,
            )
        if epoch != self.placement.epoch and not isinstance(message, Heartbeat):
            self.counters["other_lists"] += 1  # votes under different lists must not be combined
            return []
        if isinstance(message, Heartbeat):
            if message.status_version >= peer.status_version:
                peer.status_version, peer.drained = message.status_version, message.drained
            peer.ready, peer.caught_up = message.ready, message.caught_up
        elif self.claims.receive(sender, incarnation, message, now_us):
            pass
        elif isinstance(message, Recover):
            self.catchup.on_recover(sender, message, self.claims)
        elif isinstance(message, SnapshotPart):
            if message.drain_state is not None:
                self._restore_drain_state(message.drain_state)
            self.catchup.on_snapshot_part(sender, message, now_us, self.claims)
        elif isinstance(message, Digests):
            self.repair.on_digests(sender, message, self.claims, now_us)
        elif isinstance(message, Listing):
            self.repair.on_listing(sender, message, self.claims, now_us)
        elif isinstance(message, Pull):
            self.repair.on_pull(sender, message, self.claims)
        elif isinstance(message, Repair):
            self.repair.on_repair(sender, message, self.claims, now_us)
        return self._take_output()

    def tick(self, now_us: int) -> list[Out]:
        """Update the status of peers, run all timers and send due heartbeats; to be called every few milliseconds."""
        alive = {name for name, peer in self.peers.items() if now_us - peer.seen_at_us <= self.peer_timeout_us}
        for name in sorted(alive ^ self.alive):
            self.counters["peers_found" if name in alive else "peers_lost"] += 1
            log.info(
                "replication: peer %s %s; %d of %d peers are reachable",
                name,
                "is reachable" if name in alive else "does not answer",
                len(alive),
                len(self.peers),
            )
        self.alive = alive
        self._finish_change(now_us)
        self.claims.tick(now_us)
        self.catchup.tick(now_us, self.claims)
        self.repair.tick(now_us, self.claims, alive)
        if now_us >= self._next_heartbeat_us:
            self._next_heartbeat_us = now_us + self.heartbeat_us
            beat = Heartbeat(self.status_version, self.ready, self.drained, self.catchup.caught_up)
            self.out.extend(Send(peer, beat) for peer in self.peers)
        return self._take_output()

    # drain state and status

    def _drain_state_of(self, peer: str) -> DrainState | None:
        status = self.peers.get(peer)
        return (
            None if status is None else (*status.status_version, status.drained) if status.status_version[0] else None
        )

    def _restore_drain_state(self, drain_state: DrainState) -> None:
        """Restore the drain state of this node's earlier incarnation, unless an operator has changed it since."""
        incarnation, number, drained = drain_state
        if self.status_version < (incarnation, number) and incarnation < self.incarnation:
            self.status_version = (incarnation, number)
            if drained != self.drained:
                self.drained = drained
                self.out.append(Restored(drained))

    def peer_status(self) -> dict[str, dict[str, object]]:
        """The known status of each peer, for the admin address."""
        return {
            name: {"alive": name in self.alive, "ready": peer.ready, "held": peer.drained, "whole": peer.caught_up}
            for name, peer in sorted(self.peers.items())
        }

    def _take_output(self) -> list[Out]:
        # The parts share the list, so it is cleared in place.
        out = list(self.out)
        self.out.clear()
        return out
