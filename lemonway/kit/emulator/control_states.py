"""Exhaustive exploration of the states of a voter's publisher, a relay and a node, while leases are granted through
them and versions are decided, with delayed messages, lost links and delayed timers.

The publisher, relay and node are the classes of ``lemonway/control``. The voters' agreement is replaced by its
guarantees: the lease is renewed while no later version is being decided, and the voter that grants it may learn of a
later version at any moment after the decision. Time advances in units. Each link is an ordered stream in each direction
whose next message may be delivered at any moment or never, so stalls and hangs are among the explored paths.
``explore`` visits each state once and returns the path to a state in which a lease on an old version can outlast the
lease time after the later version was decided.

The result of a call depends only on the role's own state and the time, so each combination is computed once and cached:
a system state holds the numbers of three cached role states and the messages in flight."""

from __future__ import annotations

import argparse
import copy
import logging
import time
from collections import Counter, deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from ...control.agent import Agent
from ...control.messages import ClosePublisherLink, CloseSubscriberLink, Dial, SendToPublisher, SendToSubscriber
from ...control.publisher import Publisher
from ...control.relay import Relay
from ...control.replica import Replica
from ...control.resources import Put, Table
from ...control.terms import AgentTerms, PublishTerms, WatchTerms
from ...control.versions import Proposed, Version, version_of

NEVER = 1 << 40  # units of time; disables a timeout: link losses are explored as the move ``cut`` instead
WATCH_TERMS = WatchTerms(
    heartbeat_us=1,
    publisher_silence_timeout_us=NEVER,
    acknowledge_delay_us=NEVER,
    connect_timeout_us=NEVER,
    initial_backoff_us=0,
    reconnect_jitter_us=0,
    leaseless_timeout_us=NEVER,
    stuck_timeout_us=NEVER,
    max_lease_us=NEVER,
)
PUBLISH_TERMS = PublishTerms(subscriber_silence_timeout_us=NEVER)
START_TIME = 100  # so that times long before the start are not far below zero

Move = tuple[str, ...]


@dataclass(frozen=True)
class Budget:
    """Limits of a path."""

    units: int = 4  # of time
    lease: int = 2  # units of time
    versions: int = 1  # decided versions
    cuts: int = 1  # lost links
    waiting: int = 2  # messages queued in a stream; a timer that would add another one is delayed


class VoterStub:
    """A voter as its relays see it: its publisher, without agreement between voters."""

    def __init__(self) -> None:
        self.replica = Replica(NEVER)
        self.publisher = Publisher(self.replica, PUBLISH_TERMS, self, Counter(), START_TIME)
        self.lease_until = START_TIME  # end of its lease

    def ready(self) -> bool:
        """Always true: there is a state to publish."""
        return True

    def lease_remaining_us(self, now: int) -> int:
        """Remaining time of its lease; 0 if it has expired."""
        return max(0, self.lease_until - now)

    def hears_majority(self, now: int) -> bool:
        """Always true: a majority of the voters is reachable."""
        return True

    def subscriber_connected(self, link: int, now: int) -> Sequence[Any]:
        """Handles a new connection from a relay."""
        return self.publisher.subscriber_connected(link, now)

    def subscriber_disconnected(self, link: int, now: int) -> Sequence[Any]:
        """Handles the loss of the relay's connection."""
        return self.publisher.subscriber_disconnected(link, now)

    def receive(self, link: int, message: Any, now: int) -> Sequence[Any]:
        """Handles a message from the relay."""
        return self.publisher.receive(link, message, now)

    def renew(self, lease_until: int) -> Sequence[Any]:
        """Extends the lease."""
        self.lease_until = lease_until
        return []

    def learn(self) -> Sequence[Any]:
        """Applies and publishes the next decided version."""
        version = VERSIONS[self.replica.number]
        self.replica.apply(version)
        return self.publisher.publish(version)


Role = VoterStub | Relay | Agent


def _fingerprint(role: Role) -> object:
    """The fields that distinguish two states of a role."""
    if isinstance(role, VoterStub):
        return "voter", role.replica.number, role.lease_until, _subscriptions(role.publisher)
    watch = role.watch
    watch_state = (
        role.name,
        role.number,
        role.lease.expires_at_us,
        watch.state,
        watch.due,
        watch._last_heartbeat_at_us,
        watch._connected_at_us,
        watch._accepted_grants > 0,
    )
    return (*watch_state, _subscriptions(role.publisher)) if isinstance(role, Relay) else watch_state


