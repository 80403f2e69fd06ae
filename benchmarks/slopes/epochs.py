"""The epochs of ``--policy`` by number of nodes: signs of life, the look that each node takes, the lease, and what one
change weighs at the node that proposes it. The shipped core runs; the other nodes are played by their registers."""

from __future__ import annotations

import time
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

from lemonway.epochs.member import HEARTBEATS_PER_SECOND, EpochMember, EpochOptions
from lemonway.epochs.messages import (
    Accept,
    Accepted,
    CheckReply,
    CheckSettings,
    Heartbeat,
    Message,
    Nack,
    Prepare,
    Promise,
    Rejoin,
    Send,
)
from lemonway.epochs.register import Register
from lemonway.net.program.replication import membership_lists
from lemonway.net.protocol.framing import LENGTH_PREFIX_BYTES
from lemonway.net.protocol.peers import decode
from lemonway.net.routing.governed import TICK_INTERVAL_US
from lemonway.replication.messages import encode
from lemonway.replication.placement import Membership

from .meters import processor_us, retained_bytes
from .model import (
    ADDED_MS,
    CONTROL_CORE_PERCENT,
    CONTROL_KB_A_SECOND,
    CONTROL_MEMORY_MB,
    IN_FORCE_SECONDS,
    NODES,
    Budget,
    Probe,
    Series,
    series,
)

SIZES, QUICK_SIZES = (200, 500, 1_000, 2_000, 5_000), (20, 40, 80, 160)
SMALL_SIZES = (2, 4, 6, 8, 10)  # up to here each further node adds its signs of life; past it they are rationed
LIFE = 1_764_576_000_000_000  # a node's life is its start in Unix microseconds: 9 bytes on the wire
SECOND = 1_000_000
SEGMENT_HEADERS = 52  # bytes of IPv4 and of TCP with timestamps that each message to a peer of its own takes
RECEIVED = 2_000  # signs of life that are timed
SMALL_CHANGE = b'{"lanes":[]}'


def node_names(size: int) -> list[str]:
    """Names of 15 characters; a longer name makes each vote larger by as much for each node."""
    return [f"image-node-{number:04d}" for number in range(size)]


@dataclass
class Fleet:
    """One node of the shipped core that has just heard from all others."""

    size: int
    now: int = 1_000 * SECOND
    names: list[str] = field(init=False)
    member: EpochMember = field(init=False)
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        self.names = node_names(self.size)
        placement = Membership(self.names, 3)
        self.member = EpochMember(
            self.names[0],
            LIFE,
            lambda: membership_lists(placement),
            EpochOptions(first_start=True),
            self.now,
            lambda settings: "",
            Counter(),
        )
        # Signs of life come spread over the pulse, so the stamps that they give back lie in no order.
        self.random = Random(self.size)
        for number in range(1, self.size):
            self.hear(number)
        self.member.tick(self.now)

    def hear(self, number: int) -> list[object]:
        """A sign of life of another node that gives back a stamp of this node."""
        return list(self.member.receive(self.names[number], LIFE + number, self.pulse(), self.now))

    def pulse(self) -> Heartbeat:
        """A sign of life of a peer that is whole and serves."""
        echo = self.now - self.random.randrange(self.member.heartbeat_us)
        return Heartbeat(self.now, LIFE, echo, self.member.epoch, False, True, True)

    def look(self) -> None:
        """One call of the driver between two rounds of signs of life."""
        self.member._heartbeat_at_us = self.now + SECOND  # no round is due
        self.member.tick(self.now)

    def heartbeat_round(self) -> list[bytes]:
        """The look in which a round of signs of life is due, with what it writes."""
        self.member._heartbeat_at_us = self.now
        return [encode(out.message) for out in self.member.tick(self.now) if isinstance(out, Send)]

    @property
    def messages_a_second(self) -> float:
        """Signs of life that this node sends; it hears as many."""
        return len(self.heartbeat_round()) * SECOND / self.member.heartbeat_us


@dataclass
class ChangeCost:
    """What one change costs the node that proposes it."""

    messages_in: int = 0
    bytes_in: int = 0
    messages_out: int = 0
    bytes_out: int = 0
    vote_bytes: int = 0  # of ``bytes_in``: promises and acceptances
    largest_message: int = 0
    receive_us: float = 0.0


def voter_answer(message: Message, register: Register, lives: dict[str, int]) -> Message | None:
    """What a node that is whole and takes any change answers."""
    if isinstance(message, CheckSettings):
        return CheckReply(message.change_id, "")
    if isinstance(message, Prepare):
        return register.prepare(message.ballot, lives)
    if isinstance(message, Accept):
        return register.accept(message.ballot, message.value, lives)
    return None


