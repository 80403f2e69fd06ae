"""The exclusive claim of a keyed request: single-decree Paxos per key, with a fast first ballot for the key's home.

A key is ``(class, unique)`` flattened to one string. Its register is write-once within its window: the value chosen is
the first claim that a majority of the key's group accepted, and every node that asks learns that same claim. A node
runs a keyed request only when the chosen claim is its own (docs/design/replication.md, 2).

Source: Lamport, "Paxos made simple", ACM SIGACT News 32(4), 2001. The one change: round 0 of the key's home counts as
prepared, since no ballot is lower and only the home may use it, once a key and life; so the home claims in one round
trip. A node that lost its memory abstains (neither promises nor accepts) until ``abstain_until``, since a forgotten
promise would let two values be chosen.

Shapes: times are whole microseconds of the caller's monotonic clock; ``claim`` and ``receive`` give a list of
``Send`` (to a peer, by name, possibly this node itself) and of decisions (``Won``, ``Lost``, ``NoQuorum``)."""

from __future__ import annotations

from dataclasses import dataclass, field

from .placement import Placement

Ballot = tuple[int, str]  # (round, proposer): compared as a tuple
NO_BALLOT: Ballot = (-1, "")


@dataclass(frozen=True, slots=True)
class Claim:
    """Who runs a key: ``node`` in its life ``life`` (new with each start: a node that comes back must not take its
    former life's claim for its own); ``digest`` of the body; its window ends at ``until`` (us)."""

    node: str
    life: str
    digest: str
    until: int


# messages between nodes


@dataclass(frozen=True, slots=True)
class Prepare:
    key: str
    ballot: Ballot
    sender: str


@dataclass(frozen=True, slots=True)
class Promise:
    key: str
    ballot: Ballot
    accepted: Ballot
    value: Claim | None
    sender: str


@dataclass(frozen=True, slots=True)
class Accept:
    key: str
    ballot: Ballot
    value: Claim
    sender: str


@dataclass(frozen=True, slots=True)
class Accepted:
    key: str
    ballot: Ballot
    sender: str


@dataclass(frozen=True, slots=True)
class Nack:
    """The acceptor has promised ``promised``, higher than the ballot it was asked for."""

    key: str
    ballot: Ballot
    promised: Ballot
    sender: str


@dataclass(frozen=True, slots=True)
class Chosen:
    """Told to the group once a claim is chosen, so that each copy knows it without asking."""

    key: str
    value: Claim
    sender: str


@dataclass(frozen=True, slots=True)
class Result:
    """What the run of the chosen claim ``value`` gave, spread to the key's group after the run."""

    key: str
    value: Claim
    body: bytes
    sender: str


Message = Prepare | Promise | Accept | Accepted | Nack | Chosen | Result


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    message: Message


# decisions for the driver


@dataclass(frozen=True, slots=True)
class Won:
    """This node's claim is chosen: it may run the key."""

    key: str
    value: Claim


@dataclass(frozen=True, slots=True)
class Lost:
    """Another claim is chosen: this node must not run the key."""

    key: str
    value: Claim


@dataclass(frozen=True, slots=True)
class NoQuorum:
    """No majority of the key's group answered in time: the key is not run here; the try is refused."""

    key: str


Out = Send | Won | Lost | NoQuorum


@dataclass(slots=True)
class Register:
    """What one copy keeps of a key until its window ends."""

    until: int
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Claim | None = None
    chosen: Claim | None = None
    result: bytes | None = None  # the chosen claim's result, once its node has spread it
    fast_used: bool = False  # this node used round 0 for the key in this life


@dataclass(slots=True)
class Proposal:
    """A claim of this node under way."""

    mine: Claim
    ballot: Ballot
    give_up_at: int
    promises: dict[str, Promise] = field(default_factory=dict)
    accepts: set[str] = field(default_factory=set)
    phase: int = 1  # 1: gathering promises; 2: gathering accepts
    value: Claim | None = None  # what phase 2 asks to accept: ours, or the highest one a promise carried
    retry_at: int = 0  # a nacked proposal tries again with a higher round then


