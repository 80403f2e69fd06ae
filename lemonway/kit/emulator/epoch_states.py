"""Model checker for the decision of one epoch by three nodes: enumerates every reachable state, with restarts that
lose memory, a second node that takes over, retried ballots, and messages that are lost, delayed, duplicated and
reordered.

The nodes run the code of ``lemonway/epochs/``. A message that was sent can be delivered at any later time, any number
of times, or never; this covers partitions and pauses, so they need no moves of their own. ``explore`` visits each state
once and returns the moves to a state in which two decisions of the same epoch number are known.

How a node handles a message depends only on the node's state, so the result of each pair of node state and message is
cached. A global state is the indices of three cached node states, and a bit mask of the messages sent so far."""

from __future__ import annotations

import argparse
import copy
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import msgspec

from ...epochs.member import EpochMember, EpochOptions
from ...epochs.messages import Change, Message, Output, Rejoin, Send

NAMES = ("a", "b", "c")
NEVER_US = 1 << 60  # the nodes' timers never expire; explicit moves replace them
TERMS = EpochOptions(
    retry_us=NEVER_US,
    check_us=NEVER_US,
    resolve_us=NEVER_US,
    lease_us=NEVER_US,
    first_start=True,
    recover_together=False,
)

NodeFactory = Callable[[str, int, bool], EpochMember]
GlobalState = tuple[int, int, int, int, int, int, int, int]  # a, b, c, messages, restarts, takeovers, again, decided

_encode = msgspec.msgpack.Encoder(order="deterministic").encode
_decode: Callable[[bytes], Message] = msgspec.msgpack.Decoder(Message).decode


@dataclass(frozen=True)
class Budget:
    """The most times that each move is made on one path."""

    restarts: int = 1
    takeovers: int = 1  # a node other than the proposer starts an abort, as if the proposer were gone
    again: int = 0  # a node whose ballot was superseded by a higher one starts a new ballot


@dataclass(frozen=True)
class SentMessage:
    sender: str
    incarnation: int
    recipient: int  # index in NAMES
    data: bytes

    def __str__(self) -> str:
        return f"{self.sender}/{self.incarnation} to {NAMES[self.recipient]}: {_decode(self.data)}"


def make_node(name: str, life: int, fresh: bool) -> EpochMember:
    return EpochMember(
        name, life, lambda: (NAMES,), replace(TERMS, first_start=fresh), 0, lambda settings: "", Counter()
    )


def _fingerprint(node: EpochMember) -> object:
    current_round, register = node.round, node.register
    states = tuple((k, _encode(v)) for k, v in sorted(node.rejoin_replies.items()))
    return (
        node.name,
        node.incarnation,
        node.memory_intact,
        node.epoch,
        _known(node),
        node.highest_round,
        tuple(sorted(node.incarnations.items())),
        register.number,
        register.promised,
        register.accepted,
        register.value,
        None
        if current_round is None
        else (
            current_round.ballot,
            current_round.value,
            bool(current_round.retry_at_us),
            tuple(sorted(current_round.newest_incarnations.items())),
            tuple(sorted((k, v[0], v[1]) for k, v in current_round.answers.items())),
        ),
        states,
    )


def _known(node: EpochMember) -> str:
    return f"{node.history[1].change_id} {node.history[1].commit}" if node.epoch else ""


def _clone(node: EpochMember) -> EpochMember:
    copied = copy.copy(node)
    copied.peers = {name: copy.copy(peer) for name, peer in node.peers.items()}
    copied.incarnations, copied.rejoin_replies, copied.history = (
        dict(node.incarnations),
        dict(node.rejoin_replies),
        node.history.copy(),
    )
    copied.register = node.register.clone()
    copied.round = None if node.round is None else node.round.clone()
    copied.outcomes, copied.live_peers, copied._outputs = node.outcomes.copy(), set(node.live_peers), []
    return copied


