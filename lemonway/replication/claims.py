"""The exclusive claim of a keyed request: single-decree Paxos per key, with a fast round for the home node.

A key's register is write-once within its window: the chosen value is the first claim that a majority of the key's
group accepted, and every node that asks learns that same claim. A node runs a keyed request only when the chosen
claim is its own (docs/design/replication.md, 2). A node that abandons its claim before it is decided withdraws it and
never runs it. If another proposer completes the claim all the same, it is *void*, and the key is not run in its window.

The parts: registers.py, the state of one replica; acceptor.py and proposer.py, the two roles of Paxos; results.py, the
outcomes of chosen claims. ``Claims`` combines them and holds the rule by which replicas that differ are reconciled.

Sources: Lamport, "Paxos made simple", ACM SIGACT News 32(4), 2001; for replicas that lose their memory, Michael, Ports,
Sharma and Szekeres, "Recovering shared objects without stable storage", DISC 2017 (answers carry the incarnations
that their sender knows, and a majority counts only if no member of it knows a newer incarnation of another). The one
change: round 0 of the key's home node counts as prepared (proposer.py).

Times are whole Unix microseconds; ``keep_us`` covers the skew between the nodes' clocks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from .acceptor import Acceptor
from .context import ReplicaContext
from .messages import (
    VOID,
    Accept,
    Accepted,
    Chosen,
    Claim,
    Entry,
    Fetch,
    Lost,
    Message,
    Nack,
    NoQuorum,
    Out,
    Prepare,
    Promise,
    Result,
    ResultAck,
    RunOutcome,
    Withdraw,
    Won,
)
from .placement import Membership
from .proposer import Proposer
from .registers import Register, RegisterTable, is_same_run
from .results import Results

Handler = Callable[[str, int, Any, int], None]  # called with the sender, its incarnation, the message and the time


class Claims:
    """One node's registers, proposals and results.

    ``claim_us``: how long a claim may take before ``NoQuorum``. ``window_us``: the longest window of any request class;
    with ``keep_us``, how long a promise without an accepted value is kept. ``keep_us``: how long past the end of its
    window a register is kept: the largest clock skew plus the longest time between the arrival of a try and its claim.
    ``may_vote`` returns whether this node has caught up with a key's groups (catchup.py). ``incarnations``: the newest
    known incarnation of each peer, shared with the caller. Once ``max_registers`` or ``max_bytes`` is reached, new
    claims and promises are refused. Messages and decisions are appended to ``out``."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        placement: Membership,
        *,
        may_vote: Callable[[str], bool],
        incarnations: dict[str, int],
        counters: Counter[str],
        out: list[Out],
        claim_us: int = 150_000,
        retry_us: int = 4_000,
        window_us: int = 30_000_000,
        keep_us: int = 10_000_000,
        max_registers: int = 100_000,
        max_bytes: int = 64 << 20,
    ) -> None:
        self.name, self.incarnation, self.counters, self.out = name, incarnation, counters, out
        context = self.context = ReplicaContext(
            name, incarnation, placement, incarnations, counters, out, self._deliver
        )
        table = self.table = RegisterTable(
            name,
            placement,
            keep_us=keep_us,
            max_registers=max_registers,
            max_bytes=max_bytes,
            in_use=self._in_use,
            on_drop=self._on_register_dropped,
        )
        self.acceptor = Acceptor(context, table, may_vote, window_us)
        self.proposer = Proposer(
            context, table, may_vote=may_vote, learn=self.learn, claim_us=claim_us, retry_us=retry_us
        )
        self.results = Results(context, table, self.claim, claim_us)
        self._handlers: dict[type, Handler] = {
            Prepare: self._on_prepare,
            Accept: self._on_accept,
            Promise: self.proposer.on_promise,
            Accepted: self.proposer.on_accepted,
            Nack: self._on_nack,
            Withdraw: self._on_withdraw,
            Chosen: self._on_chosen,
            Fetch: self._on_fetch,
            Result: self._on_result,
            ResultAck: self.results.on_result_ack,
        }

    # state read by the driver and the other parts of a replica

    @property
    def registers(self) -> Mapping[str, Register]:
        """This node's registers by key."""
        return self.table.by_key

    @property
    def result_bytes(self) -> int:
        """Total size of the stored results in bytes."""
        return self.table.result_bytes

    @property
    def memory_bytes(self) -> int:
        """Estimated memory of the registers and results, in bytes."""
        return self.table.memory_bytes

    @property
    def range_checksums(self) -> Mapping[str, list[int]]:
        """By peer: one checksum per key range, over the keys that both this node and the peer replicate."""
        return self.table.range_checksums

    def shared(self, peer: str, range_index: int | None = None) -> Iterable[tuple[str, Register]]:
        """The registers of the keys that both nodes replicate; with ``range_index`` only those of that key range."""
        return self.table.shared(peer, range_index)

    def find_chosen(self, key: str) -> tuple[Claim, RunOutcome | None] | None:
        """The chosen claim of the key, if known, and its outcome if a majority is known to store that."""
        register = self.table.get(key)
        if register is None or register.chosen is None:
            return None
        return register.chosen, register.outcome if register.durable else None

    # calls of the driver

    def claim(self, key: str, own_claim: Claim, now_us: int) -> None:
        """Request the run of ``key``: yields one ``Won``, ``Lost`` or ``NoQuorum`` for all concurrent requests."""
        register = self.table.live(key, now_us)
        if register is not None and register.chosen is not None:
            if register.outcome is not None and not register.durable:
                self.results.claim_when_durable(key, own_claim, register, now_us)
            else:
                self._report_decision(key, own_claim, register.chosen, register, now_us)
            return
        if key in self.proposer.proposals:
            return  # already in progress; it yields one decision
        if register is None:
            if self.table.full:
                self.counters["registers_full"] += 1
                self.out.append(NoQuorum(key))
                return
            register = self.table.get_or_create(key, own_claim.window_end_us)
        self.proposer.start(key, own_claim, register, now_us)

    def watch(self, key: str, now_us: int) -> None:
        """After ``Lost``: fetch the outcome of the chosen claim repeatedly until ``Learned`` or ``unwatch``."""
        self.results.watch(key, now_us)

    def unwatch(self, key: str) -> None:
        """Stop fetching the outcome of the chosen claim."""
        self.results.unwatch(key)

    def publish(self, key: str, outcome: RunOutcome, now_us: int) -> None:
        """Replicate the outcome of this node's chosen claim, ``VOID`` if it never runs; ``Durable`` follows."""
        self.results.publish(key, outcome, now_us)

    def receive(self, sender: str, incarnation: int, message: Message, now_us: int) -> bool:
        """Handle a message. Returns False for a type that does not concern claims."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        handler(sender, incarnation, message, now_us)
        return True

    def tick(self, now_us: int) -> None:
        """Handle timeouts, retransmissions and expired windows; to be called every few milliseconds."""
        self.proposer.tick(now_us)
        self.results.tick(now_us)
        self.table.drop_expired(now_us)

    def regroup(self, now_us: int) -> None:
        """After a change of the list of peers: recompute groups and restart proposals and publications in them."""
        self.table.regroup()
        proposals, self.proposer.proposals = self.proposer.proposals, {}
        for key, proposal in proposals.items():
            register = self.table.get_or_create(key, proposal.own_claim.window_end_us)
            register.promised = max(register.promised, proposal.ballot)  # so that the next round is higher
            self.claim(key, proposal.own_claim, now_us)
        self.results.regroup(now_us)

    # decided claims

    def learn(self, key: str, value: Claim, outcome: RunOutcome | None, now_us: int, durable: bool = False) -> bool:
        """Apply a chosen claim and its outcome to the register. It alone reconciles replicas that differ.

        The first chosen claim stays (the protocol allows no other). An outcome is added to a claim without one, and the
        first outcome stays. A different claim is dropped and counted, with its outcome. Returns whether anything was
        new."""
        if value.window_end_us + self.table.keep_us < now_us:
            return False
        register = self._record(key, value, outcome, now_us, durable)
        if register is None:
            return False
        proposal = self.proposer.proposals.pop(key, None)
        if proposal is not None:
            self.claim(key, proposal.own_claim, now_us)
        elif self._is_own_claim(value) and not register.run_granted and register.outcome is None:
            # This node abandoned the claim and another proposer completed it: it has not run and never will.
            self._publish_void(key, now_us)
        if register.outcome is not None:
            self.results.notify_watcher(key, register, now_us)
        return True

    def merge(self, entry: Entry, now_us: int) -> None:
        """Merge another replica's state of a key while this node catches up.

        The higher promise and the higher accepted ballot are kept (safe by Michael et al., see the module docstring),
        and a chosen claim is learned."""
        if entry.window_end_us + self.table.keep_us < now_us:
            return
        register = self.table.get_or_create(entry.key, entry.window_end_us)
        register.window_end_us = max(register.window_end_us, entry.window_end_us)
        register.promised = max(register.promised, entry.promised)
        if entry.value is not None and entry.accepted > register.accepted:
            register.accepted, register.value = entry.accepted, entry.value
        if entry.chosen is not None:
            self.learn(entry.key, entry.chosen, entry.outcome, now_us, entry.durable)

    def _record(
        self, key: str, value: Claim, outcome: RunOutcome | None, now_us: int, durable: bool
    ) -> Register | None:
        """The key's register after the update of ``learn``, or None if nothing was new."""
        register = self.table.live(key, now_us)
        if (
            register is not None
            and register.chosen is not None
            and not is_same_run(register.chosen, value)
            and value.arrived_at_us > register.window_end_us
        ):
            self.table.drop(key, register)  # the claim is of a later window: this node's clock is behind
            register = None
        if register is not None and register.chosen is not None:
            return self._record_outcome(key, register, value, outcome, durable)
        if register is None and self.table.overfull:
            self.counters["registers_full"] += 1
            return None
        register = self.table.get_or_create(key, value.window_end_us)
        register.window_end_us = max(register.window_end_us, value.window_end_us)
        register.chosen = value
        if outcome is not None:
            self.results.store_outcome(key, register, outcome)
            register.durable = durable
        self.table.update_checksum(key, register)
        return register

    def _record_outcome(
        self, key: str, register: Register, value: Claim, outcome: RunOutcome | None, durable: bool
    ) -> Register | None:
        """The part of ``_record`` for a register with a chosen claim."""
        if not is_same_run(register.chosen, value):
            self.counters["chosen_conflicts"] += 1
            return None
        if outcome is None or register.outcome is not None:
            register.durable |= durable and register.outcome is not None
            return None
        self.results.store_outcome(key, register, outcome)
        register.durable |= durable
        return register

    def _report_decision(self, key: str, own_claim: Claim, chosen: Claim, register: Register, now_us: int) -> None:
        """Report to the driver whether its claim is the chosen one."""
        if self._is_own_claim(chosen) and not register.run_granted and register.outcome is None:
            if is_same_run(chosen, own_claim):
                register.run_granted = True
                self.counters["won"] += 1
                self.out.append(Won(key, chosen))
                return
            self._publish_void(key, now_us)  # the claim of an earlier try that this node refused: it never runs
        self.counters["lost"] += 1
        self.out.append(Lost(key, chosen, register.outcome))

    def _is_own_claim(self, claim: Claim) -> bool:
        """Whether the claim was made by the current incarnation of this node."""
        return (claim.node, claim.incarnation) == (self.name, self.incarnation)

    def _publish_void(self, key: str, now_us: int) -> None:
        """Publish that this node's chosen claim will never run."""
        self.counters["voided"] += 1
        self.results.publish(key, RunOutcome(VOID), now_us)

    # messages

    def _deliver(self, message: Message, now_us: int) -> None:
        """Handle a message of this node to itself."""
        self.receive(self.name, self.incarnation, message, now_us)

    def _on_prepare(self, sender: str, incarnation: int, msg: Prepare, now_us: int) -> None:
        self.acceptor.on_prepare(sender, msg, now_us)

    def _on_accept(self, sender: str, incarnation: int, msg: Accept, now_us: int) -> None:
        self.acceptor.on_accept(sender, msg, now_us)

    def _on_nack(self, sender: str, incarnation: int, msg: Nack, now_us: int) -> None:
        self.proposer.on_nack(msg, now_us)

    def _on_withdraw(self, sender: str, incarnation: int, msg: Withdraw, now_us: int) -> None:
        self.acceptor.on_withdraw(sender, msg)

    def _on_chosen(self, sender: str, incarnation: int, msg: Chosen, now_us: int) -> None:
        self.learn(msg.key, msg.value, msg.outcome, now_us, msg.durable)
        register = self.table.get(msg.key)
        if msg.outcome is None and not msg.durable and register is not None and register.outcome is not None:
            self.context.send(sender, register.as_chosen(msg.key), now_us)  # the sender does not know the outcome

    def _on_fetch(self, sender: str, incarnation: int, msg: Fetch, now_us: int) -> None:
        register = self.table.get(msg.key)
        if register is not None and register.chosen is not None:
            self.context.send(sender, register.as_chosen(msg.key), now_us)

    def _on_result(self, sender: str, incarnation: int, msg: Result, now_us: int) -> None:
        """Store and acknowledge an outcome. Only a chosen claim has one, so the message also tells which is chosen."""
        if self.name not in self.context.placement.group(msg.key):
            self.counters["strange_keys"] += 1
            return
        self.learn(msg.key, msg.value, msg.outcome, now_us)
        self.results.acknowledge(sender, msg, now_us)

    # callbacks of the register table

    def _in_use(self, key: str) -> bool:
        return key in self.proposer.proposals or key in self.results.confirmations

    def _on_register_dropped(self, key: str) -> None:
        self.results.on_register_dropped(key)