def _subscriptions(publisher: Publisher) -> object:
    return tuple((each.link, each.state, each.sent_number, each.acknowledged_number) for each in publisher.roster)


class RoleCache:
    """Numbered states of roles, and the cached results of calls on them."""

    def __init__(self) -> None:
        self.roles: list[Role] = []
        self._numbers: dict[object, int] = {}
        self._results: dict[object, tuple[int, tuple[Any, ...]]] = {}

    def add(self, role: Role) -> int:
        """Returns the number of the role's state, which is new or known."""
        number = self._numbers.setdefault(_fingerprint(role), len(self.roles))
        if number == len(self.roles):
            self.roles.append(role)
        return number

    def call(self, number: int, method: str, *args: Any) -> tuple[int, tuple[Any, ...]]:
        """Calls a method on a copy of a state. Returns the number of the state after the call, and the outputs."""
        key = number, method, args
        result = self._results.get(key)
        if result is None:
            role = copy.deepcopy(self.roles[number])
            outputs = tuple(getattr(role, method)(*args))
            result = self._results[key] = self.add(role), outputs
        return result


class Stream(NamedTuple):
    """One link and its messages in flight, upstream and downstream. ``number`` is 0 if there is no link."""

    number: int = 0
    up: tuple[Any, ...] = ()
    down: tuple[Any, ...] = ()


NO_LINK = Stream()


class SystemState(NamedTuple):
    """State of the whole system. ``voter``, ``relay`` and ``node`` are numbers in the ``RoleCache``."""

    now: int
    link_count: int  # links created so far
    cut_count: int
    lease_until: int  # end of the voter's lease
    known_versions: int  # decided versions that the voter knows
    decided_at: tuple[int, ...]
    voter: int
    relay: int
    node: int
    upper: Stream  # relay to voter
    lower: Stream  # node to relay