class Claims:
    """One node's copies and proposals. ``claim_us``: how long a claim may take before ``NoQuorum``; ``retry_us``: the
    pause before a higher round after a refusal; ``window_us``: the longest window of any class, which is also how
    long a promise is kept (a promise forgotten early would let a lower ballot be accepted, and two values be chosen)
    and how long a node that lost its memory abstains (``abstain_until``, set by the driver at a start)."""

    def __init__(self, name: str, life: str, placement: Placement, *, claim_us: int = 150_000,
                 retry_us: int = 5_000, window_us: int = 30_000_000, abstain_until: int = 0,
                 registers_most: int = 100_000) -> None:
        self.name, self.life, self.placement = name, life, placement
        self.claim_us, self.retry_us, self.abstain_until = claim_us, retry_us, abstain_until
        self.window_us = window_us
        self.registers_most = registers_most
        self.registers: dict[str, Register] = {}
        self.proposals: dict[str, Proposal] = {}
        self.counters: dict[str, int] = {}

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    # the driver's calls

    def claim(self, key: str, mine: Claim, now: int) -> list[Out]:
        """Ask to run ``key``. Gives at once ``Won``/``Lost`` if its register has a chosen claim here."""
        register = self.registers.get(key)
        if register is not None and register.chosen is not None:
            return [self._decided(key, register.chosen)]
        if key in self.proposals:
            return []  # already under way: its decision comes once
        if register is None and len(self.registers) >= self.registers_most:
            self._count("registers_full")
            return [NoQuorum(key)]
        register = self.registers.setdefault(key, Register(mine.until))
        group = self.placement.group(key)
        fast = group[0] == self.name and not register.fast_used and now >= self.abstain_until
        top = max(register.promised[0], register.accepted[0])
        ballot = (0, self.name) if fast else (max(1, top + 1), self.name)
        proposal = Proposal(mine, ballot, now + self.claim_us)
        self.proposals[key] = proposal
        if fast:
            register.fast_used = True
            proposal.phase, proposal.value = 2, mine
            self._count("claims_fast")
            return [Send(peer, Accept(key, ballot, mine, self.name)) for peer in group]
        self._count("claims_slow")
        return [Send(peer, Prepare(key, ballot, self.name)) for peer in group]

    def chosen(self, key: str) -> Claim | None:
        register = self.registers.get(key)
        return None if register is None else register.chosen

    def publish(self, key: str, value: Claim, body: bytes) -> list[Out]:
        """The run of this node's chosen claim ended with ``body``: keep it and spread it to the key's group."""
        self._on_result(Result(key, value, body, self.name))
        return [Send(peer, Result(key, value, body, self.name)) for peer in self.placement.group(key)
                if peer != self.name]

    def repeat(self, key: str, digest: str) -> str:
        """What a try of ``key`` whose body has ``digest`` gets here, by the one rule for copies that differ:
        ``serve`` the result that the chosen claim's run gave; ``conflict`` if the chosen claim's body differs (the try
        fails, never runs); ``wait`` if a claim is chosen but no result has come (the try never ran: refuse it);
        ``claim`` if nothing is chosen that this copy knows of."""
        register = self.registers.get(key)
        if register is None or register.chosen is None:
            return "claim"
        if register.chosen.digest != digest:
            return "conflict"
        return "serve" if register.result is not None else "wait"

    def result(self, key: str) -> bytes | None:
        register = self.registers.get(key)
        return None if register is None else register.result

    def receive(self, message: Message, now: int) -> list[Out]:
        if isinstance(message, Result):
            self._on_result(message)
            return []
        if isinstance(message, Prepare):
            return self._on_prepare(message, now)
        if isinstance(message, Accept):
            return self._on_accept(message, now)
        if isinstance(message, Chosen):
            return self._on_chosen(message)
        proposal = self.proposals.get(message.key)
        if proposal is None or message.ballot != proposal.ballot:
            return []  # an answer to a round given up or over
        if isinstance(message, Promise):
            return self._on_promise(message, proposal, now)
        if isinstance(message, Accepted):
            return self._on_accepted(message, proposal)
        return self._on_nack(message, proposal, now)

    def tick(self, now: int) -> list[Out]:
        """Timeouts and the end of windows; call it every few milliseconds."""
        out: list[Out] = []
        for key, proposal in list(self.proposals.items()):
            if now >= proposal.give_up_at:
                del self.proposals[key]
                self._count("no_quorum")
                out.append(NoQuorum(key))
            elif proposal.retry_at and now >= proposal.retry_at:
                out.extend(self._again(key, proposal))
        for key in [k for k, r in self.registers.items() if r.until < now and k not in self.proposals]:
            del self.registers[key]
        return out

    # acceptor

    def _register(self, key: str, until: int) -> Register:
        return self.registers.setdefault(key, Register(until))

    def _on_prepare(self, m: Prepare, now: int) -> list[Out]:
        if now < self.abstain_until:
            self._count("abstained")
            return []
        register = self._register(m.key, now + self.window_us)
        if m.ballot <= register.promised:
            return [Send(m.sender, Nack(m.key, m.ballot, register.promised, self.name))]
        register.promised = m.ballot
        return [Send(m.sender, Promise(m.key, m.ballot, register.accepted, register.value, self.name))]

    def _on_accept(self, m: Accept, now: int) -> list[Out]:
        if now < self.abstain_until:
            self._count("abstained")
            return []
        if m.ballot[0] == 0 and self.placement.group(m.key)[0] != m.sender:
            return [Send(m.sender, Nack(m.key, m.ballot, (1, ""), self.name))]  # round 0 is the home's alone
        register = self._register(m.key, m.value.until)
        if m.ballot < register.promised:
            return [Send(m.sender, Nack(m.key, m.ballot, register.promised, self.name))]
        register.promised = register.accepted = m.ballot
        register.value = m.value
        register.until = max(register.until, m.value.until)
        return [Send(m.sender, Accepted(m.key, m.ballot, self.name))]

    def _on_chosen(self, m: Chosen) -> list[Out]:
        self._learn(m.key, m.value)
        if m.key in self.proposals:  # another proposer finished first: ours ends with its value
            del self.proposals[m.key]
            return [self._decided(m.key, m.value)]
        return []

    def _on_result(self, m: Result) -> None:
        """A result beats a bare claim; a result of a claim that is not the one chosen is dropped and counted. Only
        the node whose claim won publishes, so a result also tells which claim was chosen."""
        register = self._register(m.key, m.value.until)
        if register.chosen is not None and register.chosen != m.value:
            self._count("results_dropped")
            return
        self._learn(m.key, m.value)
        if register.result is None:
            register.result = m.body
            self._count("results_kept")

    def _learn(self, key: str, value: Claim) -> None:
        register = self._register(key, value.until)
        if register.chosen is not None and register.chosen != value:
            self._count("chosen_conflicts")  # can't happen while the protocol holds; counted, never acted on
            return
        register.chosen = value
        register.until = max(register.until, value.until)

    # proposer

    def _on_promise(self, m: Promise, proposal: Proposal, now: int) -> list[Out]:
        if proposal.phase != 1:
            return []
        proposal.promises[m.sender] = m
        if len(proposal.promises) < self.placement.quorum(m.key):
            return []
        # The value of the highest ballot accepted by any of the majority, else our own claim.
        best = max(proposal.promises.values(), key=lambda p: p.accepted)
        value = best.value if best.value is not None else proposal.mine
        proposal.phase, proposal.value = 2, value
        return [Send(peer, Accept(m.key, proposal.ballot, value, self.name)) for peer in self.placement.group(m.key)]

    def _on_accepted(self, m: Accepted, proposal: Proposal) -> list[Out]:
        if proposal.phase != 2:
            return []
        proposal.accepts.add(m.sender)
        if len(proposal.accepts) < self.placement.quorum(m.key):
            return []
        value = proposal.value or proposal.mine
        del self.proposals[m.key]
        group = self.placement.group(m.key)
        out: list[Out] = [Send(peer, Chosen(m.key, value, self.name)) for peer in group if peer != self.name]
        self._learn(m.key, value)
        out.append(self._decided(m.key, value))
        return out

    def _on_nack(self, m: Nack, proposal: Proposal, now: int) -> list[Out]:
        register = self.registers.get(m.key)
        if register is not None and m.promised > register.promised:
            register.promised = m.promised
        if not proposal.retry_at:
            self._count("nacked")
            proposal.retry_at = now + self.retry_us
        return []

    def _again(self, key: str, proposal: Proposal) -> list[Out]:
        register = self.registers.get(key)
        top = max(proposal.ballot[0], 0 if register is None else register.promised[0])
        proposal.ballot, proposal.phase, proposal.retry_at = (top + 1, self.name), 1, 0
        proposal.promises.clear()
        proposal.accepts.clear()
        return [Send(peer, Prepare(key, proposal.ballot, self.name)) for peer in self.placement.group(key)]

    def _decided(self, key: str, value: Claim) -> Won | Lost:
        if value.node == self.name and value.life == self.life:
            self._count("won")
            return Won(key, value)
        self._count("lost")
        return Lost(key, value)
