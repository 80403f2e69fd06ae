"""Outcomes of chosen claims: replicated to a majority, and fetched where another node's claim was chosen.

A result that a caller has received must not be lost with a few replicas. So a majority of the key's group has to store
it before anybody is answered with it: the node that ran the key replicates it, and so does a node that is about to
answer with it and does not know that it is durable."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..quorum import has_current_majority
from .context import ReplicaContext
from .messages import Chosen, Claim, Durable, Fetch, Incarnations, Learned, NoQuorum, Result, ResultAck, RunOutcome
from .placement import Group
from .proposer import MAX_RESEND_US, RESEND_US
from .registers import Register, RegisterTable, is_same_run

MAX_FETCH_INTERVAL_US = 4 * RESEND_US


@dataclass(slots=True)
class Publication:
    """An outcome that is being replicated to a majority of the key's group."""

    message: Result
    group: Group
    acks: dict[str, tuple[int, Incarnations]] = field(default_factory=dict)
    resend_at_us: int = 0
    resend_interval_us: int = RESEND_US


@dataclass(slots=True)
class Confirmation:
    """A try of this node that waits until a majority stores the outcome of its key."""

    own_claim: Claim
    deadline_us: int


@dataclass(slots=True)
class Watch:
    """A key whose outcome, from another node's claim, this node waits for."""

    fetch_at_us: int
    interval_us: int = RESEND_US


class Results:
    """Replicates and fetches outcomes.

    ``claim_us``: how long a try waits for a majority. ``claim`` is called again for a waiting try once the outcome of
    its key is durable."""

    def __init__(
        self, context: ReplicaContext, table: RegisterTable, claim: Callable[[str, Claim, int], None], claim_us: int
    ) -> None:
        self.context, self.table, self.claim, self.claim_us = context, table, claim, claim_us
        self.publications: dict[str, Publication] = {}
        self.confirmations: dict[str, Confirmation] = {}
        self.watches: dict[str, Watch] = {}

    def store_outcome(self, key: str, register: Register, outcome: RunOutcome) -> None:
        """Record the outcome of the chosen claim; the first one stays."""
        if self.table.record_outcome(key, register, outcome):
            self.context.counters["results_kept"] += 1

    def publish(self, key: str, outcome: RunOutcome, now_us: int) -> None:
        """Replicate the outcome of this node's chosen claim, ``VOID`` if it never runs; ``Durable`` follows."""
        register = self.table.get(key)
        if register is None or register.chosen is None:
            return  # the window has ended
        self.store_outcome(key, register, outcome)
        self.replicate(key, register, now_us)

    def replicate(self, key: str, register: Register, now_us: int) -> None:
        """Send the outcome to the group until a majority stores it."""
        if register.chosen is None or register.outcome is None or key in self.publications:
            return
        message = Result(key, register.chosen, register.outcome)
        self.publications[key] = Publication(message, register.group, resend_at_us=now_us + RESEND_US)
        for member in register.group:
            self.context.send(member, message, now_us)

    def claim_when_durable(self, key: str, own_claim: Claim, register: Register, now_us: int) -> None:
        """Replicate an outcome that may be stored by this replica only, then call ``claim`` again."""
        if key not in self.confirmations:
            self.confirmations[key] = Confirmation(own_claim, now_us + self.claim_us)
            self.replicate(key, register, now_us)

    def watch(self, key: str, now_us: int) -> None:
        """Fetch the outcome of the chosen claim repeatedly until ``Learned`` or ``unwatch``."""
        self.watches[key] = Watch(now_us)

    def unwatch(self, key: str) -> None:
        """Stop fetching the outcome."""
        self.watches.pop(key, None)

    def notify_watcher(self, key: str, register: Register, now_us: int) -> None:
        """Report the outcome of a watched key to the driver once a majority stores it."""
        if key not in self.watches or register.outcome is None or register.chosen is None:
            return
        if not register.durable:
            self.replicate(key, register, now_us)
            return
        del self.watches[key]
        self.context.out.append(Learned(key, register.chosen, register.outcome))

    def acknowledge(self, sender: str, msg: Result, now_us: int) -> None:
        """Confirm to ``sender`` that this replica stores an outcome of the same claim."""
        register = self.table.get(msg.key)
        if register is not None and is_same_run(register.chosen, msg.value) and register.outcome is not None:
            group = self.context.placement.group(msg.key)
            self.context.send(sender, ResultAck(msg.key, self.context.incarnations_of(group)), now_us)

    def on_result_ack(self, sender: str, incarnation: int, msg: ResultAck, now_us: int) -> None:
        """Record the confirmation of a replica; with a majority of them the outcome is durable."""
        publication = self.publications.get(msg.key)
        if publication is None:
            return
        context = self.context
        context.record_incarnations(msg.incarnations)
        publication.acks[sender] = (incarnation, msg.incarnations)
        if has_current_majority(publication.acks, context.placement.groups(msg.key), context.incarnations):
            self._on_durable(msg.key, now_us)

    def tick(self, now_us: int) -> None:
        """Handle timeouts, retransmissions and due fetches."""
        self._expire_confirmations(now_us)
        self._resend_publications(now_us)
        self._fetch_watched(now_us)

    def on_register_dropped(self, key: str) -> None:
        """The key's register was removed: stop replicating and fetching its outcome."""
        self.publications.pop(key, None)
        self.watches.pop(key, None)

    def regroup(self, now_us: int) -> None:
        """After a change of the list of peers: restart all publications in the new groups."""
        publications, self.publications = self.publications, {}
        for key in publications:
            if (register := self.table.get(key)) is not None:
                self.replicate(key, register, now_us)

    def _on_durable(self, key: str, now_us: int) -> None:
        del self.publications[key]
        register = self.table.get(key)
        if register is None or register.chosen is None:
            return
        register.durable = True
        if register.run_granted:
            self.context.out.append(Durable(key))
            for member in register.group:  # so that they can answer duplicates at once
                self.context.send(member, Chosen(key, register.chosen, None, True), now_us)
        confirmation = self.confirmations.pop(key, None)
        if confirmation is not None:
            self.claim(key, confirmation.own_claim, now_us)
        self.notify_watcher(key, register, now_us)

    def _expire_confirmations(self, now_us: int) -> None:
        for key, confirmation in list(self.confirmations.items()):
            if now_us < confirmation.deadline_us:
                continue
            del self.confirmations[key]
            self.context.counters["no_quorum"] += 1
            self.context.out.append(NoQuorum(key))
            if (register := self.table.get(key)) is None or not register.run_granted:
                self.publications.pop(key, None)

    def _resend_publications(self, now_us: int) -> None:
        incarnations = self.context.incarnations
        for publication in list(self.publications.values()):
            if now_us < publication.resend_at_us:
                continue
            publication.resend_interval_us = min(MAX_RESEND_US, 2 * publication.resend_interval_us)
            publication.resend_at_us = now_us + publication.resend_interval_us
            for member in publication.group:
                if member not in publication.acks or publication.acks[member][0] < incarnations.get(member, 0):
                    self.context.send(member, publication.message, now_us)

    def _fetch_watched(self, now_us: int) -> None:
        for key, watch in list(self.watches.items()):
            if now_us < watch.fetch_at_us or key not in self.watches:
                continue
            watch.interval_us = min(MAX_FETCH_INTERVAL_US, 2 * watch.interval_us)
            watch.fetch_at_us = now_us + watch.interval_us
            for member in self.context.placement.group(key):
                self.context.send(member, Fetch(key), now_us)