class Explorer:
    """Enumerates and applies moves."""

    def __init__(self, budget: Budget, role_cache: RoleCache) -> None:
        self.budget, self.role_cache = budget, role_cache

    def initial_state(self) -> SystemState:
        """No version decided; voter, relay and node connected, each with a lease."""
        relay = Relay("r", 1, ["v"], WATCH_TERMS, PUBLISH_TERMS, START_TIME, _no_jitter, Counter())
        node = Agent("n", 1, ["r"], AgentTerms(watch=WATCH_TERMS), START_TIME, _no_jitter, _accept_version, Counter())
        add = self.role_cache.add
        system = SystemState(
            START_TIME, 0, 0, START_TIME, 0, (), add(VoterStub()), add(relay), add(node), NO_LINK, NO_LINK
        )
        system = self.apply_move(self.call_relay(system, "start", START_TIME), ("renew",))
        return self.deliver_all(self.call_node(self.deliver_all(system), "start", START_TIME))

    def deliver_all(self, system: SystemState) -> SystemState:
        """Delivers messages until none is in flight."""
        while True:
            for name, stream in (("upper", system.upper), ("lower", system.lower)):
                if stream.up or stream.down:
                    system = self.apply_move(system, ("up" if stream.up else "down", name))
                    break
            else:
                return system

    # calls and their outputs

    def call_voter(self, system: SystemState, method: str, *args: Any) -> SystemState:
        """Calls a method of the voter and applies its outputs."""
        number, outputs = self.role_cache.call(system.voter, method, *args)
        down = tuple(
            each.message for each in outputs if isinstance(each, SendToSubscriber) and each.link == system.upper.number
        )
        return system._replace(voter=number, upper=system.upper._replace(down=system.upper.down + down))

    def call_relay(self, system: SystemState, method: str, *args: Any) -> SystemState:
        """Calls a method of the relay and applies its outputs."""
        number, outputs = self.role_cache.call(system.relay, method, *args)
        system = system._replace(relay=number)
        for output in outputs:
            upper, lower = system.upper, system.lower
            if isinstance(output, SendToPublisher):
                system = system._replace(upper=upper._replace(up=(*upper.up, output.message)))
            elif isinstance(output, Dial):
                system = system._replace(link_count=system.link_count + 1, upper=Stream(system.link_count + 1))
                system = self.call_voter(system, "subscriber_connected", system.link_count, system.now)
                system = self.call_relay(system, "connected", system.now)
            elif isinstance(output, ClosePublisherLink):
                system = self.call_voter(
                    system._replace(upper=NO_LINK), "subscriber_disconnected", upper.number, system.now
                )
            elif isinstance(output, SendToSubscriber) and output.link == lower.number:
                system = system._replace(lower=lower._replace(down=(*lower.down, output.message)))
            elif isinstance(output, CloseSubscriberLink) and output.link == lower.number:
                system = self.call_node(system._replace(lower=NO_LINK), "disconnected", system.now)
        return system

    def call_node(self, system: SystemState, method: str, *args: Any) -> SystemState:
        """Calls a method of the node and applies its outputs."""
        number, outputs = self.role_cache.call(system.node, method, *args)
        system = system._replace(node=number)
        for output in outputs:
            lower = system.lower
            if isinstance(output, SendToPublisher):
                system = system._replace(lower=lower._replace(up=(*lower.up, output.message)))
            elif isinstance(output, Dial):
                system = system._replace(link_count=system.link_count + 1, lower=Stream(system.link_count + 1))
                system = self.call_relay(system, "subscriber_connected", system.link_count, system.now)
                system = self.call_node(system, "connected", system.now)
            elif isinstance(output, ClosePublisherLink):
                system = self.call_relay(
                    system._replace(lower=NO_LINK), "subscriber_disconnected", lower.number, system.now
                )
        return system

    # moves

    def moves(self, system: SystemState) -> Iterator[Move]:
        """Moves that are possible in this state."""
        budget, now = self.budget, system.now
        relay, node = self.role_cache.roles[system.relay], self.role_cache.roles[system.node]
        assert isinstance(relay, Relay) and isinstance(node, Agent)
        if now < START_TIME + budget.units:
            yield ("time",)
        if len(system.decided_at) > system.known_versions:
            yield ("learn",)
        else:
            if system.lease_until < now + budget.lease:
                yield ("renew",)
            if len(system.decided_at) < budget.versions:
                yield ("decide",)
        if now >= relay.watch.due and len(system.upper.up) < budget.waiting:
            yield ("tick", "relay")
        if now >= node.due and len(system.lower.up) < budget.waiting:
            yield ("tick", "node")
        for name, stream in (("upper", system.upper), ("lower", system.lower)):
            if stream.up:
                yield ("up", name)
            if stream.down:
                yield ("down", name)
            if stream.number and system.cut_count < budget.cuts:
                yield ("cut", name)

    def apply_move(self, system: SystemState, move: Move) -> SystemState:
        """Returns the state after the move."""
        kind, now = move[0], system.now
        if kind == "time":
            return system._replace(now=now + 1)
        if kind == "renew":
            until = now + self.budget.lease
            return self.call_voter(system._replace(lease_until=until), "renew", until)
        if kind == "decide":
            return system._replace(decided_at=(*system.decided_at, now))
        if kind == "learn":
            return self.call_voter(system._replace(known_versions=system.known_versions + 1), "learn")
        if kind == "tick":
            return (self.call_relay if move[1] == "relay" else self.call_node)(system, "tick", now)
        return (self._relay_link_move if move[1] == "upper" else self._node_link_move)(system, kind)

    def _relay_link_move(self, system: SystemState, kind: str) -> SystemState:
        """Delivers a message on the link between relay and voter, or cuts that link."""
        stream, now = system.upper, system.now
        if kind == "up":
            system = system._replace(upper=stream._replace(up=stream.up[1:]))
            return self.call_voter(system, "receive", stream.number, stream.up[0], now)
        if kind == "down":
            system = system._replace(upper=stream._replace(down=stream.down[1:]))
            return self.call_relay(system, "receive_upstream", stream.down[0], now)
        system = self.call_voter(
            system._replace(upper=NO_LINK, cut_count=system.cut_count + 1),
            "subscriber_disconnected",
            stream.number,
            now,
        )
        return self.call_relay(system, "disconnected", now)

    def _node_link_move(self, system: SystemState, kind: str) -> SystemState:
        """Delivers a message on the link between node and relay, or cuts that link."""
        stream, now = system.lower, system.now
        if kind == "up":
            system = system._replace(lower=stream._replace(up=stream.up[1:]))
            return self.call_relay(system, "receive", stream.number, stream.up[0], now)
        if kind == "down":
            system = system._replace(lower=stream._replace(down=stream.down[1:]))
            return self.call_node(system, "receive", stream.down[0], now)
        system = self.call_relay(
            system._replace(lower=NO_LINK, cut_count=system.cut_count + 1),
            "subscriber_disconnected",
            stream.number,
            now,
        )
        return self.call_node(system, "disconnected", now)

    def violation(self, system: SystemState) -> str:
        """Describes a lease on an old version that outlasts the lease time after a later one was decided, or a version
        that was not decided. Empty if there is neither."""
        for name, number in (("the relay", system.relay), ("the node", system.node)):
            role = self.role_cache.roles[number]
            assert isinstance(role, Relay | Agent)
            if role.number > len(system.decided_at):
                return f"{name} has version {role.number}, which was not decided"
            if role.number < len(system.decided_at):
                latest = system.decided_at[role.number] + self.budget.lease
                if role.lease.expires_at_us > latest:
                    return (
                        f"{name} holds version {role.number} until {role.lease.expires_at_us}, {latest} is the latest"
                    )
        return ""


