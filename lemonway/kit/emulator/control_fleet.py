"""Voters, relays and nodes in virtual time: a simulated driver for the roles in ``lemonway/control``. It executes the
outputs that their calls return, simulates their disks, clocks and links, and applies the faults of a schedule. Times
are microseconds."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from ...control.agent import Agent
from ...control.messages import (
    ClosePublisherLink,
    CloseSubscriberLink,
    Dial,
    FromPublisher,
    FromSubscriber,
    PersistTable,
    PersistVersion,
    PersistVote,
    SendToPublisher,
    SendToSubscriber,
    SendToVoter,
)
from ...control.proposals import QueueFull
from ...control.relay import Relay
from ...control.resources import Operation, Table
from ...control.store import StoredConfiguration, decode_store, encode_table, encode_version
from ...control.terms import AgentTerms, PublishTerms, VoterTerms, WatchTerms
from ...control.versions import Version
from ...control.voter import VoteError, Voter
from .control_history import History
from .control_links import Link, LinkState, MessageFaults
from .virtual import START_US, Loop

MS = 1000
SECOND = 1_000_000
DELAY_RANGE_US = (200, 3 * MS)  # delay of a message, a dial or a close notification
OBSERVE_INTERVAL_US = 25 * MS
RESTART_DELAY_US = 500 * MS  # delay before a process that exited by itself is restarted
INCOMPATIBLE_NODE = ("limit", "odd")  # resource whose value names a node that can't apply the table

Role = Voter | Relay | Agent


@dataclass
class Disk:
    """The disk of a machine. A crash keeps only a random prefix of ``unsynced``."""

    vote: bytes | None = None
    store: bytes = b""
    unsynced: bytes = b""
    writes_fail: bool = False  # writes of the vote fail


@dataclass
class Machine:
    """One machine: its clock, its disk, and the process that runs on it, if any."""

    name: str
    clock_offset_us: int
    clock_rate: float
    disk: Disk
    has_disk: bool  # whether the process uses the disk
    incarnation: int = 0
    role: Role | None = None
    links: dict[int, Link] = field(default_factory=dict)  # by number: open links to its subscribers
    upstream: Link | None = None
    deferred: list[Callable[[], None]] | None = None  # calls deferred during a stall; None: not stalled
    outputs_until_crash: int | None = None  # outputs left to execute before a planned crash; None: no crash planned
    tick_at: int = 0  # simulation time of the scheduled tick

    def clock(self, now: int) -> int:
        """The machine's monotonic clock at the simulation time ``now``."""
        return self.clock_offset_us + int((now - START_US) * self.clock_rate)

    def simulation_time(self, clock: int) -> int:
        """The simulation time at which the machine's clock reads ``clock``."""
        return START_US + math.ceil((clock - self.clock_offset_us) / self.clock_rate)


@dataclass(frozen=True)
class FleetConfig:
    """Size of a fleet, the terms of its roles, and the faults that last for the whole run."""

    voter_count: int
    relay_count: int
    node_count: int
    voter_terms: VoterTerms
    relay_watch_terms: WatchTerms
    publish_terms: PublishTerms
    agent_terms: tuple[AgentTerms, ...]  # assigned to the nodes in rotation
    nodes_store_versions: bool = True  # nodes store their versions on disk
    clock_drift: float = 200e-6  # largest relative deviation of a clock rate
    voter_message_loss: float = 0.05  # share of messages between voters lost; half as many are duplicated
    publisher_fault_rate: float = 0.0  # share of versions and snapshot pieces dropped, duplicated, corrupted or swapped
    forget_votes: bool = False  # restarted voters vote without their stored vote; a defect that the checks must detect


def incompatibility(name: str, table: Table) -> str:
    """Why the node ``name`` can't apply the table; empty if it can."""
    value = table.get(*INCOMPATIBLE_NODE)
    return "resource limit/odd names this node" if value is not None and value.decode() == f'"{name}"' else ""


def validate(operations: Sequence[Operation], table: Table) -> str:
    """Why no node could apply the operations; empty if nodes can."""
    return next((f"{each.name} is refused" for each in operations if each.name.startswith("refused")), "")


