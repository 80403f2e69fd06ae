"""The control processes of a scale run (``lemonway control run``), and operator calls to their admin interface."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from ...control.resources import Operation, Put
from .history import DecidedVersion, FinalState
from .http import AdminCallError, call_admin
from .metered import ByteCounts
from .plan import VOTER_COUNT, Role
from .processes import ChildProcess, Ports, ProcessError

POLL_INTERVAL = 0.1  # seconds between status requests
CONTROL_MODULE = "lemonway.kit.scale.metered"
LOG_VERSIONS = {Role.VOTER: 512, Role.RELAY: 64}  # small, so that new nodes and nodes far behind get a snapshot


class ProposalOutcome(msgspec.Struct, frozen=True):
    """State of a proposal as reported by a voter."""

    state: str
    number: int
    reason: str

    @property
    def is_final(self) -> bool:
        return self.state in ("committed", "aborted", "refused", "lost", "unknown")


class ControlProcess:
    """One control process across its restarts."""

    def __init__(self, role: Role, index: int, folder: Path, ports: Ports) -> None:
        self.role, self.index = role, index
        self.name = f"{role.value}{index + 1}"
        self.folder = folder / self.name
        self.folder.mkdir()
        self.watch_port, self.vote_port, self.admin_port = ports.allocate(), ports.allocate(), ports.allocate()
        self.child = ChildProcess(self.name, on_output_line=self._on_output_line)
        self.byte_counts = ByteCounts(0, 0)  # last report of the current incarnation

    @property
    def addresses(self) -> dict[str, str]:
        """Return the addresses of a voter as listed in the configuration files of all control processes."""
        return {
            what: f"127.0.0.1:{port}"
            for what, port in (("vote", self.vote_port), ("watch", self.watch_port), ("admin", self.admin_port))
        }

    def write_file(self, voters: dict[str, dict[str, str]], first: bool) -> Path:
        config: dict[str, Any] = {
            "role": self.role.value,
            "name": self.name,
            "voters": voters,
            "log_versions_most": LOG_VERSIONS[self.role],
        }
        if self.role is Role.VOTER:
            config |= {"disk": str(self.folder / "disk"), "first_start": first}
        else:
            config |= {
                "listen": f"127.0.0.1:{self.watch_port}",
                "admin": f"127.0.0.1:{self.admin_port}",
                "heartbeat_ms": 500,
            }
        path = self.folder / "machine.json"
        path.write_text(json.dumps(config))
        return path

    def _on_output_line(self, line: bytes) -> None:
        self.byte_counts = msgspec.json.decode(line, type=ByteCounts)

    async def status(self) -> dict[str, Any]:
        """Request the status from the admin interface. Raises ``AdminCallError``."""
        status, found = await call_admin(self.admin_port, "GET", "/control")
        if status != 200 or not isinstance(found, dict):
            raise AdminCallError(f"{self.name}: {status}")
        return found


class ControlGroup:
    """All control processes. ``cpus``: cores that they may use; empty for any."""

    def __init__(self, relays: int, folder: Path, ports: Ports, cpus: Sequence[int]) -> None:
        self.cpus = cpus
        self.control_processes = [ControlProcess(Role.VOTER, index, folder, ports) for index in range(VOTER_COUNT)]
        self.control_processes += [ControlProcess(Role.RELAY, index, folder, ports) for index in range(relays)]
        self.voters = {process.name: process.addresses for process in self.with_role(Role.VOTER)}
        self._voter_index = 0  # voter that gets proposals; advanced when it does not answer

    def with_role(self, role: Role) -> list[ControlProcess]:
        return [process for process in self.control_processes if process.role is role]

    @property
    def relay_addresses(self) -> dict[str, str]:
        """Return the addresses that nodes subscribe to, by relay."""
        return {process.name: f"127.0.0.1:{process.watch_port}" for process in self.with_role(Role.RELAY)}

    # processes

    async def start(self, process: ControlProcess, first: bool = False) -> None:
        path = process.write_file(self.voters, first)
        await process.child.start(["-m", CONTROL_MODULE, "control", "run", "--file", str(path)], self.cpus)

    async def start_all(self, first: bool = False) -> None:
        for process in self.control_processes:
            await self.start(process, first)

    async def kill(self, process: ControlProcess) -> None:
        await process.child.kill()

    def suspend(self, process: ControlProcess) -> None:
        """Stop the process with SIGSTOP until ``resume``."""
        process.child.signal(signal.SIGSTOP)

    def resume(self, process: ControlProcess) -> None:
        process.child.signal(signal.SIGCONT)

    async def wait_until_serving(self, timeout: float) -> None:
        """Wait until every control process has a lease. Raises ``ProcessError`` on timeout."""
        end = asyncio.get_running_loop().time() + timeout
        while unready := [each.name for each in self.control_processes if not await self._has_lease(each)]:
            if asyncio.get_running_loop().time() > end:
                raise ProcessError(f"control processes without a lease after {timeout:.0f} s: {', '.join(unready)}")
            await asyncio.sleep(POLL_INTERVAL)

    async def _has_lease(self, process: ControlProcess) -> bool:
        if end_reason := process.child.unexpected_end:
            raise ProcessError(end_reason)
        try:
            return int((await process.status())["lease_us"]) > 0
        except AdminCallError:
            return False

    # operators

    async def propose(self, operations: Iterable[Operation]) -> tuple[ControlProcess, str]:
        """Submit a change to a voter and return the voter and its proposal ID. Raises ``AdminCallError``; the next call
        then uses another voter."""
        voters = self.with_role(Role.VOTER)
        voter = voters[self._voter_index % len(voters)]
        body = json.dumps(
            {
                "put": [
                    {"kind": each.kind, "name": each.name, "value": json.loads(each.value)}
                    for each in operations
                    if isinstance(each, Put)
                ]
            }
        ).encode()
        try:
            status, answer = await call_admin(voter.admin_port, "POST", "/control/propose", body)
            if status != 202:
                raise AdminCallError(f"{voter.name}: {status}: {answer}")
            return voter, str(answer["proposal"])
        except AdminCallError:
            self._voter_index += 1
            raise

    async def outcomes(self, voter: ControlProcess) -> dict[str, ProposalOutcome]:
        """Return the outcomes of all proposals that the voter retains, by ID. Raises ``AdminCallError``."""
        proposals = (await voter.status())["proposals"]
        return msgspec.convert(proposals, dict[str, ProposalOutcome], strict=False)

    async def decided(self) -> dict[int, DecidedVersion]:
        """Return the committed versions retained by all voters that answer, by number. Raises ``ProcessError`` if
        voters disagree on the digest of a version."""
        found: dict[int, DecidedVersion] = {}
        for voter in self.with_role(Role.VOTER):
            try:
                _, answer = await call_admin(voter.admin_port, "GET", "/control/history")
            except AdminCallError:
                continue
            for entry in answer["history"]:
                if not entry["committed"] or not entry["digest"]:
                    continue
                version = DecidedVersion(int(entry["number"]), bytes.fromhex(entry["digest"]))
                if found.setdefault(version.number, version) != version:
                    raise ProcessError(f"{voter.name} decided a different version {version.number} than another voter")
        return found

    async def finals(self) -> list[FinalState]:
        """Return the state of each control process. Raises ``AdminCallError``."""
        return [final_state(await process.status()) for process in self.control_processes]


def final_state(status: dict[str, Any]) -> FinalState:
    """Extract the final state from a status of the admin interface."""
    return FinalState(str(status["name"]), int(status["number"]), str(status["digest"]), str(status["content"]))
