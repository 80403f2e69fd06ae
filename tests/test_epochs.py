"""Epochs without sockets: all states of one decision, simulated fleets in virtual time, and the content of a change.
Some tests remove a safeguard and check that the explorer or the simulation then reports the violation."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from collections import Counter
from dataclasses import replace
from typing import Any
from unittest import mock

from lemonway.epochs import change as changes
from lemonway.epochs import register as registers
from lemonway.epochs.lease import NEVER, majority_stamp
from lemonway.epochs.member import EpochMember, EpochOptions, ProposalInProgress
from lemonway.epochs.messages import (
    INITIAL_CHANGE,
    Accepted,
    ApplyChange,
    Change,
    CheckReply,
    Heartbeat,
    Log,
    Prepare,
    Pull,
    RejoinReply,
    Send,
)
from lemonway.kit.emulator import day, epoch_states, fault_day, policy_day, report, scenario
from lemonway.net.routing.core import Core

MAX_STATES = 300_000  # explored here; a benchmark run explores all of them
TICK_US = 10_000


def make_change(number: int, ident: str = "n2-1-1", commit: bool = True) -> Change:
    return Change(number, ident, commit, b"{}" if commit else b"", "" if commit else "why", "n2", 0)


class StateExploration(unittest.TestCase):
    def test_no_state_has_two_decisions(self) -> None:
        for budget, most in ((epoch_states.Budget(1, 0), 1 << 62), (epoch_states.Budget(1, 1), MAX_STATES)):
            count, broken = epoch_states.explore(budget, most=most)
            self.assertEqual(broken, [])
            self.assertGreater(count, 50_000, "too few states were visited")
        deep_budget = epoch_states.Budget(1, 2, 2)
        explorer = epoch_states.Explorer(deep_budget)
        for seed in range(200):
            self.assertEqual(epoch_states.walk(seed, deep_budget, all_=explorer), [], seed)

    def test_finds_voting_after_memory_loss(self) -> None:
        def make_forgetful_node(name: str, life: int, fresh: bool) -> EpochMember:
            node = epoch_states.make_node(name, life, fresh)
            node.memory_intact = True
            return node

        self.assertTrue(self.find_violation(make_forgetful_node))

    def test_finds_a_majority_of_one(self) -> None:
        with mock.patch.object(registers, "has_majority", lambda names, lists: bool(list(names))):
            self.assertTrue(self.find_violation())

    def test_finds_an_acceptor_that_ignores_its_promise(self) -> None:
        def accept(self: Any, ballot: Any, value: Any, incarnations: Any) -> Any:
            self.promised = self.accepted = ballot
            self.value = value
            return Accepted(self.number, ballot, incarnations)

        with mock.patch.object(registers.Register, "accept", accept):
            self.assertTrue(self.find_violation())

    @staticmethod
    def find_violation(make: epoch_states.NodeFactory = epoch_states.make_node) -> list[str]:
        return epoch_states.explore(epoch_states.Budget(1, 1, 1), make, MAX_STATES)[1]


class FaultSimulations(unittest.TestCase):
    def test_simulations_keep_the_guarantees(self) -> None:
        for name, mix in policy_day.MIXES.items():
            known = 0
            for seed in range(4 if mix.nodes < 100 else 0):
                history, broken = policy_day.play(seed, mix)
                self.assertEqual(
                    broken, [], f"python -m lemonway.kit.emulator.policy_day --mix {name} --seed {seed} " "--seeds 1"
                )
                known += len(history.decisions)
            self.assertGreater(
                known, 0 if mix.nodes < 100 else -1, f"no epoch was decided in the simulations of {name}"
            )

    def test_zone_loss_in_a_fleet_of_sixty_nodes(self) -> None:
        mix = replace(policy_day.MIXES["zone-200"], nodes=60, length_us=9000 * fault_day.MS)
        history, broken = policy_day.play(1, mix)
        self.assertEqual(broken, [])
        self.assertGreater(len(history.switch_time_us), 0)

    def test_a_seed_gives_the_same_simulation_in_every_process(self) -> None:
        """The iteration order of sets differs between processes; a failed seed could not be replayed if it mattered."""
        script = (
            "from lemonway.kit.emulator import policy_day as p, replica_day as r, replica_faults as f\n"
            "for name, mix in f.MIXES.items():\n"
            "    day = r.Day(3, mix, f.schedule(3, mix)); h = day.play(); print(name, h.runs, h.served, h.last)\n"
            "for name in ('three', 'rough', 'disk'):\n"
            "    h, _ = p.play(3, p.MIXES[name]); print(name, h.served, h.decisions)\n"
        )
        outputs = {
            subprocess.run(
                [sys.executable, "-c", script],
                capture_output=True,
                check=True,
                env={**os.environ, "PYTHONHASHSEED": seed},
            ).stdout
            for seed in ("1", "2")
        }
        self.assertEqual(len(outputs), 1)

    def test_finds_nodes_that_serve_without_a_lease(self) -> None:
        mix = replace(policy_day.MIXES["some"], serves_without_lease=True)
        self.assertTrue(any("served epoch" in line for seed in range(4) for line in policy_day.play(seed, mix)[1]))


class EmulatedRuns(unittest.TestCase):
    """Complete emulator scenarios with routers, machines and the shipped cores under a fleet-wide policy."""

    def test_policy_changes_during_crashes_and_a_partition(self) -> None:
        plan = scenario.load("policy-change")
        result = day.play(plan, 1)
        assert result.policy is not None
        figures = result.policy.figures()
        self.assertEqual((figures["broken"], result.audit.breaches), ([], []))
        self.assertEqual([row["outcome"] for row in figures["changes"]], ["committed"] * 3)
        self.assertGreater(
            result.node_counters["refused_lapsed"], 0, "no node of the partition has stopped accepting work"
        )
        self.assertLessEqual(figures["changes"][2]["everywhere_ms"], figures["lease_ms"] + 20 + 1000)
        data = report.figures(result)
        self.assertEqual((data["rules"]["one policy"], data["service"]["figure"] is not None), (0, True))

    def test_finds_nodes_that_serve_after_lease_expiry(self) -> None:
        with mock.patch.object(
            Core, "set_lease_expired", lambda core, lease_expired: setattr(core.readiness, "lease_expired", False)
        ):
            result = day.play(scenario.load("policy-change"), 1)
        assert result.policy is not None
        self.assertTrue(any("served epoch" in line for line in result.policy.check()))

    def test_invalid_scenarios_are_rejected(self) -> None:
        for raw, pattern in (
            ({"trouble": [{"kind": "policy", "at": 1}]}, "needs a table"),
            ({"policy": {}, "trouble": [{"kind": "policy", "at": 1, "settings": {"lanes": []}}]}, "keeps its classes"),
            ({"policy": {"lease_ms": 1}}, "lease_ms"),
        ):
            with self.assertRaisesRegex(scenario.ScenarioError, pattern):
                scenario.check({"title": "t", **raw}, "here")
        with self.assertRaisesRegex(scenario.ScenarioError, "leave --wire out"):
            day.play(scenario.load("policy-change"), 1, wire=True)


class MajorityStamp(unittest.TestCase):
    def test_latest_stamp_that_a_majority_reaches(self) -> None:
        five = ("a", "b", "c", "d", "e")
        for stamps, groups, expected in (
            ({}, (five,), NEVER),
            ({"a": 9, "b": 5}, (five,), NEVER),
            ({"a": 9, "b": 5, "c": 7}, (five,), 5),
            ({"a": 9, "b": 5, "c": 7, "d": 6}, (five,), 6),
            ({"a": 9, "x": 8, "y": 8}, (five,), NEVER),
            ({"a": 9, "b": 5, "c": 7, "x": 3}, (five, ("a", "x", "y")), 3),
            ({"a": 9, "b": 5, "c": 7}, (five, ("a", "x", "y")), NEVER),
        ):
            self.assertEqual(majority_stamp(stamps, groups), expected, (stamps, groups))


class SingleNode(unittest.TestCase):
    """One node of three; the tests send the messages of the other two."""

    def setUp(self) -> None:
        self.check_error = ""
        self.node = self.make_member(1)

    def make_member(self, incarnation: int, fresh: bool = True) -> EpochMember:
        members = (("n1", "n2", "n3"),)
        return EpochMember(
            "n1",
            incarnation,
            lambda: members,
            EpochOptions(first_start=fresh),
            0,
            lambda data: self.check_error,
            Counter(),
        )

    def heartbeat(
        self,
        now_us: int,
        epoch: int = 0,
        has_accepted: bool = False,
        sender: str = "n2",
        incarnation: int = 1,
        memory_intact: bool = True,
        receiver_incarnation: int = 1,
    ) -> list[Any]:
        return self.node.receive(
            sender,
            incarnation,
            Heartbeat(now_us, receiver_incarnation, now_us, epoch, has_accepted, True, memory_intact),
            now_us,
        )

    def test_lease_needs_a_majority_without_a_later_epoch(self) -> None:
        node = self.node
        node.tick(TICK_US)
        self.assertFalse(node.serving(TICK_US), "no peer has returned a stamp")
        for heartbeat_fields, expected in (
            ({"epoch": 0}, True),
            ({"has_accepted": True}, False),  # the next epoch may be decided by now
            ({"epoch": 1}, False),  # a later epoch is decided
            ({"memory_intact": False}, False),  # it may have forgotten a vote for the next epoch
            ({"receiver_incarnation": 9}, False),  # the stamp is of another incarnation of this node
        ):
            self.setUp()
            node = self.node
            self.heartbeat(TICK_US, **heartbeat_fields)
            node.tick(TICK_US)
            self.assertEqual(node.serving(TICK_US), expected, heartbeat_fields)
        self.setUp()
        self.heartbeat(TICK_US)
        self.node.tick(TICK_US)
        self.assertTrue(self.node.serving(TICK_US + self.node.lease_us - 1))
        self.assertFalse(self.node.serving(TICK_US + self.node.lease_us), "no message since")
        self.heartbeat(2 * TICK_US, incarnation=2, receiver_incarnation=0)
        self.node.tick(2 * TICK_US)
        self.assertLess(self.node.lease_expires_at_us, 0, "a stamp returned by its former incarnation counts")

    def test_rejection_by_one_node_aborts_the_change_with_its_reason(self) -> None:
        node = self.node
        for sender in ("n2", "n3"):
            self.heartbeat(TICK_US, sender=sender)
        node.tick(TICK_US)
        ident, out = node.propose(b"{}", 0, TICK_US)
        self.assertEqual({item.to for item in out if isinstance(item, Send)}, {"n2", "n3"})
        with self.assertRaises(ProposalInProgress):
            node.propose(b"{}", 0, TICK_US)
        node.receive("n2", 1, CheckReply(ident, ""), TICK_US)
        self.assertEqual(node.outcomes[ident].state, "checking")
        node.receive("n3", 1, CheckReply(ident, "lanes: too many"), TICK_US)
        self.assertEqual((node.outcomes[ident].state, node.outcomes[ident].reason), ("deciding", "n3: lanes: too many"))
        node._on_log(Log(1, INITIAL_CHANGE, (make_change(1, ident, False),)), TICK_US)
        self.assertEqual((node.outcomes[ident].state, node.proposal), ("aborted", None))

    def test_proposals_refused_before_any_message_is_sent(self) -> None:
        node = self.node
        node.tick(TICK_US)
        ident, out = node.propose(b"{}", 0, TICK_US)
        self.assertEqual((node.outcomes[ident].state, out), ("refused", []), "no majority is reachable")
        self.heartbeat(TICK_US)
        node.tick(TICK_US)
        self.check_error = "deadline: no number"
        ident, out = node.propose(b"{}", 0, TICK_US)
        self.assertEqual((node.outcomes[ident].reason, out), ("n1: deadline: no number", []))

    def test_missing_check_reply_aborts_the_change(self) -> None:
        for sender in ("n2", "n3"):
            self.heartbeat(TICK_US, sender=sender)
        node = self.node
        node.tick(TICK_US)
        ident, _ = node.propose(b"{}", 0, TICK_US)
        node.receive("n2", 1, CheckReply(ident, ""), TICK_US)
        now_us = TICK_US
        while node.outcomes[ident].state == "checking":
            now_us += TICK_US
            for sender in ("n2", "n3"):
                self.heartbeat(now_us, sender=sender)
            node.tick(now_us)
        self.assertEqual(node.outcomes[ident].reason, "n3: did not report in time whether the change can be applied")
        self.assertEqual(now_us, TICK_US + node.check_us)

    def test_proposal_retries_after_an_abort_and_loses_to_another_commit(self) -> None:
        for sender in ("n2", "n3"):
            self.heartbeat(TICK_US, sender=sender)
        node = self.node
        node.tick(TICK_US)
        ident, _ = node.propose(b"{}", 0, TICK_US)
        node._on_log(Log(1, INITIAL_CHANGE, (make_change(1, "n3-1-7", False),)), TICK_US)
        assert node.proposal is not None
        self.assertEqual(node.proposal.change.number, 2, "the proposal was not moved to the next number")
        winner = make_change(2)
        out = node.receive("n2", 1, Log(2, winner, (winner.without_settings(),)), TICK_US)
        self.assertIn(ApplyChange(winner), out)
        self.assertEqual((node.outcomes[ident].state, "n2-1-1" in node.outcomes[ident].reason), ("lost", True))

    def deciding_proposal(self) -> str:
        """A proposal of this node for epoch 1 on which the others are voting."""
        for sender in ("n2", "n3"):
            self.heartbeat(TICK_US, sender=sender)
        self.node.tick(TICK_US)
        ident, _ = self.node.propose(b"{}", 0, TICK_US)
        for sender in ("n2", "n3"):
            self.node.receive(sender, 1, CheckReply(ident, ""), TICK_US)
        self.assertEqual(self.node.outcomes[ident].state, "deciding")
        return ident

    def receive_log(self, first: Change, known: int) -> None:
        """A log of 22 decisions, of which the last ``known`` are listed."""
        decided = (first, *(make_change(number, f"n2-1-{number}") for number in range(2, 23)))
        recent = tuple(change.without_settings() for change in decided[22 - known :])
        self.node.receive("n2", 1, Log(22, decided[-1], recent), TICK_US)

    def test_only_the_decision_on_its_own_number_tells_what_became_of_a_proposal(self) -> None:
        """A change in force was told as lost, since 16 later decisions stood in the log before it."""
        for own, known, expected in ((True, 22, "committed"), (False, 22, "lost"), (True, 16, "unknown")):
            with self.subTest(own=own, known=known):
                self.setUp()
                ident = self.deciding_proposal()
                self.receive_log(make_change(1, ident if own else "n3-1-1"), known)
                self.assertEqual((self.node.outcomes[ident].state, self.node.proposal), (expected, None))

    def test_a_proposal_without_a_ballot_is_lost_whatever_the_log_lacks(self) -> None:
        for sender in ("n2", "n3"):
            self.heartbeat(TICK_US, sender=sender)
        self.node.tick(TICK_US)
        ident, _ = self.node.propose(b"{}", 0, TICK_US)
        self.receive_log(make_change(1), 16)
        self.assertEqual(self.node.outcomes[ident].state, "lost")

    def test_a_log_has_every_decision_that_its_receiver_lacks(self) -> None:
        self.receive_log(make_change(1), 22)
        [pulled] = [item.message for item in self.node.receive("n2", 1, Pull(3), TICK_US) if isinstance(item, Send)]
        answered = self.node.receive("n2", 1, Prepare(2, (0, "n2", 1)), TICK_US)
        [late_ballot] = [item.message for item in answered if isinstance(item, Send)]
        for log, first in ((pulled, 4), (late_ballot, 2)):
            assert isinstance(log, Log)
            self.assertEqual([change.number for change in log.recent_changes], list(range(first, 23)))

    def test_restarted_node_votes_after_learning_its_former_votes(self) -> None:
        node = self.node = self.make_member(2, fresh=False)
        out = node.tick(TICK_US)
        self.assertEqual(
            sorted(item.to for item in out if isinstance(item, Send) and type(item.message).__name__ == "Rejoin"),
            ["n2", "n3"],
        )
        value = make_change(3)
        log = Log(2, make_change(2), (make_change(2).without_settings(),))
        n2_reply = RejoinReply(2, TICK_US, True, log, (4, "n3", 1), (3, "n2", 1), value, {"n1": 2, "n3": 1})
        node.receive("n2", 1, n2_reply, TICK_US)
        self.assertFalse(node.memory_intact)
        node.receive("n3", 1, RejoinReply(2, TICK_US, True, log, (5, "n3", 1), (-1, "", 0), None, {"n2": 2}), TICK_US)
        self.assertFalse(
            node.memory_intact, "n3 knows a newer incarnation of n2, so the earlier reply of n2 does not count"
        )
        node.receive("n2", 2, n2_reply, TICK_US)
        self.assertTrue(node.memory_intact)
        self.assertEqual(
            (node.register.promised, node.register.value, node.epoch, node.committed.number),
            ((5, "n3", 1), value, 2, 2),
        )

    def test_first_start_node_does_not_vote_in_a_fleet_with_history(self) -> None:
        self.assertTrue(self.node.memory_intact)
        self.heartbeat(TICK_US, epoch=4)
        self.assertFalse(self.node.memory_intact)


class ChangeContent(unittest.TestCase):
    def test_merge_patch_examples_of_rfc_7396(self) -> None:
        for own, patch, expected in (  # RFC 7396, appendix A
            ({"a": "b"}, {"a": "c"}, {"a": "c"}),
            ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
            ({"a": "b"}, {"a": None}, {}),
            ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
            ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
            ({"a": "c"}, {"a": ["b"]}, {"a": ["b"]}),
            ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
            ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
            (["a", "b"], ["c", "d"], ["c", "d"]),
            ({"a": "b"}, ["c"], ["c"]),
            ({"a": "foo"}, "bar", "bar"),
            ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
            ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
            ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
        ):
            self.assertEqual(changes.apply_merge_patch(own, patch), expected, (own, patch))

    def test_invalid_change_content_is_rejected(self) -> None:
        for data, pattern in (
            (b"{", "not JSON"),
            (b"[]", "not an object"),
            (b'{"familyInfo": 1}', "familyInfo"),
            (b'{"familyInfo": {"cores": 2}}', "familyInfo.cores"),
        ):
            with self.assertRaisesRegex(ValueError, pattern):
                changes.parse_change(data)
        self.assertEqual(changes.parse_change(b'{"tick": 5}'), {"tick": 5})

    def test_paths_that_differ_from_the_nodes_own_file(self) -> None:
        own = {"a": 1, "b": {"c": 2, "d": 3}, "e": 4}
        patch = {"a": 1, "b": {"c": 5}, "e": None, "f": None, "g": 1}
        self.assertEqual(changes.differing_paths(own, patch), ["b.c", "e", "g"])
        self.assertEqual(changes.differing_paths(own, {"a": 1}), [])


if __name__ == "__main__":
    unittest.main()