def play_change(size: int, settings: bytes = SMALL_CHANGE) -> ChangeCost:
    """One change from its proposal until every node has answered, with each message as it goes over the wire."""
    fleet, cost = Fleet(size), ChangeCost()
    lives = {name: LIFE + number for number, name in enumerate(fleet.names)}
    registers = {name: Register(1) for name in fleet.names}
    encoded: dict[str, bytes] = {}  # answers of one kind are the same from every node
    _, out = fleet.member.propose(settings, 0, fleet.now)
    waiting = deque(out)
    while waiting:
        item = waiting.popleft()
        if not isinstance(item, Send):
            continue
        cost.messages_out += 1
        cost.bytes_out += len(encode(item.message)) + LENGTH_PREFIX_BYTES
        answer = voter_answer(item.message, registers[item.to], lives)
        if answer is None:
            continue
        kind = type(answer).__name__
        data = encoded.setdefault(kind, encode(answer))
        cost.messages_in += 1
        cost.bytes_in += len(data) + LENGTH_PREFIX_BYTES
        cost.vote_bytes += len(data) + LENGTH_PREFIX_BYTES if isinstance(answer, Promise | Accepted | Nack) else 0
        cost.largest_message = max(cost.largest_message, len(data))
        begun = time.process_time_ns()
        waiting.extend(fleet.member.receive(item.to, lives[item.to], decode(data), fleet.now))
        cost.receive_us += (time.process_time_ns() - begun) / 1000
    if fleet.member.epoch != 1:
        raise RuntimeError(f"{size} nodes: the change was not decided")
    return cost


def rejoin_bytes(fleet: Fleet) -> int:
    """What all others answer to a node that has started anew and asks what it may have voted for, once each. It asks
    again every ``retry_us`` those that have not answered."""
    said = fleet.member.receive(fleet.names[1], LIFE + 2, Rejoin(fleet.now), fleet.now)
    state = next(out.message for out in said if isinstance(out, Send))
    return (len(encode(state)) + LENGTH_PREFIX_BYTES) * (fleet.size - 1)


def framed_kb_a_second(fleet: Fleet) -> float:
    """Signs of life sent and heard, each in a segment of its own; acknowledgements are not counted."""
    return 2 * fleet.messages_a_second * (len(encode(fleet.pulse())) + LENGTH_PREFIX_BYTES + SEGMENT_HEADERS) / 1000


def run(quick: bool) -> list[Series]:
    """All series of this subject."""
    sizes = QUICK_SIZES if quick else SIZES
    look: dict[int, float] = {}
    share: dict[int, float] = {}
    burst: dict[int, float] = {}
    messages: dict[int, float] = {}
    kilobytes: dict[int, float] = {}
    framed: dict[int, float] = {}
    lease: dict[int, float] = {}
    memory: dict[int, float] = {}
    votes: dict[int, float] = {}
    voting: dict[int, float] = {}
    sent: dict[int, float] = {}
    rejoin: dict[int, float] = {}
    for size in sizes:
        fleet, taken = retained_bytes(lambda size=size: Fleet(size))  # type: ignore[misc]
        look[size] = processor_us(fleet.look, times=20)
        burst[size] = processor_us(fleet.heartbeat_round, times=3) / 1000
        heard = processor_us(lambda fleet=fleet: fleet.hear(1), times=RECEIVED)  # type: ignore[misc]
        messages[size] = 2 * fleet.messages_a_second
        payload = len(encode(fleet.pulse())) + LENGTH_PREFIX_BYTES
        kilobytes[size] = messages[size] * payload / 1000
        framed[size] = framed_kb_a_second(fleet)
        lease[size] = fleet.member.lease_us / SECOND
        memory[size] = taken / 1e6
        rounds = SECOND / fleet.member.heartbeat_us
        busy = look[size] * SECOND / TICK_INTERVAL_US + heard * HEARTBEATS_PER_SECOND + burst[size] * 1000 * rounds
        share[size] = busy / SECOND * 100
        rejoin[size] = rejoin_bytes(fleet) / 1e6
        change = play_change(size)
        votes[size] = change.vote_bytes / 1e6
        sent[size] = change.bytes_out / 1e6
        voting[size] = change.receive_us / 1e6
    unit = "nodes"
    return [
        series("signs of life of the epochs, sent and heard", "messages/s", unit, messages, NODES, exact=True),
        series(
            "signs of life of the epochs, payload",
            "KB/s",
            unit,
            kilobytes,
            NODES,
            Budget(CONTROL_KB_A_SECOND, "control traffic of a node"),
            exact=True,
        ),
        series(
            "the same with IP and TCP headers",
            "KB/s",
            unit,
            framed,
            NODES,
            Budget(CONTROL_KB_A_SECOND, "control traffic of a node"),
            exact=True,
        ),
        series(
            "the same in a small fleet",
            "KB/s",
            unit,
            {size: framed_kb_a_second(Fleet(size)) for size in SMALL_SIZES},
            NODES,
            Budget(CONTROL_KB_A_SECOND, "control traffic of a node"),
            exact=True,
        ),
        series("a look (Epochs.tick)", "us", unit, look, NODES),
        series(
            "processor time of looks and signs of life",
            "% of a core",
            unit,
            share,
            NODES,
            Budget(CONTROL_CORE_PERCENT, "control of a node"),
        ),
        series("loop held by one round of signs of life", "ms", unit, burst, NODES, Budget(ADDED_MS, "added time")),
        series("lease", "s", unit, lease, NODES, Budget(IN_FORCE_SECONDS, "in force everywhere"), exact=True),
        series("memory of the peers' table", "MB", unit, memory, NODES, Budget(CONTROL_MEMORY_MB, "control of a node")),
        series("votes of one change at its proposer", "MB", unit, votes, NODES, exact=True),
        series("sent by the proposer of one small change", "MB", unit, sent, NODES, exact=True),
        series("answers to a node that starts anew", "MB", unit, rejoin, NODES, exact=True),
        series(
            "processor time of the votes at the proposer",
            "s",
            unit,
            voting,
            NODES,
            Budget(IN_FORCE_SECONDS, "in force everywhere"),
        ),
    ]


PROBE = Probe("epochs", "epochs of --policy by number of nodes", run)
