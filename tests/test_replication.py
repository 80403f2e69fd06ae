"""The claim of a keyed request among replicas: placement, the fast path, and safety under faults in virtual time."""

from __future__ import annotations

import unittest
from collections.abc import Sequence

from lemonway.kit.emulator.claims_day import Faults, check, play, run_seeds
from lemonway.replication.claims import Accept, Accepted, Claim, Claims, Lost, Result, Send, Won
from lemonway.replication.placement import Placement


class Placing(unittest.TestCase):
    def test_a_join_moves_about_size_over_n_of_the_keys(self) -> None:
        peers = [f"n{i}" for i in range(200)]
        before, after = Placement(peers), Placement([*peers, "n200"])
        keys = [f"k{i}" for i in range(20_000)]
        moved = sum(before.group(k) != after.group(k) for k in keys) / len(keys)
        self.assertLess(abs(moved - 3 / 201), 0.005, moved)

    def test_a_group_has_odd_size_and_its_home_first(self) -> None:
        placement = Placement(["a", "b", "c", "d", "e"], 3)
        group = placement.group("k")
        self.assertEqual((len(group), len(set(group)), placement.quorum("k")), (3, 3, 2))
        with self.assertRaises(ValueError):
            Placement(["a"], 2)


def deliver(nodes: dict[str, Claims], out: Sequence[object], now: int = 0) -> list[object]:
    """Carries every message at once, in order, until none is left; gives the decisions."""
    decisions: list[object] = []
    queue = list(out)
    while queue:
        item = queue.pop(0)
        if isinstance(item, Send):
            queue.extend(nodes[item.to].receive(item.message, now))
        else:
            decisions.append(item)
    return decisions


class Claiming(unittest.TestCase):
    def setUp(self) -> None:
        self.placement = Placement(["a", "b", "c"])
        self.nodes = {n: Claims(n, "1", self.placement) for n in ("a", "b", "c")}
        self.home, self.other = self.placement.group("k")[0], self.placement.group("k")[1]

    def claim(self, name: str) -> Claim:
        return Claim(name, "1", "digest", 10_000_000)

    def test_the_home_claims_in_one_round_trip(self) -> None:
        out = self.nodes[self.home].claim("k", self.claim(self.home), 0)
        self.assertTrue(all(isinstance(o, Send) and isinstance(o.message, Accept) for o in out))
        answers = [a for o in out if isinstance(o, Send) for a in self.nodes[o.to].receive(o.message, 0)]
        self.assertTrue(all(isinstance(a, Send) and isinstance(a.message, Accepted) for a in answers))
        decisions = deliver(self.nodes, answers)
        self.assertEqual(decisions, [Won("k", self.claim(self.home))])

    def test_a_second_claimant_learns_the_first_and_may_not_run(self) -> None:
        deliver(self.nodes, self.nodes[self.home].claim("k", self.claim(self.home), 0))
        decisions = deliver(self.nodes, self.nodes[self.other].claim("k", self.claim(self.other), 1))
        self.assertEqual(decisions, [Lost("k", self.claim(self.home))])

    def test_one_who_is_not_home_may_not_use_the_fast_round(self) -> None:
        forged = Accept("k", (0, self.other), self.claim(self.other), self.other)
        answer = self.nodes[self.home].receive(forged, 0)
        self.assertNotIsInstance(answer[0].message, Accepted)  # type: ignore[union-attr]

    def test_a_result_beats_a_bare_claim_and_only_the_chosen_ones_counts(self) -> None:
        home = self.nodes[self.home]
        deliver(self.nodes, home.claim("k", self.claim(self.home), 0))
        other = self.nodes[self.other]
        self.assertEqual(other.repeat("k", "digest"), "wait", "chosen, no result yet: this try is refused")
        stranger = Result("k", self.claim(self.other), b"not it", self.other)
        other.receive(stranger, 1)
        self.assertEqual((other.result("k"), other.counters["results_dropped"]), (None, 1))
        deliver(self.nodes, home.publish("k", self.claim(self.home), b"made"))
        self.assertEqual((other.repeat("k", "digest"), other.result("k")), ("serve", b"made"))
        self.assertEqual(other.repeat("k", "another body"), "conflict", "a try with another body fails, never runs")

    def test_a_node_that_lost_its_memory_abstains(self) -> None:
        fresh = Claims(self.home, "2", self.placement, abstain_until=1_000)
        self.assertEqual(fresh.receive(Accept("k", (0, self.home), self.claim(self.home), self.home), 10), [])
        self.assertEqual(fresh.counters["abstained"], 1)


class UnderFaults(unittest.TestCase):
    """Days of drops, delays, partitions and crashes with lost memory; the history is checked."""

    def test_no_key_is_chosen_twice_within_its_window(self) -> None:
        for faults in (Faults(), Faults(drop=0.2, crashes=4, partitions=4), Faults(crashes=0, partitions=6)):
            failed = run_seeds(range(12), faults)
            self.assertEqual(failed, [], f"{faults}: seed and what broke: {failed[:1]}")

    def test_the_check_finds_a_node_that_votes_with_lost_memory(self) -> None:
        failed = run_seeds(range(12), Faults(abstain_ms=0, crashes=4))
        self.assertTrue(failed, "without abstention two claims of a key are chosen on some seed")

    def test_without_faults_every_claim_is_decided(self) -> None:
        history = play(5, faults=Faults(drop=0, crashes=0, partitions=0))
        self.assertEqual((history.decisions, history.no_quorum, check(history)), (history.asked, 0, []))


if __name__ == "__main__":
    unittest.main()
