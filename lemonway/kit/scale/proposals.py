"""The operators of a scale run: they propose changes and follow their outcome."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, replace

from . import changes
from .control_group import ControlGroup, ControlProcess, ProposalOutcome
from .history import DecidedVersion
from .http import AdminCallError
from .plan import Sizes
from .processes import ProcessError

POLL_INTERVAL = 0.1  # seconds between requests for the outcome of open proposals
RETRY_DELAY = 0.25  # seconds
MAX_TRIES = 60


@dataclass
class Proposal:
    """A proposed change. Times are microseconds of the monotonic clock."""

    change: int
    proposed_us: int
    voter: ControlProcess
    proposal_id: str
    tries: int = 1
    committed_us: int | None = None
    outcome: ProposalOutcome | None = None


class Operators:
    """Proposes each change to a voter until it is committed; a change that the voter has lost is proposed again."""

    def __init__(self, group: ControlGroup, sizes: Sizes) -> None:
        self.group, self.sizes = group, sizes
        self.open_proposals: list[Proposal] = []
        self.committed_proposals: list[Proposal] = []
        self.outcome_counts: Counter[str] = Counter()
        self.not_committed_reasons: Counter[str] = Counter()  # of proposals that were not committed
        self._submitting = 0

    @property
    def idle(self) -> bool:
        return not self.open_proposals and not self._submitting

    async def propose(self, change: int) -> None:
        """Propose the change with this number; returns once a voter has accepted the proposal."""
        await self._submit(change, time.monotonic_ns() // 1000, 0)

    async def _submit(self, change: int, proposed_us: int, tries: int) -> None:
        sizes = self.sizes
        operations = changes.change(change, sizes.seed, sizes.tenants, sizes.routes)
        self._submitting += 1
        try:
            while tries < MAX_TRIES:
                tries += 1
                try:
                    voter, proposal_id = await self.group.propose(operations)
                except AdminCallError:
                    self.outcome_counts["not taken"] += 1
                    await asyncio.sleep(RETRY_DELAY)
                    continue
                self.open_proposals.append(Proposal(change, proposed_us, voter, proposal_id, tries))
                return
            self.outcome_counts["given up"] += 1
        finally:
            self._submitting -= 1

    async def poll_voters(self) -> None:
        """Poll the voters periodically for the outcome of open proposals."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            for voter in {id(each.voter): each.voter for each in self.open_proposals}.values():
                await self._check_voter(voter)

    async def _check_voter(self, voter: ControlProcess) -> None:
        proposals = [each for each in self.open_proposals if each.voter is voter]
        try:
            outcomes = await self.group.outcomes(voter)
        except AdminCallError:
            outcomes = {}
            if voter.child.running:
                return  # suspended or slow: wait for its answer
        now = time.monotonic_ns() // 1000
        for proposal in proposals:
            outcome = outcomes.get(proposal.proposal_id)
            if outcome is None:
                self.open_proposals.remove(proposal)
                self.outcome_counts["proposed anew"] += 1
                await self._submit(proposal.change, proposal.proposed_us, proposal.tries)
            elif outcome.is_final:
                await self._close(proposal, outcome, now)

    async def _close(self, proposal: Proposal, outcome: ProposalOutcome, now: int) -> None:
        """Complete a committed proposal; propose any other change again, as an operator would."""
        self.open_proposals.remove(proposal)
        self.outcome_counts[outcome.state] += 1
        if outcome.state != "committed":
            self.not_committed_reasons[outcome.reason] += 1
            await self._submit(proposal.change, proposal.proposed_us, proposal.tries)
            return
        proposal.outcome, proposal.committed_us = outcome, now
        self.committed_proposals.append(proposal)

    async def propose_initial_table(self) -> int:
        """Propose the initial table change by change and return the last version. Raises ``ProcessError``."""
        last = 0
        for operations in changes.initial_table_changes(self.sizes.tenants, self.sizes.routes):
            voter, proposal_id = await self.group.propose(operations)
            outcome = await self._await(voter, proposal_id)
            if outcome.state != "committed":
                raise ProcessError(f"initial table was not committed: {outcome.state}: {outcome.reason}")
            last = outcome.number
        return last

    async def _await(self, voter: ControlProcess, proposal_id: str) -> ProposalOutcome:
        while True:
            outcome = (await self.group.outcomes(voter)).get(proposal_id)
            if outcome is not None and outcome.is_final:
                return outcome
            await asyncio.sleep(POLL_INTERVAL)

    def with_operator_times(self, decided: dict[int, DecidedVersion]) -> list[DecidedVersion]:
        """Return the decided versions in order, with the proposal and commit times that the operators recorded."""
        found = dict(decided)
        for proposal in self.committed_proposals:
            outcome = proposal.outcome
            if outcome is not None and outcome.number in found:
                found[outcome.number] = replace(
                    found[outcome.number], proposed_at_us=proposal.proposed_us, committed_at_us=proposal.committed_us
                )
        return [found[number] for number in sorted(found)]
