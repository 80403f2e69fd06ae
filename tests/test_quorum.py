"""Majority quorums: what makes them safe, over all subsets of small groups."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from itertools import chain, combinations

from lemonway.quorum import can_recover, has_current_majority, has_majority, majority_size, recovery_size

NAMES = "abcdefg"


def subsets(group: str) -> Iterator[tuple[str, ...]]:
    return chain.from_iterable(combinations(group, size) for size in range(len(group) + 1))


class Quorums(unittest.TestCase):
    def test_two_majorities_share_a_member_and_none_is_smaller_than_said(self) -> None:
        for size in range(1, 8):
            group = NAMES[:size]
            majorities = [set(each) for each in subsets(group) if has_majority(each, [group])]
            self.assertTrue(all(a & b for a in majorities for b in majorities), group)
            self.assertEqual(min(map(len, majorities)), majority_size(group))

    def test_who_recovers_has_heard_from_a_member_of_every_majority_it_was_part_of(self) -> None:
        for size in range(2, 7):
            group = NAMES[:size]
            majorities = [set(each) for each in subsets(group) if "a" in each and has_majority(each, [group])]
            for heard in subsets(group[1:]):
                meets_all = all(set(heard) & (majority - {"a"}) for majority in majorities)
                self.assertEqual(can_recover(heard, [group], "a"), meets_all, (group, heard))
                self.assertEqual(len(heard) >= recovery_size(group), meets_all, (group, heard))

    def test_each_group_in_force_needs_its_own_majority(self) -> None:
        old, new = ("a", "b", "c"), ("c", "d", "e")
        self.assertTrue(has_majority("bcd", [old, new]))
        self.assertFalse(has_majority("abc", [old, new]))
        self.assertTrue(has_majority("abc", [old]))
        self.assertTrue(can_recover("bcde", [old, new], "a"), "a has no part in the new group")
        self.assertTrue(can_recover("abde", [old, new], "c"))
        self.assertFalse(can_recover("abd", [old, new], "c"), "one of the new group's others is too few")

    def test_its_own_name_does_not_help_one_that_recovers(self) -> None:
        self.assertFalse(can_recover("ab", [("a", "b", "c")], "a"))
        self.assertTrue(can_recover("bc", [("a", "b", "c")], "a"))

    def test_an_answer_of_an_incarnation_that_has_ended_does_not_count(self) -> None:
        group = ("a", "b", "c")
        answers = {"a": (1, {"b": 1}), "b": (1, {"a": 1})}
        self.assertTrue(has_current_majority(answers, [group], {}))
        self.assertFalse(has_current_majority(answers, [group], {"a": 2}), "the one who asks knows better")
        self.assertFalse(has_current_majority({**answers, "b": (1, {"a": 2})}, [group], {}), "one that answered does")
        self.assertFalse(has_current_majority(answers, [group, ("b", "c", "d")], {}))


if __name__ == "__main__":
    unittest.main()