class Fleet:
    """The machines, the links between them and the history of their states."""

    def __init__(self, seed: int, config: FleetConfig) -> None:
        self.config, self.loop = config, Loop()
        self.rng = random.Random(f"control-network/{seed}")
        self.draw_jitter = random.Random(f"control-jitter/{seed}").random
        # The longest time on an old version: the lease, with an allowance for clock drift.
        self.history = History(int(config.voter_terms.lease_us * (1 + 4 * config.clock_drift)) + 2)
        self.message_faults = MessageFaults(self.rng, config.publisher_fault_rate)
        self.voter_message_loss = config.voter_message_loss
        self.partitions: list[tuple[int, frozenset[str]]] = []  # end of each partition and the machines on one side
        self.links: dict[int, Link] = {}
        self._last_link_number = 0
        self.voters = [f"v{i}" for i in range(config.voter_count)]
        self.relays = [f"r{i}" for i in range(config.relay_count)]
        self.nodes = [f"n{i}" for i in range(config.node_count)]
        self.machines = {name: self._make_machine(name) for name in [*self.voters, *self.relays, *self.nodes]}
        for name in self.machines:
            self.start(name, first_start=True)
        self.loop.after(OBSERVE_INTERVAL_US, self._observe_all)

    def _make_machine(self, name: str) -> Machine:
        rate = 1 + self.rng.uniform(-self.config.clock_drift, self.config.clock_drift)
        has_disk = name in self.voters or (name in self.nodes and self.config.nodes_store_versions)
        return Machine(name, self.rng.randrange(1 << 40), rate, Disk(), has_disk)

    @property
    def now(self) -> int:
        """The simulation time in microseconds."""
        return self.loop.now

    def draw_delay(self) -> int:
        """Draws the delay of one message."""
        return self.rng.randint(*DELAY_RANGE_US)

    # processes

    def start(self, name: str, first_start: bool = False) -> None:
        """Starts a process on the machine, if none is running."""
        machine = self.machines[name]
        if machine.role is not None:
            return
        machine.incarnation += 1
        machine.outputs_until_crash = None
        machine.role = self._make_role(machine, first_start)
        if not isinstance(machine.role, Voter):
            self.execute(machine, machine.role.start(machine.clock(self.now)))
        self._schedule_tick(machine)

    def _make_role(self, machine: Machine, first_start: bool) -> Role:
        config, name, now = self.config, machine.name, machine.clock(self.now)
        counters = self.history.counters
        stored = self._read_stored(machine)
        if name in self.voters:
            voter = Voter(
                name,
                machine.incarnation,
                self.voters,
                config.voter_terms,
                config.publish_terms,
                now,
                self.draw_jitter,
                validate,
                counters,
                None if config.forget_votes else machine.disk.vote,
                stored,
                first_start,
            )
            voter.epochs.memory_intact |= (
                config.forget_votes
            )  # the defect: its votes count although it has forgotten them
            return voter
        if name in self.relays:
            return Relay(
                name,
                machine.incarnation,
                self.voters,
                config.relay_watch_terms,
                config.publish_terms,
                now,
                self.draw_jitter,
                counters,
            )
        terms = config.agent_terms[self.nodes.index(name) % len(config.agent_terms)]

        def apply(version: Version | None, table: Table) -> str:
            return incompatibility(name, table)

        return Agent(name, machine.incarnation, self.relays, terms, now, self.draw_jitter, apply, counters, stored)

    @staticmethod
    def _read_stored(machine: Machine) -> StoredConfiguration | None:
        disk = machine.disk
        if not machine.has_disk or not disk.store:
            return None
        stored = decode_store(disk.store)
        disk.store = disk.store[: stored.length]
        return stored

    def crash(self, name: str, silent: bool) -> None:
        """Ends the process. ``silent``: the machine fails too, and its peers are not notified of closed links."""
        machine = self.machines[name]
        if machine.role is None:
            return
        machine.role, machine.deferred = None, None
        disk = machine.disk
        disk.store += disk.unsynced[: self.rng.randint(0, len(disk.unsynced))]
        disk.unsynced = b""
        for link in [*machine.links.values(), *([machine.upstream] if machine.upstream is not None else [])]:
            link.close_end(name)
            if not silent:
                self._notify_closed(link, link.peer_of(name))
        machine.links, machine.upstream = {}, None
        self.history.node_down(name)

    def wipe(self, name: str) -> None:
        """Crashes the machine and erases its disk."""
        self.crash(name, silent=True)
        self.machines[name].disk = Disk()

    def stall(self, name: str, length_us: int) -> None:
        """Suspends the process for ``length_us``."""
        machine = self.machines[name]
        if machine.role is not None and machine.deferred is None:
            machine.deferred = []
            self.history.node_down(name)
            self.loop.after(length_us, self.resume, name, machine.incarnation)

    def resume(self, name: str, incarnation: int) -> None:
        """Ends a stall of that incarnation: runs the due timers, then the deferred calls."""
        machine = self.machines[name]
        if machine.deferred is None or machine.incarnation != incarnation:
            return
        deferred, machine.deferred = machine.deferred, None
        self._tick(machine)
        for action in deferred:
            self._run_or_defer(machine, machine.incarnation, action)

    def _run_or_defer(self, machine: Machine, incarnation: int, action: Callable[[], None]) -> None:
        """Runs a call on the process of that incarnation now or after its stall; drops it if the process has ended."""
        if machine.role is None or machine.incarnation != incarnation:
            return
        if machine.deferred is not None:
            machine.deferred.append(action)
            return
        action()
        self.observe(machine)
        self._schedule_tick(machine)

    # time

    def _schedule_tick(self, machine: Machine) -> None:
        """Schedules a tick for the time at which the process is due, unless an earlier one is scheduled."""
        if machine.role is None:
            return
        at = max(machine.simulation_time(machine.role.due), self.now + 1)
        if not self.now < machine.tick_at <= at:
            machine.tick_at = at
            self.loop.at(at, self._tick_if_scheduled, machine, machine.incarnation, at)

    def _tick_if_scheduled(self, machine: Machine, incarnation: int, at: int) -> None:
        if machine.tick_at == at and machine.incarnation == incarnation and machine.deferred is None:
            self._run_or_defer(machine, incarnation, lambda: self._tick(machine))

    def _tick(self, machine: Machine) -> None:
        assert machine.role is not None
        self.execute(machine, machine.role.tick(machine.clock(self.now)))

    def _observe_all(self) -> None:
        for machine in self.machines.values():
            self.observe(machine)
            if machine.deferred is None:
                self._schedule_tick(machine)
        self.loop.after(OBSERVE_INTERVAL_US, self._observe_all)

    def observe(self, machine: Machine) -> None:
        """Records the state of the process in the history, unless it is stalled."""
        if machine.role is None or machine.deferred is not None:
            return
        role, clock = machine.role, machine.clock(self.now)
        if isinstance(role, Voter):
            self.history.observe_voter(self.now, machine.name, machine.incarnation, role, clock)
        elif isinstance(role, Relay):
            self.history.observe_relay(self.now, machine.name, machine.incarnation, role, clock)
        else:
            self.history.observe_node(self.now, machine.name, machine.incarnation, role, clock)

    # outputs

    def execute(self, machine: Machine, outputs: Sequence[Any]) -> None:
        """Executes the outputs of a process in order, up to a planned crash."""
        vote_stored = True
        for output in outputs:
            if machine.outputs_until_crash is not None:
                if not machine.outputs_until_crash:
                    self.crash(machine.name, silent=False)
                    return
                machine.outputs_until_crash -= 1
            if isinstance(output, PersistVote):
                try:
                    vote_stored = self._store_vote(machine, output)
                except VoteError:
                    self.crash(machine.name, silent=False)
                    self.loop.after(RESTART_DELAY_US, self.start, machine.name)
                    return
            elif isinstance(output, SendToVoter):
                if vote_stored:  # a vote that is not on disk must not be sent
                    self._send_to_voter(machine, output)
            else:
                self._execute_one(machine, output)

    def _execute_one(self, machine: Machine, output: Any) -> None:
        if isinstance(output, SendToSubscriber):
            link = machine.links.get(output.link)
            if link is not None:
                for message in self.message_faults.messages_to_send(link.number, output.message):
                    self._transmit(link, link.subscriber, message)
        elif isinstance(output, SendToPublisher):
            if machine.upstream is not None:
                self._transmit(machine.upstream, machine.upstream.publisher, output.message)
        elif isinstance(output, Dial):
            self._dial(machine, output.publisher)
        elif isinstance(output, ClosePublisherLink):
            if machine.upstream is not None:
                self._close(machine.upstream, machine.name)
                machine.upstream = None
        elif isinstance(output, CloseSubscriberLink):
            link = machine.links.pop(output.link, None)
            if link is not None:
                self._close(link, machine.name)
        elif isinstance(output, PersistVersion):
            self._store_version(machine, output.version)
        elif isinstance(output, PersistTable):
            self._store_table(machine)

    def _store_vote(self, machine: Machine, output: PersistVote) -> bool:
        assert isinstance(machine.role, Voter)
        disk = machine.disk
        if disk.writes_fail:
            machine.role.vote_write_failed()
            return False
        disk.store, disk.unsynced = disk.store + disk.unsynced, b""
        disk.vote = output.encoded_state
        return True

    def _store_version(self, machine: Machine, version: Version) -> None:
        if machine.name in self.voters:
            live_nodes = {
                name
                for name in self.nodes
                if self.machines[name].role is not None and self.machines[name].deferred is None
            }
            self.history.record_decided(self.now, machine.name, version, live_nodes)
        if machine.has_disk:
            if not machine.disk.store:
                machine.disk.store = b"".join(encode_table(version.parent, version.parent_digest, Table()))
            machine.disk.unsynced += encode_version(version)

    @staticmethod
    def _store_table(machine: Machine) -> None:
        assert machine.role is not None
        if machine.has_disk:
            role = machine.role
            machine.disk.store = b"".join(encode_table(role.number, role.digest, role.table))
            machine.disk.unsynced = b""

    # messages between voters

    def _send_to_voter(self, machine: Machine, output: SendToVoter) -> None:
        for _ in range(2 if self.voter_message_loss and self.rng.random() < self.voter_message_loss / 2 else 1):
            if not self._partitioned_until(machine.name, output.to) and self.rng.random() >= self.voter_message_loss:
                self.loop.after(self.draw_delay(), self._deliver_to_voter, machine.name, machine.incarnation, output)

    def _deliver_to_voter(self, sender: str, incarnation: int, output: SendToVoter) -> None:
        machine = self.machines[output.to]

        def deliver() -> None:
            assert isinstance(machine.role, Voter)
            message: Any = output.message
            self.execute(machine, machine.role.receive_voter(sender, incarnation, message, machine.clock(self.now)))

        self._run_or_defer(machine, machine.incarnation, deliver)

    # links

    def _partitioned_until(self, first: str, second: str) -> int:
        """End of the partition that separates the two machines; 0 if there is none."""
        return max(
            (until for until, side in self.partitions if self.now < until and (first in side) != (second in side)),
            default=0,
        )

    def _dial(self, machine: Machine, publisher: str) -> None:
        self._last_link_number += 1
        link = Link(self._last_link_number, machine.name, publisher)
        self.links[link.number] = link
        link.open_ends = {machine.name}
        machine.upstream = link
        self.loop.at(
            max(self._partitioned_until(machine.name, publisher), self.now) + self.draw_delay(),
            self._dial_arrived,
            link,
            machine.incarnation,
        )

    def _dial_arrived(self, link: Link, incarnation: int) -> None:
        """Handles a dial that has reached the publisher's machine."""
        publisher, subscriber = self.machines[link.publisher], self.machines[link.subscriber]
        if link.subscriber not in link.open_ends:
            return
        if publisher.role is None:
            self._notify_closed(link, link.subscriber)
            return
        link.state = LinkState.OPEN
        link.open_ends.add(link.publisher)
        publisher.links[link.number] = link

        def accept() -> None:
            role = publisher.role
            assert isinstance(role, Voter | Relay)
            self.execute(publisher, role.subscriber_connected(link.number, publisher.clock(self.now)))

        self._run_or_defer(publisher, publisher.incarnation, accept)
        self.loop.at(
            link.schedule_arrival(link.subscriber, self.now + self.draw_delay()),
            self._connected,
            link,
            subscriber,
            incarnation,
        )

    def _connected(self, link: Link, subscriber: Machine, incarnation: int) -> None:
        def connect() -> None:
            role = subscriber.role
            if subscriber.upstream is link and role is not None:
                self.execute(subscriber, role.connected(subscriber.clock(self.now)))

        self._run_or_defer(subscriber, incarnation, connect)

    def _transmit(self, link: Link, receiver: str, message: Any) -> None:
        """Sends a message over the link. A hung link loses it; a paused link or a partition delays it."""
        if link.hung:
            return
        at = link.schedule_arrival(
            receiver, max(self._partitioned_until(link.subscriber, link.publisher), self.now) + self.draw_delay()
        )
        self.loop.at(at, self._deliver, link, receiver, message, self.machines[receiver].incarnation)

    def _deliver(self, link: Link, receiver: str, message: Any, incarnation: int) -> None:
        machine = self.machines[receiver]
        if link.hung or receiver not in link.open_ends:
            return

        def deliver() -> None:
            if receiver not in link.open_ends:
                return
            if receiver == link.publisher:
                self._receive_downstream(machine, link, message)
            else:
                self._receive_upstream(machine, message)

        self._run_or_defer(machine, incarnation, deliver)

    def _receive_downstream(self, machine: Machine, link: Link, message: FromSubscriber) -> None:
        assert isinstance(machine.role, Voter | Relay)
        self.execute(machine, machine.role.receive(link.number, message, machine.clock(self.now)))

    def _receive_upstream(self, machine: Machine, message: FromPublisher) -> None:
        role, clock = machine.role, machine.clock(self.now)
        if isinstance(role, Agent):
            self.execute(machine, role.receive(message, clock))
        elif role is not None:
            self.execute(machine, role.receive_upstream(message, clock))

    def _close(self, link: Link, name: str) -> None:
        """Closes one end of the link and notifies the other end, unless the link is hung."""
        link.close_end(name)
        self._notify_closed(link, link.peer_of(name))
        self._discard_if_closed(link)

    def _discard_if_closed(self, link: Link) -> None:
        if link.state is LinkState.CLOSED:
            self.links.pop(link.number, None)

    def _notify_closed(self, link: Link, receiver: str) -> None:
        if link.hung:
            return
        at = link.schedule_arrival(
            receiver, max(self._partitioned_until(link.subscriber, link.publisher), self.now) + self.draw_delay()
        )
        self.loop.at(at, self._close_arrived, link, receiver, self.machines[receiver].incarnation)

    def _close_arrived(self, link: Link, receiver: str, incarnation: int) -> None:
        machine = self.machines[receiver]
        if receiver not in link.open_ends or link.hung:
            return

        def closed() -> None:
            if receiver not in link.open_ends:
                return
            link.close_end(receiver)
            self._discard_if_closed(link)
            role, clock = machine.role, machine.clock(self.now)
            if receiver == link.publisher:
                machine.links.pop(link.number, None)
                assert isinstance(role, Voter | Relay)
                self.execute(machine, role.subscriber_disconnected(link.number, clock))
            elif role is not None:
                machine.upstream = None
                self.execute(machine, role.disconnected(clock))

        self._run_or_defer(machine, incarnation, closed)

    # events of a schedule

    def partition(self, side: Sequence[str], length_us: int) -> None:
        """Separates these machines from all others for ``length_us``. Messages on links between the sides wait until
        then; messages between voters are lost."""
        self.partitions = [each for each in self.partitions if self.now < each[0]]
        self.partitions.append((self.now + length_us, frozenset(side)))

    def upstream_link(self, name: str) -> Link | None:
        """The link of a machine to the publisher that it watches."""
        return self.machines[name].upstream

    def reset_link(self, name: str) -> None:
        """Closes the machine's upstream link and notifies both ends."""
        link = self.upstream_link(name)
        if link is not None:
            self._notify_closed(link, link.subscriber)
            self._notify_closed(link, link.publisher)

    def hang_link(self, name: str) -> None:
        """Makes the machine's upstream link lose all further messages without notifying either end."""
        link = self.upstream_link(name)
        if link is not None:
            link.hung = True

    def pause_link(self, name: str, length_us: int) -> None:
        """Pauses the machine's upstream link for ``length_us``; messages sent meanwhile then arrive in order."""
        link = self.upstream_link(name)
        if link is not None:
            link.paused_until = max(link.paused_until, self.now + length_us)

    def slow_link(self, name: str, spacing_us: int) -> None:
        """Limits the machine's upstream link to one message per ``spacing_us`` each way; 0 removes the limit."""
        link = self.upstream_link(name)
        if link is not None:
            link.spacing_us = spacing_us

    def propose(self, name: str, operations: Sequence[Operation]) -> None:
        """Proposes a change at a voter, as an operator does."""
        machine = self.machines[name]

        def propose_now() -> None:
            assert isinstance(machine.role, Voter)
            try:
                ident, outputs = machine.role.propose(operations, self.now // MS, machine.clock(self.now))
            except QueueFull:
                self.history.counters["control_full_queues"] += 1
                return
            self.history.proposed_at_us[ident] = self.now
            self.execute(machine, outputs)

        self._run_or_defer(machine, machine.incarnation, propose_now)

    def end_faults(self) -> None:
        """Ends message loss, partitions, slow links and stalls, and starts all machines. Hung links stay hung."""
        self.voter_message_loss, self.message_faults.fault_rate = 0.0, 0.0
        self.partitions = []
        for link in self.links.values():
            link.spacing_us = 0
        for name, machine in self.machines.items():
            machine.disk.writes_fail, machine.outputs_until_crash = False, None
            self.resume(name, machine.incarnation)
            self.start(name)