class Explorer:
    """Caches node states, messages and transitions, and generates the moves from a global state."""

    def __init__(self, budget: Budget, make: NodeFactory = make_node) -> None:
        self.make = make
        self.nodes: list[EpochMember] = []  # by index
        self._numbers: dict[object, int] = {}
        self.messages: list[SentMessage] = []  # by bit number
        self._bits: dict[SentMessage, int] = {}
        # (node index, move): node index after the move, and the mask of the messages sent
        self._transitions: dict[tuple[int, int], tuple[int, int]] = {}
        self.decisions: dict[str, int] = {"": 0}  # decision of the epoch number, as text: index
        self.known: list[int] = []  # by node index: index of the decision that it knows; 0: none
        self.received: list[int] = [0, 0, 0]  # by place in NAMES: mask of the messages to it
        a = make("a", 1, True)
        a._decide(Change(1, "change", True, b"{}", "", "a", 0), 0)
        first, sent = self._number(a), self._sent(a, a._take_outputs())
        self.first: GlobalState = (
            first,
            self._number(make("b", 1, True)),
            self._number(make("c", 1, True)),
            sent,
            budget.restarts,
            budget.takeovers,
            budget.again,
            0,
        )

    def _number(self, node: EpochMember) -> int:
        key = _fingerprint(node)
        number = self._numbers.get(key)
        if number is None:
            number = self._numbers[key] = len(self.nodes)
            self.nodes.append(node)
            self.known.append(self.decisions.setdefault(_known(node), len(self.decisions)))
        return number

    def _sent(self, node: EpochMember, out: list[Output]) -> int:
        mask = 0
        for item in out:
            if isinstance(item, Send):
                sent_message = SentMessage(node.name, node.incarnation, NAMES.index(item.to), _encode(item.message))
                bit = self._bits.get(sent_message)
                if bit is None:
                    bit = self._bits[sent_message] = len(self.messages)
                    self.messages.append(sent_message)
                    self.received[sent_message.recipient] |= 1 << bit
                mask |= 1 << bit
        return mask

    def _apply(self, number: int, move: int) -> tuple[int, int]:
        """Apply a message (its bit number) or a move of the node (negative) to a cached node.

        Returns the index of the node's next state and the mask of the messages that it sends."""
        result = self._transitions.get((number, move))
        if result is None:
            old = self.nodes[number]
            if move == RESTART:
                node = self.make(old.name, old.incarnation + 1, False)
                out = [item for item in node.tick(0) if isinstance(item, Send) and isinstance(item.message, Rejoin)]
                sent = self._sent(node, list(out))
            else:
                node = _clone(old)
                if move == TAKEOVER:
                    node._abort_undecided("gone", 0, 0)
                    out_all = node._take_outputs()
                elif move == AGAIN:
                    assert node.round is not None
                    node._start_ballot(node.round.proposed_value, 0)
                    out_all = node._take_outputs()
                else:
                    sent_message = self.messages[move]
                    out_all = node.receive(sent_message.sender, sent_message.incarnation, _decode(sent_message.data), 0)
                sent = self._sent(node, out_all)
            result = self._transitions[number, move] = self._number(node), sent
        return result

    def moves(self, state: GlobalState) -> Iterator[tuple[int, int, GlobalState]]:
        """(place, move, the state after it); ``decided`` is negative in a state with conflicting decisions."""
        messages, restarts, takeovers, again, decided = state[3:]
        for place in range(3):
            number = state[place]
            if not self.known[number]:  # a node that knows the decision sends nothing new
                mask = messages & self.received[place]
                while mask:
                    lowest_bit = mask & -mask
                    mask ^= lowest_bit
                    yield from self._move(state, place, lowest_bit.bit_length() - 1, restarts, takeovers, again)
            node = self.nodes[number]
            if restarts:
                yield from self._move(state, place, RESTART, restarts - 1, takeovers, again)
            if takeovers and place and not self.known[number] and node.round is None:
                yield from self._move(state, place, TAKEOVER, restarts, takeovers - 1, again)
            if again and node.round is not None and node.round.retry_at_us:
                yield from self._move(state, place, AGAIN, restarts, takeovers, again - 1)

    def _move(
        self,
        state: GlobalState,
        place: int,
        move: int,
        restarts: int,
        takeovers: int,
        again: int,
    ) -> Iterator[tuple[int, int, GlobalState]]:
        number, sent = self._apply(state[place], move)
        if number == state[place] and not sent & ~state[3]:
            return
        nodes = list(state[:3])
        nodes[place] = number
        decision, decided = self.known[number], state[7]
        if decision and decided and decision != decided:
            decided = -1
        yield (
            place,
            move,
            (nodes[0], nodes[1], nodes[2], state[3] | sent, restarts, takeovers, again, decided or decision),
        )

    def describe(self, place: int, move: int) -> str:
        return f"{NAMES[place]} {MOVES[move]}" if move < 0 else str(self.messages[move])


RESTART, TAKEOVER, AGAIN = -1, -2, -3
MOVES = {RESTART: "restarts", TAKEOVER: "takes over", AGAIN: "tries again"}


def explore(budget: Budget, make: NodeFactory = make_node, most: int = 1 << 62) -> tuple[int, list[str]]:
    """Visit all states breadth-first, up to ``most``. Returns their number, and the moves to the first conflict."""
    all_ = Explorer(budget, make)
    seen = {hash(all_.first)}
    frontier = [all_.first]
    while frontier:
        next_frontier: list[GlobalState] = []
        for state in frontier:
            for place, move, result in all_.moves(state):
                if result[7] < 0:
                    return len(seen), [
                        f"after other moves, {all_.describe(place, move)}",
                        "two decisions of one number are known",
                    ]
                key = hash(result)
                if key not in seen:
                    seen.add(key)
                    next_frontier.append(result)
            if len(seen) >= most:
                return len(seen), []
        frontier = next_frontier
    return len(seen), []


def walk(
    seed: int, budget: Budget, make: NodeFactory = make_node, steps: int = 400, all_: Explorer | None = None
) -> list[str]:
    """Follow one random path, which goes deeper than ``explore`` can. Returns the moves if it ends in a conflict.
    ``all_``: an explorer with the same budget, to reuse its caches."""
    rng = random.Random(f"walk/{seed}")
    all_ = all_ or Explorer(budget, make)
    state, path = all_.first, list[str]()
    for _ in range(steps):
        choices = list(all_.moves(state))
        if not choices:
            break
        place, move, state = rng.choice(choices)
        path.append(all_.describe(place, move))
        if state[7] < 0:
            return [*path, "two decisions of one number are known"]
    return []


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m lemonway.kit.emulator.epoch_states", description=__doc__)
    parser.add_argument("--restarts", type=int, default=1)
    parser.add_argument("--takeovers", type=int, default=1)
    parser.add_argument("--again", type=int, default=0)
    parser.add_argument("--most", type=int, default=1 << 62, help="maximum number of states")
    parser.add_argument("--walks", type=int, default=0, help="number of random paths to follow as well")
    args = parser.parse_args(argv)
    budget = Budget(args.restarts, args.takeovers, args.again)
    count, violation = explore(budget, most=args.most)
    print(f"{count} states with {budget}: {'broken' if violation else 'one decision in each'}", flush=True)
    all_ = Explorer(budget)
    for seed in range(args.walks):
        if not violation:
            violation = walk(seed, budget, all_=all_)
    if args.walks:
        print(f"{args.walks} walks: {'broken' if violation else 'kept'}")
    for line in violation:
        print(f"  {line}")
    return 1 if violation else 0


if __name__ == "__main__":
    raise SystemExit(main())