def _no_jitter() -> float:
    return 0.0


def _accept_version(version: Version | None, table: Table) -> str:
    return ""


def _make_versions(count: int) -> list[Version]:
    versions: list[Version] = []
    number, digest = 0, bytes(16)
    for each in range(1, count + 1):
        versions.append(version_of(Proposed(number, digest, (Put("class", "a", b"%d" % each),)), each, "v", 0))
        number, digest = each, versions[-1].digest
    return versions


VERSIONS = _make_versions(8)


@dataclass(frozen=True)
class Exploration:
    """Number of visited states, and a violation with the path to it if one was found."""

    state_count: int
    violation: str = ""
    path: tuple[Move, ...] = ()


def explore(budget: Budget, max_states: int = 1 << 62) -> Exploration:
    """Visits all states within the budget, or the first ``max_states``, breadth first, so a path is shortest."""
    explorer = Explorer(budget, RoleCache())
    initial = explorer.initial_state()
    predecessors: dict[SystemState, tuple[SystemState, Move] | None] = {initial: None}
    frontier = deque([initial])
    while frontier and len(predecessors) < max_states:
        system = frontier.popleft()
        for move in explorer.moves(system):
            next_state = explorer.apply_move(system, move)
            if next_state in predecessors:
                continue
            predecessors[next_state] = system, move
            if violation := explorer.violation(next_state):
                return Exploration(len(predecessors), violation, path_to(next_state, predecessors))
            frontier.append(next_state)
    return Exploration(len(predecessors))


def path_to(system: SystemState, predecessors: dict[SystemState, tuple[SystemState, Move] | None]) -> tuple[Move, ...]:
    """The moves that lead from the initial state to this one."""
    path: list[Move] = []
    while (step := predecessors[system]) is not None:
        system, move = step
        path.append(move)
    return tuple(reversed(path))


def main(argv: list[str] | None = None) -> int:
    """Explores all states of a budget and prints the result. Returns 1 if a violation was found."""
    parser = argparse.ArgumentParser(
        prog="python -m lemonway.kit.emulator.control_states", description="All states of a lease through a relay."
    )
    for name, default in Budget().__dict__.items():
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--most", type=int, default=1 << 62, help="states to visit")
    args = parser.parse_args(argv)
    logging.getLogger("lemonway").setLevel(logging.CRITICAL)
    started_at = time.monotonic()
    found = explore(Budget(args.units, args.lease, args.versions, args.cuts, args.waiting), args.most)
    print(f"{found.state_count} states, {found.violation or 'none broken'}; {time.monotonic() - started_at:.0f} s")
    for move in found.path:
        print(f"  {' '.join(move)}")
    return 1 if found.violation else 0


if __name__ == "__main__":
    raise SystemExit(main())
