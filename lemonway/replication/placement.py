"""Which nodes replicate a key: rendezvous hashing (highest random weight) over the configured peers.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM ToN 6(1), 1998. Each key
ranks every peer by ``hash(key, peer)`` and takes the top ``size``; a peer that joins or leaves moves only the keys that
rank it in the top, about ``size / len(peers)`` of them. The hash is XXH3 with a seed of its own for each peer."""

from __future__ import annotations

from collections import OrderedDict

from xxhash import xxh3_64_intdigest

GROUP_CACHE_SIZE = 4096  # cached groups: ranking 200 peers takes about 40 us

Group = tuple[str, ...]


class Placement:
    """The groups of keys for a fixed list of peer names.

    ``size``: replicas per key, an odd number such as 3 or 5; a group is smaller if there are fewer peers. Raises
    ``ValueError`` for a size that is not odd and positive."""

    __slots__ = ("peers", "size", "_seeds", "_groups")

    def __init__(self, peers: list[str], size: int = 3) -> None:
        if size < 1 or size % 2 == 0:
            raise ValueError(f"group size {size} is not an odd number of 1 or more")
        self.peers, self.size = sorted(set(peers)), size
        self._seeds = [(xxh3_64_intdigest(peer.encode()), peer) for peer in self.peers]
        self._groups: OrderedDict[str, Group] = OrderedDict()

    def group(self, key: str) -> Group:
        """The key's group, by falling weight; the first member is the key's home node."""
        found = self._groups.get(key)
        if found is None:
            data = key.encode()
            ranked = sorted(((xxh3_64_intdigest(data, seed), peer) for seed, peer in self._seeds), reverse=True)
            found = self._groups[key] = tuple(peer for _, peer in ranked[: self.size])
            if len(self._groups) > GROUP_CACHE_SIZE:
                self._groups.popitem(last=False)
        return found


class Membership:
    """The list of peers in force, identified by ``epoch``, and the previous list while a change is in progress.

    During a change a key has a group in each list, and every decision needs a majority of both groups, so that neither
    list decides without the other."""

    __slots__ = ("current", "previous", "epoch", "_size", "_members")

    def __init__(self, peers: list[str], size: int, epoch: int = 0, previous_peers: list[str] | None = None) -> None:
        """``previous_peers``: the previous list if it may still be in force, for a node that starts during a change."""
        self.current = Placement(peers, size)
        self.previous: Placement | None = Placement(previous_peers, size) if previous_peers else None
        self.epoch, self._size = epoch, size
        self._members: OrderedDict[str, Group] = OrderedDict()

    def change(self, peers: list[str], epoch: int) -> None:
        """Start a change to ``peers``. Raises ``ValueError`` for an old epoch or during another change."""
        if epoch <= self.epoch:
            raise ValueError(f"epoch {epoch} is not greater than the current epoch {self.epoch}")
        if self.previous is not None:
            raise ValueError(f"the change to epoch {self.epoch} is still in progress")
        self.previous, self.current, self.epoch = self.current, Placement(peers, self._size), epoch
        self._members.clear()

    def finish_change(self) -> None:
        """End the change: the previous list is no longer in force."""
        self.previous = None
        self._members.clear()

    @property
    def peers(self) -> list[str]:
        """All peers of the lists in force, sorted."""
        return sorted({*self.current.peers, *(self.previous.peers if self.previous is not None else ())})

    def groups(self, key: str) -> tuple[Group, ...]:
        """The key's group in each list in force."""
        if self.previous is None:
            return (self.current.group(key),)
        return self.current.group(key), self.previous.group(key)

    def group(self, key: str) -> Group:
        """All nodes that replicate the key, its home node first."""
        if self.previous is None:
            return self.current.group(key)
        found = self._members.get(key)
        if found is None:
            found = self._members[key] = tuple(dict.fromkeys(self.current.group(key) + self.previous.group(key)))
            if len(self._members) > GROUP_CACHE_SIZE:
                self._members.popitem(last=False)
        return found
