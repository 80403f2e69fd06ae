"""Where a key's copies live: rendezvous hashing (highest random weight) over the configured peers.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM ToN 6(1), 1998. Each key
ranks every peer by ``hash(key, peer)`` and takes the top ``size``; a peer that joins or leaves moves only the keys in
whose top it is, about ``size / len(peers)`` of them. The hash is BLAKE2b of the standard library, 8 bytes."""

from __future__ import annotations

from hashlib import blake2b


def weight(key: str, peer: str) -> int:
    return int.from_bytes(blake2b(f"{key}\x00{peer}".encode(), digest_size=8).digest(), "big")


class Placement:
    """The groups of keys over a fixed list of peer names. ``size``: copies a key, 3 or 5; fewer peers, fewer."""

    __slots__ = ("peers", "size")

    def __init__(self, peers: list[str], size: int = 3) -> None:
        if size < 1 or size % 2 == 0:
            raise ValueError(f"replication: group size {size} is not an odd number of 1 or more")
        self.peers, self.size = sorted(set(peers)), size

    def group(self, key: str) -> list[str]:
        """The key's group, its home first: the peer of the highest weight."""
        ranked = sorted(self.peers, key=lambda peer: weight(key, peer), reverse=True)
        return ranked[:self.size]

    def quorum(self, key: str) -> int:
        return len(self.group(key)) // 2 + 1
