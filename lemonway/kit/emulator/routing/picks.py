"""Load-balancing strategies: how a router picks among the peers available to a request. Each uses only what the router
knows; ties go to the peer that comes first in the list, except where a strategy draws at random.

Sources: smooth weighted round robin as in nginx; two choices by Mitzenmacher (2001); rendezvous hashing by Thaler and
Ravishankar (1998)."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from hashlib import blake2b

from ..virtual import Uniform
from .peers import Peer

EXPLORATION_SHARE = 0.05  # share of requests that the fastest-first strategy sends to a random peer to learn latencies


class Picker:
    """One router's strategy. ``available`` is never empty and in list order."""

    def __init__(self, strategy: str, uniform: Uniform) -> None:
        self.uniform = uniform
        self._last_position = 0
        self._pick: Callable[[Sequence[Peer], str], Peer] = {
            "round": self._round_robin,
            "least": self._least_outstanding,
            "two": self._two_choices,
            "weighted": self._weighted_round_robin,
            "key": self._rendezvous_hash,
            "fastest": self._lowest_latency,
            "told": self._lowest_min_rank,
        }[strategy]

    def __call__(self, available: Sequence[Peer], key: str) -> Peer:
        return available[0] if len(available) == 1 else self._pick(available, key)

    def _round_robin(self, peers: Sequence[Peer], key: str) -> Peer:
        """The next available peer in the list after the last one picked."""
        peer = next((p for p in peers if p.position > self._last_position), peers[0])
        self._last_position = peer.position
        return peer

    def _least_outstanding(self, peers: Sequence[Peer], key: str) -> Peer:
        fewest = min(p.outstanding for p in peers)
        tied = [p for p in peers if p.outstanding == fewest]
        return tied[self.uniform.below(len(tied))]

    def _two_choices(self, peers: Sequence[Peer], key: str) -> Peer:
        first = self.uniform.below(len(peers))
        second = (first + 1 + self.uniform.below(len(peers) - 1)) % len(peers)
        return min(peers[first], peers[second], key=lambda p: p.outstanding)

    def _weighted_round_robin(self, peers: Sequence[Peer], key: str) -> Peer:
        best = peers[0]
        for p in peers:
            p.current_weight += p.weight
            if p.current_weight > best.current_weight:
                best = p
        best.current_weight -= sum(p.weight for p in peers)
        return best

    def _rendezvous_hash(self, peers: Sequence[Peer], key: str) -> Peer:
        return max(peers, key=lambda p: blake2b(f"{key}/{p.name}".encode(), digest_size=8).digest())

    def _lowest_latency(self, peers: Sequence[Peer], key: str) -> Peer:
        if self.uniform() < EXPLORATION_SHARE:
            return peers[self.uniform.below(len(peers))]
        return min(peers, key=lambda p: p.latency_ms * (1 + p.outstanding))

    def _lowest_min_rank(self, peers: Sequence[Peer], key: str) -> Peer:
        """The node that advertises the lowest minimum rank has the most spare capacity."""
        return min(peers, key=lambda p: (p.min_rank, p.outstanding))
