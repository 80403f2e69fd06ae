"""The exclusive claim of a keyed request: single-decree Paxos per key, with a fast first ballot for the key's home.

A key's register is write-once within its window: the value chosen is the first claim that a majority of the key's
group accepted, and every node that asks learns that same claim. A node runs a keyed request only when the chosen
claim is its own (docs/design/replication.md, 2). One that gives its claim up before it is decided withdraws it, and
never runs it, also if others bring it to its end: it is then *void*, and the key is not run in its window.

Sources: Lamport, "Paxos made simple", ACM SIGACT News 32(4), 2001; for copies that lose their memory, Michael, Ports,
Sharma and Szekeres, "Recovering shared objects without stable storage", DISC 2017 (answers carry the lives that their
speaker knows, and a majority counts only if none of it knows a newer life of another). The one change: round 0 of the
key's home counts as prepared, since no ballot is lower and only the home may use it, once a key and life, and only
once it is caught up; so the home claims in one round trip.

Times are whole Unix microseconds, of clocks that agree about (``keep_us``)."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from ..quorum import has_current_majority
from .messages import (
    NO_BALLOT,
    VOID,
    Accept,
    Accepted,
    Ballot,
    Chosen,
    Claim,
    Durable,
    Ended,
    Entry,
    Fetch,
    Kept,
    Learned,
    Lives,
    Lost,
    Message,
    Nack,
    NoQuorum,
    Out,
    Prepare,
    Promise,
    Result,
    Send,
    Withdraw,
    Won,
)
from .placement import Group, Membership

RESEND = 40_000  # a message that may be lost is said again after so long, then after twice as long, ...
RESEND_MOST = 1_000_000
LIST_COST = 570  # bytes that a register takes without its result (measured, see the design note)
SPANS = 256  # ranges of keys: what differs is found by so many sums, then by the keys of one range


def span_of(key: str) -> int:
    return blake2b(key.encode(), digest_size=1).digest()[0]


def same(a: Claim | None, b: Claim | None) -> bool:
    """Whether two copies of a claim are of one run."""
    return a is not None and b is not None and (a.node, a.life, a.door, a.digest) == (b.node, b.life, b.door, b.digest)


def sum_of(at: str, value: Claim, ended: Ended | None) -> int:
    """What a decided register adds to the sums of its range."""
    how = b"-" if ended is None else b"%d" % ended.how + blake2b(ended.body, digest_size=8).digest()
    data = f"{at}\x00{value.node}\x00{value.life}\x00".encode() + value.digest + how
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")


@dataclass(slots=True)
class Register:
    """What one copy keeps of a key until its window ends."""

    group: Group
    until: int
    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Claim | None = None
    chosen: Claim | None = None
    ended: Ended | None = None
    safe: bool = False  # a majority of the group is known to keep how it ended
    told: bool = False  # the driver of this node was told that it may run the key
    fast_used: bool = False  # this node used round 0 for the key in this life
    sum: int = 0  # what it adds to the sums of its range; 0 until it is decided



@dataclass(slots=True)
class Proposal:
    """A claim of this node under way."""

    mine: Claim
    ballot: Ballot
    group: Group
    give_up_at: int
    phase: int = 1  # 1: gathering promises; 2: gathering accepts
    value: Claim | None = None  # what phase 2 asks to accept: ours, or the one that the promises call for
    said: Prepare | Accept | None = None
    promises: dict[str, tuple[int, Promise]] = field(default_factory=dict)
    accepts: dict[str, tuple[int, Lives]] = field(default_factory=dict)
    top: int = 0  # the highest round that a refusal named
    again_at: int = 0  # a refused round tries again with a higher one then; 0: it is not refused
    resend_at: int = 0
    pause: int = RESEND


@dataclass(slots=True)
class Publication:
    """How a claim ended, on its way to a majority of the key's group: told by the node that ran it, or by one that is
    about to answer with it (a result that was answered may not be lost with the few copies that had it)."""

    message: Result
    group: Group
    kept: dict[str, tuple[int, Lives]] = field(default_factory=dict)
    resend_at: int = 0
    pause: int = RESEND


@dataclass(slots=True)
class Confirming:
    """A try of this node that waits until how its key ended is kept by a majority."""

    mine: Claim
    give_up_at: int


@dataclass(slots=True)
class Watch:
    """A lost claim whose end this node waits for."""

    ask_at: int
    pause: int = RESEND


class Claims:
    """One node's registers, proposals and publications.

    ``claim_us``: how long a claim may take before ``NoQuorum``; ``window_us``: the longest window of any class, and
    with ``keep_us`` how long a bare promise is kept (one forgotten early would let a lower ballot be accepted, and two
    values be chosen). ``keep_us``: how long past the end of its window a register is kept: as far as clocks may lie
    apart, and as long as a try that came within the window may be in hand before it is claimed. ``may_vote`` says
    whether this node has caught up with a group (catchup.py). ``lives``: the newest life of each peer that this node
    knows of, kept by the caller. Bounds: ``registers_most`` and ``bytes_most``, past which nothing new is claimed or
    promised here. Methods add to ``out``."""

    def __init__(self, name: str, life: int, placement: Membership, *, may_vote: Callable[[str], bool],
                 lives: dict[str, int], counters: Counter[str], out: list[Out], claim_us: int = 150_000,
                 retry_us: int = 4_000, window_us: int = 30_000_000, keep_us: int = 10_000_000,
                 registers_most: int = 100_000, bytes_most: int = 64 << 20) -> None:
        self.name, self.life, self.placement = name, life, placement
        self.may_vote, self.lives, self.counters, self.out = may_vote, lives, counters, out
        self.claim_us, self.retry_us, self.window_us, self.keep_us = claim_us, retry_us, window_us, keep_us
        self.registers_most, self.bytes_most = registers_most, bytes_most
        self.registers: dict[str, Register] = {}
        self.proposals: dict[str, Proposal] = {}
        self.publications: dict[str, Publication] = {}
        self.watches: dict[str, Watch] = {}  # by key
        self.confirming: dict[str, Confirming] = {}
        self.bytes = 0  # of results
        self.spread: dict[str, list[int]] = {}  # a peer: the sums of the ranges that this node shares with it
        self._purge_at: dict[int, list[str]] = {}  # registers by the second in which their window ends
        self._random = random.Random(f"{name}/{life}")

    @property
    def weight(self) -> int:
        """Bytes taken, near enough to bound them."""
        return len(self.registers) * LIST_COST + self.bytes

    # what the driver asks

    def claim(self, key: str, mine: Claim, now: int) -> None:
        """Ask to run ``key``: ends in one ``Won``, ``Lost`` or ``NoQuorum``, once for all that ask meanwhile."""
        register = self._live(key, now)
        if register is not None and register.chosen is not None:
            if register.ended is not None and not register.safe:
                # Nobody may be answered with it while it could be lost with this copy.
                if key not in self.confirming:
                    self.confirming[key] = Confirming(mine, now + self.claim_us)
                    self._confirm(key, register, now)
                return
            self._decided(key, mine, register, now)
            return
        if key in self.proposals:
            return  # under way: its decision comes once
        if register is None:
            if len(self.registers) >= self.registers_most or self.weight >= self.bytes_most:
                self.counters["registers_full"] += 1
                self.out.append(NoQuorum(key))
                return
            register = self._register(key, mine.until)
        group = register.group
        fast = (group[0] == self.name and not register.fast_used and register.promised == NO_BALLOT
                and len(self.placement.groups(key)) == 1 and self.may_vote(key))
        top = max(register.promised[0], register.accepted[0], 0)
        ballot = (0 if fast else top + 1, self.name, self.life)
        proposal = self.proposals[key] = Proposal(mine, ballot, group, now + self.claim_us)
        if fast:
            register.fast_used = True
            proposal.phase, proposal.value = 2, mine
            self.counters["claims_fast"] += 1
            self._say(key, proposal, Accept(key, ballot, mine), now)
        else:
            self.counters["claims_slow"] += 1
            self._say(key, proposal, Prepare(key, ballot), now)

    def watch(self, key: str, now: int) -> None:
        """After ``Lost``: go on asking how the chosen claim ended, until ``Learned`` or ``unwatch``."""
        self.watches[key] = Watch(now)

    def unwatch(self, key: str) -> None:
        self.watches.pop(key, None)

    def publish(self, at: str, ended: Ended, now: int) -> None:
        """The run of this node's chosen claim ended, or (``VOID``) will never be: spread it; ``Durable`` follows."""
        register = self.registers.get(at)
        if register is None or register.chosen is None:
            return  # its window has ended
        self._end(at, register, ended)
        self._confirm(at, register, now)

    def _confirm(self, at: str, register: Register, now: int) -> None:
        if register.chosen is None or register.ended is None or at in self.publications:
            return
        message = Result(at, register.chosen, register.ended)
        self.publications[at] = Publication(message, register.group, resend_at=now + RESEND)
        for member in register.group:
            self._send(member, message, now)

    def _kept(self, at: str, now: int) -> None:
        """A majority keeps how the claim ended."""
        del self.publications[at]
        register = self.registers.get(at)
        if register is None or register.chosen is None:
            return
        register.safe = True
        if register.told:
            self.out.append(Durable(at))
            for member in register.group:  # so that they can answer a repeat at once
                self._send(member, Chosen(at, register.chosen, None, True), now)
        waits = self.confirming.pop(at, None)
        if waits is not None:
            self.claim(at, waits.mine, now)
        self._tell(at, register, now)

    def known(self, key: str) -> tuple[Claim, Ended | None] | None:
        """What this node knows is chosen for the key, and how it ended if a majority is known to keep that."""
        register = self.registers.get(key)
        if register is None or register.chosen is None:
            return None
        return register.chosen, register.ended if register.safe else None

    # messages

    def receive(self, sender: str, life: int, message: Message, now: int) -> bool:
        """Gives whether the message was one of claims."""
        if isinstance(message, Prepare):
            self._on_prepare(sender, message, now)
        elif isinstance(message, Accept):
            self._on_accept(sender, message, now)
        elif isinstance(message, Promise):
            proposal = self.proposals.get(message.key)
            if proposal is not None and proposal.phase == 1 and message.ballot == proposal.ballot:
                self._note(message.lives)
                proposal.promises[sender] = (life, message)
                self._weigh_promises(message.key, proposal, now)
        elif isinstance(message, Accepted):
            proposal = self.proposals.get(message.key)
            if proposal is not None and proposal.phase == 2 and message.ballot == proposal.ballot:
                self._note(message.lives)
                proposal.accepts[sender] = (life, message.lives)
                self._weigh_accepts(message.key, proposal, now)
        elif isinstance(message, Nack):
            self._on_nack(message, now)
        elif isinstance(message, Chosen):
            self.learn(message.key, message.value, message.ended, now, message.safe)
            register = self.registers.get(message.key)
            if message.ended is None and not message.safe and register is not None and register.ended is not None:
                self._send(sender, self.told(message.key, register), now)  # it knows less than this node
        elif isinstance(message, Withdraw):
            self._on_withdraw(sender, message)
        elif isinstance(message, Result):
            self._on_result(sender, message, now)
        elif isinstance(message, Kept):
            publication = self.publications.get(message.key)
            if publication is not None:
                self._note(message.lives)
                publication.kept[sender] = (life, message.lives)
                if has_current_majority(publication.kept, self.placement.groups(message.key), self.lives):
                    self._kept(message.key, now)
        elif isinstance(message, Fetch):
            register = self.registers.get(message.key)
            if register is not None and register.chosen is not None:
                self._send(sender, self.told(message.key, register), now)
        else:
            return False
        return True

    def tick(self, now: int) -> None:
        """Timeouts, repeats and the end of windows; call it every few milliseconds."""
        for at, proposal in list(self.proposals.items()):
            if now >= proposal.give_up_at:
                del self.proposals[at]
                self.counters["no_quorum"] += 1
                self._withdraw(at, proposal, now)
                self.out.append(NoQuorum(at))
            elif proposal.again_at and now >= proposal.again_at:
                self._higher(at, proposal, now)
            elif now >= proposal.resend_at and proposal.said is not None:
                answered = ({m: life for m, (life, _) in proposal.promises.items()} if proposal.phase == 1
                            else {m: life for m, (life, _) in proposal.accepts.items()})
                self._say(at, proposal, proposal.said, now,
                          skip={m for m, life in answered.items() if life >= self.lives.get(m, 0)})
        for at, waits in list(self.confirming.items()):
            if now >= waits.give_up_at:
                del self.confirming[at]
                self.counters["no_quorum"] += 1
                self.out.append(NoQuorum(at))
                if (register := self.registers.get(at)) is None or not register.told:
                    self.publications.pop(at, None)
        for publication in list(self.publications.values()):
            if now >= publication.resend_at:
                publication.pause = min(RESEND_MOST, 2 * publication.pause)
                publication.resend_at = now + publication.pause
                for member in publication.group:
                    if member not in publication.kept or publication.kept[member][0] < self.lives.get(member, 0):
                        self._send(member, publication.message, now)
        for key, watch in list(self.watches.items()):
            if now >= watch.ask_at and key in self.watches:
                watch.pause = min(4 * RESEND, 2 * watch.pause)
                watch.ask_at = now + watch.pause
                for member in self.placement.group(key):
                    self._send(member, Fetch(key), now)
        self._purge(now)

    # acceptor

    def _register(self, at: str, until: int) -> Register:
        register = self.registers.get(at)
        if register is None:
            register = self.registers[at] = Register(self.placement.group(at), until)
            self._purge_at.setdefault((until + self.keep_us) // 1_000_000 + 1, []).append(at)
        return register

    def _live(self, at: str, now: int) -> Register | None:
        """The register, unless its window has ended: then it is forgotten, as other copies have done or will."""
        register = self.registers.get(at)
        if register is not None and self._over(at, register, now):
            self._drop(at, register)
            return None
        return register

    def _over(self, at: str, register: Register, now: int) -> bool:
        return register.until + self.keep_us < now and at not in self.proposals and at not in self.confirming

    def _drop(self, at: str, register: Register) -> None:
        self._add(at, register, remove=True)
        if register.ended is not None:
            self.bytes -= len(register.ended.body)
        del self.registers[at]
        self.publications.pop(at, None)
        self.watches.pop(at, None)

    def told(self, at: str, register: Register) -> Chosen:
        """What this copy says of a decided register."""
        assert register.chosen is not None
        return Chosen(at, register.chosen, register.ended, register.safe)

    def _withdraw(self, at: str, proposal: Proposal, now: int) -> None:
        """This node's claim is given up: it will never run it, so whoever accepted it may forget that."""
        for member in proposal.group:
            self._send(member, Withdraw(at, proposal.ballot), now)

    def _on_withdraw(self, sender: str, m: Withdraw) -> None:
        """Safe though a majority may have accepted it: only the proposer of a ballot can learn that, and this one has
        given up. Who saw the claim in a promise and brought it further did so under a ballot of its own: that stays."""
        register = self.registers.get(m.key)
        if (register is not None and register.chosen is None and register.value is not None
                and (register.value.node, register.value.life) == m.ballot[1:] == register.accepted[1:]
                and m.ballot[1] == sender and register.accepted <= m.ballot):
            register.accepted, register.value = NO_BALLOT, None
            self.counters["withdrawn"] += 1

    def _lives(self, group: Group) -> Lives:
        return {member: self.life if member == self.name else self.lives.get(member, 0) for member in group}

    def _note(self, lives: Lives) -> None:
        for member, life in lives.items():
            if member != self.name and life > self.lives.get(member, 0):
                self.lives[member] = life

    def _votes(self, sender: str, at: str, ballot: Ballot, now: int) -> Register | None:
        """This copy's register for a ballot that it may vote on, made if need be; one that is decided is told."""
        if ballot[1] != sender or ballot[2] < self.lives.get(sender, 0):
            self.counters["stale_ballots"] += 1  # of a life that has ended
            return None
        register = self._live(at, now)
        group = self.placement.group(at) if register is None else register.group
        if self.name not in group:
            self.counters["strange_keys"] += 1
            return None
        if not self.may_vote(at):
            self.counters["abstained"] += 1
            return None
        if register is None and (len(self.registers) >= self.registers_most or self.weight >= self.bytes_most):
            self.counters["registers_full"] += 1
            return None
        if register is not None and register.chosen is not None:
            self._send(sender, self.told(at, register), now)  # decided: there is nothing to vote on
            return None
        return register or Register(group, 0)

    def _on_prepare(self, sender: str, m: Prepare, now: int) -> None:
        register = self._votes(sender, m.key, m.ballot, now)
        if register is None:
            return
        if m.ballot < register.promised:
            self._send(sender, Nack(m.key, m.ballot, register.promised), now)
            return
        register = self._register(m.key, now + self.window_us)
        register.promised = m.ballot
        register.until = max(register.until, now + self.window_us)
        self._send(sender, Promise(m.key, m.ballot, register.accepted, register.value, self._lives(register.group)),
                   now)

    def _on_accept(self, sender: str, m: Accept, now: int) -> None:
        register = self._votes(sender, m.key, m.ballot, now)
        if register is None:
            return
        if m.value.until + self.keep_us < now:
            self.counters["expired_claims"] += 1
            return
        if m.ballot < register.promised or (
                m.ballot[0] == 0 and (register.group[0] != sender or len(self.placement.groups(m.key)) > 1)):
            # Round 0 is the home's alone, and no home's while the list of peers changes.
            self._send(sender, Nack(m.key, m.ballot, max(register.promised, (1, "", 0))), now)
            return
        register = self._register(m.key, m.value.until)
        register.promised = register.accepted = m.ballot
        register.value = m.value
        register.until = max(register.until, m.value.until)
        self._send(sender, Accepted(m.key, m.ballot, self._lives(register.group)), now)

    def _on_result(self, sender: str, m: Result, now: int) -> None:
        """Only a claim that is chosen ends, so a result also tells which claim was chosen."""
        group = self.placement.group(m.key)
        if self.name not in group:
            self.counters["strange_keys"] += 1
            return
        self.learn(m.key, m.value, m.ended, now)
        register = self.registers.get(m.key)
        if register is not None and same(register.chosen, m.value) and register.ended is not None:
            self._send(sender, Kept(m.key, self._lives(group)), now)

    # what is decided

    def learn(self, at: str, value: Claim, ended: Ended | None, now: int, safe: bool = False) -> bool:
        """The one rule for copies that differ, for a register's decided part: the first chosen claim stands (the
        protocol lets there be no other); its end beats the bare claim, and the first end stands; an end of another
        claim is dropped and counted. Gives whether this copy learned anything."""
        if value.until + self.keep_us < now:
            return False
        register = self._live(at, now)
        if register is not None and register.chosen is not None and not same(register.chosen, value) and (
                value.door > register.until):
            self._drop(at, register)  # a claim of a later window: this copy's clock is behind
            register = None
        if register is not None and register.chosen is not None:
            if not same(register.chosen, value):
                self.counters["chosen_conflicts"] += 1
                return False
            if ended is None or register.ended is not None:
                register.safe |= safe and register.ended is not None
                return False
            self._end(at, register, ended)
            register.safe |= safe
        else:
            if register is None and len(self.registers) >= self.registers_most + self.registers_most // 8:
                self.counters["registers_full"] += 1  # what is decided may go past the bound, but not without end
                return False
            register = self._register(at, value.until)
            register.until = max(register.until, value.until)
            register.chosen = value
            if ended is not None:
                self._end(at, register, ended)
                register.safe = safe
            self._add(at, register)
        proposal = self.proposals.pop(at, None)
        if proposal is not None:
            self.claim(at, proposal.mine, now)
        elif (value.node, value.life) == (self.name, self.life) and not register.told and register.ended is None:
            # Ours, given up before it was decided: another node brought it to its end. It never ran, nor will it.
            self.counters["voided"] += 1
            self.publish(at, Ended(VOID), now)
        if register.ended is not None:
            self._tell(at, register, now)
        return True

    def _end(self, at: str, register: Register, ended: Ended) -> None:
        if register.ended is None:
            register.ended = ended
            self.bytes += len(ended.body)
            self.counters["results_kept"] += 1
            self._add(at, register)

    def _tell(self, at: str, register: Register, now: int) -> None:
        if at not in self.watches or register.ended is None or register.chosen is None:
            return
        if not register.safe:
            self._confirm(at, register, now)
            return
        del self.watches[at]
        self.out.append(Learned(at, register.chosen, register.ended))

    def _decided(self, at: str, mine: Claim, register: Register, now: int) -> None:
        value = register.chosen
        assert value is not None
        if (value.node, value.life) == (self.name, self.life) and not register.told and register.ended is None:
            if same(value, mine):
                register.told = True
                self.counters["won"] += 1
                self.out.append(Won(at, value))
                return
            # An earlier try of this node, refused before its claim was decided: it never runs.
            self.counters["voided"] += 1
            self.publish(at, Ended(VOID), now)
        self.counters["lost"] += 1
        self.out.append(Lost(at, value, register.ended))

    # sums of ranges, for anti-entropy

    def _add(self, at: str, register: Register, remove: bool = False) -> None:
        """Keeps the sums true: what the register added before goes out, what it is now comes in."""
        if self.name not in register.group or register.chosen is None:
            return
        fresh = 0 if remove else sum_of(at, register.chosen, register.ended)
        change, register.sum = register.sum ^ fresh, fresh
        span = span_of(at)
        for member in register.group:
            if member != self.name:
                self.spread.setdefault(member, [0] * SPANS)[span] ^= change

    def shared(self, peer: str, span: int | None = None) -> Iterable[tuple[str, Register]]:
        """The registers that this node shares with a peer."""
        for at, register in self.registers.items():
            if peer in register.group and self.name in register.group and (span is None or span_of(at) == span):
                yield at, register

    # proposer

    def _say(self, at: str, proposal: Proposal, message: Prepare | Accept, now: int,
             skip: set[str] | None = None) -> None:
        if proposal.said is message:
            proposal.pause = min(RESEND_MOST, 2 * proposal.pause)
        else:
            proposal.said, proposal.pause = message, RESEND
        proposal.resend_at = now + proposal.pause
        for member in proposal.group:
            if self.proposals.get(at) is not proposal or proposal.said is not message:
                return  # this node's own vote, or one before it, has moved it on
            if skip is None or member not in skip:
                self._send(member, message, now)

    def _weigh_promises(self, at: str, proposal: Proposal, now: int) -> None:
        answers = {member: (life, m.lives) for member, (life, m) in proposal.promises.items()}
        if not has_current_majority(answers, self.placement.groups(at), self.lives):
            return
        # The value of the highest ballot accepted by any of the majority, else our own claim. One whose window has
        # ended binds nobody.
        best = max((m for _, m in proposal.promises.values()
                    if m.value is not None and m.value.until + self.keep_us >= now),
                   key=lambda m: m.accepted, default=None)
        proposal.value = proposal.mine if best is None or best.value is None else best.value
        proposal.phase = 2
        self._say(at, proposal, Accept(at, proposal.ballot, proposal.value), now)

    def _weigh_accepts(self, at: str, proposal: Proposal, now: int) -> None:
        if not has_current_majority(proposal.accepts, self.placement.groups(at), self.lives):
            return
        value = proposal.value or proposal.mine
        told = Chosen(at, value, None)
        for member in dict.fromkeys((*proposal.group, value.node)):  # a set's order would differ from run to run
            if member != self.name:
                self._send(member, told, now)
        self.learn(at, value, None, now)  # ends the proposal with its decision

    def _on_nack(self, m: Nack, now: int) -> None:
        proposal = self.proposals.get(m.key)
        if proposal is None or m.ballot != proposal.ballot:
            return
        if not proposal.again_at:
            self.counters["nacked"] += 1
            # A random pause, longer with each round: two who outbid each other would go on for ever.
            proposal.again_at = now + int(self.retry_us * (0.5 + self._random.random() * (1 + proposal.ballot[0])))
        proposal.top = max(proposal.top, m.promised[0])

    def _higher(self, at: str, proposal: Proposal, now: int) -> None:
        register = self.registers.get(at)
        top = max(proposal.ballot[0], proposal.top, 0 if register is None else register.promised[0])
        proposal.ballot, proposal.phase, proposal.again_at = (top + 1, self.name, self.life), 1, 0
        proposal.promises.clear()
        proposal.accepts.clear()
        self._say(at, proposal, Prepare(at, proposal.ballot), now)

    # the rest

    def regroup(self, now: int) -> None:
        """The list of peers has changed: registers get their new groups, what is under way begins anew in them."""
        self.spread.clear()
        for key, register in self.registers.items():
            register.group, register.sum = self.placement.group(key), 0
            self._add(key, register)
        proposals, self.proposals = self.proposals, {}
        for key, proposal in proposals.items():
            register = self._register(key, proposal.mine.until)
            register.promised = max(register.promised, proposal.ballot)  # the next round is above it
            self.claim(key, proposal.mine, now)
        publications, self.publications = self.publications, {}
        for key in publications:
            if (held := self.registers.get(key)) is not None:
                self._confirm(key, held, now)

    def _send(self, to: str, message: Message, now: int) -> None:
        if to == self.name:
            self.receive(self.name, self.life, message, now)
        else:
            self.out.append(Send(to, message))

    def entry(self, at: str, register: Register) -> Entry:
        return Entry(at, register.until, register.promised, register.accepted, register.value, register.chosen,
                     register.ended, register.safe)

    def merge(self, entry: Entry, now: int) -> None:
        """What another copy knew of a key, taken in while this one catches up: the higher promise and the higher
        accepted ballot stand (claims.py's source for why that is safe), and what is decided is learned."""
        if entry.until + self.keep_us < now:
            return
        register = self._register(entry.key, entry.until)
        register.until = max(register.until, entry.until)
        register.promised = max(register.promised, entry.promised)
        if entry.value is not None and entry.accepted > register.accepted:
            register.accepted, register.value = entry.accepted, entry.value
        if entry.chosen is not None:
            self.learn(entry.key, entry.chosen, entry.ended, now, entry.safe)

    def _purge(self, now: int) -> None:
        edge = now // 1_000_000
        for second in [s for s in self._purge_at if s <= edge]:
            for at in self._purge_at.pop(second):
                register = self.registers.get(at)
                if register is None:
                    continue
                if not self._over(at, register, now):
                    later = max(edge + 1, (register.until + self.keep_us) // 1_000_000 + 1)
                    self._purge_at.setdefault(later, []).append(at)
                    continue
                self._drop(at, register)
