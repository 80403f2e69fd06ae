"""The one rule for copies that differ, by stateful property tests: messages delivered in any order, lost, repeated,
and copies that crash with lost memory; after every step the copies agree on the chosen claim and its result."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lemonway.replication.claims import Claim, Claims, Send, Won
from lemonway.replication.placement import Placement

NAMES = ("a", "b", "c")
KEYS = ("k1",)  # one key: every claim contends
UNTIL = 10**12  # one window for the whole run
ABSTAIN = 10**12  # a copy that lost its memory votes no more in this run


class Copies(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.placement = Placement(list(NAMES))
        self.lives = dict.fromkeys(NAMES, 0)
        self.nodes = {n: Claims(n, "0", self.placement) for n in NAMES}
        self.pending: list[Send] = []
        self.now = 0
        self.won: dict[str, list[Claim]] = {}

    def _take(self, name: str, out: list[object]) -> None:
        for item in out:
            if isinstance(item, Send):
                self.pending.append(item)
            elif isinstance(item, Won):
                self.won.setdefault(item.key, []).append(item.value)
                self.pending.extend(o for o in self.nodes[name].publish(item.key, item.value, f"r-{name}".encode())
                                    if isinstance(o, Send))

    @rule(name=st.sampled_from(NAMES), key=st.sampled_from(KEYS), digest=st.sampled_from(("d", "e")))
    def claim(self, name: str, key: str, digest: str) -> None:
        self.now += 1
        node = self.nodes[name]
        self._take(name, list(node.claim(key, Claim(name, node.life, digest, UNTIL), self.now)))

    @precondition(lambda self: self.pending)
    @rule(pick=st.integers(min_value=0), keep=st.booleans())
    def deliver(self, pick: int, keep: bool) -> None:
        """One message, any of those under way; ``keep`` leaves a copy of it under way too (a repeat)."""
        self.now += 1
        send = self.pending[pick % len(self.pending)]
        if not keep:
            self.pending.remove(send)
        self._take(send.to, list(self.nodes[send.to].receive(send.message, self.now)))

    @precondition(lambda self: self.pending)
    @rule(pick=st.integers(min_value=0))
    def lose(self, pick: int) -> None:
        self.pending.pop(pick % len(self.pending))

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name: str) -> None:
        self.lives[name] += 1
        self.nodes[name] = Claims(name, str(self.lives[name]), self.placement, abstain_until=ABSTAIN)

    @rule()
    def tick(self) -> None:
        self.now += 10_000  # past the pause after a refusal: nacked proposals try a higher round
        for name, node in self.nodes.items():
            self._take(name, list(node.tick(self.now)))

    @invariant()
    def one_claim_chosen_a_key(self) -> None:
        for key in KEYS:
            chosen = {c for node in self.nodes.values() if (c := node.chosen(key)) is not None}
            chosen |= set(self.won.get(key, []))
            assert len(chosen) <= 1, (key, chosen)

    @invariant()
    def no_copy_was_told_two_claims(self) -> None:
        assert all(node.counters.get("chosen_conflicts", 0) == 0 for node in self.nodes.values())

    @invariant()
    def a_result_is_the_chosen_claims_own(self) -> None:
        for key in KEYS:
            for node in self.nodes.values():
                body, claim = node.result(key), node.chosen(key)
                if body is not None:
                    assert claim is not None and body == f"r-{claim.node}".encode(), (key, body, claim)
                    assert node.repeat(key, claim.digest) == "serve"
                    assert node.repeat(key, "other") == "conflict"


TestCopies = Copies.TestCase
TestCopies.settings = settings(max_examples=300, stateful_step_count=50, deadline=None)

if __name__ == "__main__":
    unittest.main()
