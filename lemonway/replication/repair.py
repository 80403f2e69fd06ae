"""Anti-entropy: finds replicas that differ by checksums of key ranges, and reconciles them (``Claims.learn``).

Every ``interval_us`` this node sends the next peer in turn its checksums of the ranges of keys that the two share. They
are updated with each change, so a comparison does not iterate over the keys. Where a checksum differs, the peer lists
the keys of the range, and each sends what the other lacks. For replicas that agree the cost is one message of 256
checksums."""

from __future__ import annotations

import logging
from collections import Counter

from .claims import Claims
from .messages import Chosen, Digests, Listing, Out, Pull, Repair, Send
from .registers import RANGE_COUNT

log = logging.getLogger(__name__)

MAX_RANGES_PER_ROUND = 4  # ranges listed after one comparison; others wait for the next
MAX_LISTED_KEYS = 512  # keys in one listing
MAX_CLAIMS_PER_REPAIR = 64
MAX_RESULT_BYTES = 48 * 1024  # of results in one repair message, which is sent once it has so many


class AntiEntropy:
    """Compares this node's registers with those of its peers, one peer every ``interval_us``."""

    def __init__(self, name: str, peers: list[str], interval_us: int, counters: Counter[str], out: list[Out]) -> None:
        self.name = name
        self.set_peers(peers)
        self.interval_us, self.counters, self.out = interval_us, counters, out
        self._next_peer, self._next_at_us = 0, 0

    def set_peers(self, peers: list[str]) -> None:
        """Use a changed list of peers."""
        self.peers = [peer for peer in peers if peer != self.name]

    def tick(self, now_us: int, claims: Claims, alive: set[str]) -> None:
        """Send checksums to the next live peer if a comparison is due."""
        if now_us < self._next_at_us or not self.peers:
            return
        self._next_at_us = now_us + self.interval_us
        for _ in self.peers:
            peer = self.peers[self._next_peer % len(self.peers)]
            self._next_peer += 1
            if peer in alive:
                self.out.append(Send(peer, Digests(tuple(claims.range_checksums.get(peer, ())) or (0,) * RANGE_COUNT)))
                return

    def on_digests(self, sender: str, msg: Digests, claims: Claims, now_us: int) -> None:
        """List the keys of the ranges whose checksums differ."""
        own = claims.range_checksums.get(sender) or [0] * RANGE_COUNT
        differing = [n for n, (a, b) in enumerate(zip(own, msg.range_checksums, strict=False)) if a != b]
        for range_index in differing[:MAX_RANGES_PER_ROUND]:
            self.counters["ranges_differed"] += 1
            keys = [
                (register_key, shared_register.checksum)
                for register_key, shared_register in claims.shared(sender, range_index)
                if shared_register.chosen is not None and shared_register.window_end_us >= now_us
            ][:MAX_LISTED_KEYS]
            self.out.append(Send(sender, Listing(range_index, tuple(keys))))

    def on_listing(self, sender: str, msg: Listing, claims: Claims, now_us: int) -> None:
        """Send the registers that differ from the sender's, and ask for those that differ here."""
        theirs = dict(msg.key_checksums)
        own = {
            register_key: shared_register
            for register_key, shared_register in claims.shared(sender, msg.range_index)
            if shared_register.chosen is not None and shared_register.window_end_us >= now_us
        }
        self._send(
            sender,
            [
                register_key
                for register_key, shared_register in own.items()
                if theirs.get(register_key) != shared_register.checksum
            ],
            claims,
        )
        pull = [
            register_key
            for register_key, their_checksum in theirs.items()
            if register_key not in own or own[register_key].checksum != their_checksum
        ]
        if pull:
            self.out.append(Send(sender, Pull(tuple(pull))))

    def on_pull(self, sender: str, msg: Pull, claims: Claims) -> None:
        """Send the requested registers."""
        self._send(sender, list(msg.keys), claims)

    def _send(self, to: str, keys: list[str], claims: Claims) -> None:
        found: list[Chosen] = []
        size = 0
        for register_key in keys:
            register = claims.registers.get(register_key)
            if register is None or register.chosen is None:
                continue
            found.append(register.as_chosen(register_key))
            size += len(register.outcome.body) if register.outcome is not None else 0
            if len(found) >= MAX_CLAIMS_PER_REPAIR or size >= MAX_RESULT_BYTES:
                self.out.append(Send(to, Repair(tuple(found))))
                found, size = [], 0
        if found:
            self.out.append(Send(to, Repair(tuple(found))))

    def on_repair(self, sender: str, msg: Repair, claims: Claims, now_us: int) -> None:
        """Apply the claims of a peer and count those that were new."""
        repaired = sum(
            claims.learn(decided.key, decided.value, decided.outcome, now_us, decided.durable)
            for decided in msg.chosen_claims
        )
        if repaired:
            self.counters["repairs"] += repaired
            log.info("replication: %d keys repaired from %s", repaired, sender)
