"""The acceptor of single-decree Paxos, with one register per key: votes on claims of this node and of its peers.

Round 0 counts as prepared: only the key's home node may use it, and only while a single list of peers is in force."""

from __future__ import annotations

from collections.abc import Callable

from .context import ReplicaContext
from .messages import NO_BALLOT, Accept, Accepted, Ballot, Nack, Prepare, Promise, Withdraw
from .registers import Register, RegisterTable

FIRST_SLOW_BALLOT: Ballot = (1, "", 0)  # below every ballot of a round that has a prepare phase


class Acceptor:
    """Votes on the claims of proposers.

    ``may_vote`` returns whether this node has caught up with a key's groups (catchup.py). ``window_us``: the longest
    window of any request class, for which a promise without an accepted value is kept. If it were dropped earlier, a
    lower ballot could be accepted and two values be chosen."""

    def __init__(
        self, context: ReplicaContext, table: RegisterTable, may_vote: Callable[[str], bool], window_us: int
    ) -> None:
        self.context, self.table, self.may_vote, self.window_us = context, table, may_vote, window_us

    def on_prepare(self, sender: str, msg: Prepare, now_us: int) -> None:
        """Promise to accept no lower ballot, or answer ``Nack`` if a higher one was promised."""
        register = self._register_to_vote_on(sender, msg.key, msg.ballot, now_us)
        if register is None:
            return
        context = self.context
        if msg.ballot < register.promised:
            context.send(sender, Nack(msg.key, msg.ballot, register.promised), now_us)
            return
        register = self.table.get_or_create(msg.key, now_us + self.window_us)
        register.promised = msg.ballot
        register.window_end_us = max(register.window_end_us, now_us + self.window_us)
        incarnations = context.incarnations_of(register.group)
        context.send(sender, Promise(msg.key, msg.ballot, register.accepted, register.value, incarnations), now_us)

    def on_accept(self, sender: str, msg: Accept, now_us: int) -> None:
        """Accept the claim, or answer ``Nack`` if a higher ballot was promised."""
        register = self._register_to_vote_on(sender, msg.key, msg.ballot, now_us)
        if register is None:
            return
        context = self.context
        if msg.value.window_end_us + self.table.keep_us < now_us:
            context.counters["expired_claims"] += 1
            return
        if msg.ballot < register.promised or self._is_invalid_fast_round(sender, msg, register):
            context.send(sender, Nack(msg.key, msg.ballot, max(register.promised, FIRST_SLOW_BALLOT)), now_us)
            return
        register = self.table.get_or_create(msg.key, msg.value.window_end_us)
        register.promised = register.accepted = msg.ballot
        register.value = msg.value
        register.window_end_us = max(register.window_end_us, msg.value.window_end_us)
        context.send(sender, Accepted(msg.key, msg.ballot, context.incarnations_of(register.group)), now_us)

    def on_withdraw(self, sender: str, msg: Withdraw) -> None:
        """Discard the accepted claim of a proposer that has abandoned it.

        This is safe even if a majority accepted it: only the proposer of a ballot can learn that, and this one has
        abandoned the claim. A proposer that found the claim in a promise proposes it under a ballot of its own, which
        is not discarded."""
        register = self.table.get(msg.key)
        if register is None or register.chosen is not None or register.value is None:
            return
        proposer = msg.ballot[1:]
        accepted_from_it = (register.value.node, register.value.incarnation) == proposer == register.accepted[1:]
        if accepted_from_it and msg.ballot[1] == sender and register.accepted <= msg.ballot:
            register.accepted, register.value = NO_BALLOT, None
            self.context.counters["withdrawn"] += 1

    def _is_invalid_fast_round(self, sender: str, msg: Accept, register: Register) -> bool:
        """Whether this is round 0 from a node other than the home, or round 0 while the list of peers changes."""
        return msg.ballot[0] == 0 and (register.group[0] != sender or len(self.context.placement.groups(msg.key)) > 1)

    def _register_to_vote_on(self, sender: str, key: str, ballot: Ballot, now_us: int) -> Register | None:
        """The register to vote on, or None if this node must not vote. A new register is not added to the table yet.

        If a claim is already chosen, the sender is answered with it."""
        context, table = self.context, self.table
        if ballot[1] != sender or ballot[2] < context.incarnations.get(sender, 0):
            context.counters["stale_ballots"] += 1  # from an earlier incarnation, or another node's ballot
            return None
        register = table.live(key, now_us)
        group = context.placement.group(key) if register is None else register.group
        if context.name not in group:
            context.counters["strange_keys"] += 1
            return None
        if not self.may_vote(key):
            context.counters["abstained"] += 1
            return None
        if register is None and table.full:
            context.counters["registers_full"] += 1
            return None
        if register is not None and register.chosen is not None:
            context.send(sender, register.as_chosen(key), now_us)  # already decided
            return None
        return register or Register(group, 0)
