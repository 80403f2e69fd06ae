"""Policy changes on several real node processes with faults: a change takes effect on all nodes or on none. The
assertions are on a recorded history of what each node served (kit/faults/epochs.py), never on elapsed time."""

from __future__ import annotations

import contextlib
import io
import json
import signal
import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any

from lemonway.kit import cli
from lemonway.kit.faults import policy_day
from lemonway.kit.faults.epochs import PolicyHistory, Probe, Proposed, check
from lemonway.kit.faults.policy_day import PolicyFleet, settings_with
from lemonway.kit.stage import site_settings


class Days(unittest.TestCase):
    def test_days_of_three_and_five_processes_have_no_violation(self) -> None:
        for seed, nodes in ((1, 3), (2, 5)):
            with self.subTest(seed=seed, nodes=nodes):
                history, broken = policy_day.play(seed, nodes, seconds=5.0, changes=5)
                self.assertEqual(
                    broken,
                    [],
                    f"python -m lemonway.kit.faults.policy_day --seed {seed} --nodes {nodes} "
                    f"--seconds 5 --changes 5\n{policy_day.summary(history)}",
                )
                self.assertGreater(sum(p.word == "SERVED" for p in history.probes), 100, "enough probes are served")

    def test_the_check_detects_each_kind_of_violation(self) -> None:
        def history() -> PolicyHistory:
            recorded = PolicyHistory(0.5, committed={1: "mark1", 3: "mark3"}, aborted={2: "n1-1-2"})
            recorded.probes = [
                Probe("n1", "mark0", 0.9, 1.0, "SERVED"),
                Probe("n1", "mark1", 1.9, 2.0, "SERVED"),
                Probe("n2", "mark0", 2.2, 2.3, "SERVED"),
                Probe("n2", "mark3", 2.9, 3.0, "SERVED"),
            ]
            recorded.last = {"n1": "mark3", "n2": "mark3"}
            recorded.proposed = [
                Proposed("mark1", "n1", 1.0, "n1-1-1", "committed"),
                Proposed("mark2", "n1", 1.0, "n1-1-2", "aborted"),
            ]
            return recorded

        self.assertEqual(check(history()), [])
        for act, expected in (
            (lambda h: h.probes.append(Probe("n2", "mark2", 2.5, 2.6, "SERVED")), "never committed"),
            (lambda h: h.probes.append(Probe("n3", "mark1", 3.6, 3.7, "SERVED")), "was in force elsewhere"),
            (lambda h: h.probes.append(Probe("n2", "mark1", 3.1, 3.2, "SERVED")), "went back"),
            (lambda h: h.last.update(n1="mark1"), "at the end, not mark3"),
            (lambda h: h.last.update(n1=""), "serves nothing"),
            (lambda h: setattr(h.proposed[1], "state", "committed"), "and it is not"),
            (lambda h: setattr(h.proposed[0], "state", "lost"), "and it is committed"),
            (lambda h: setattr(h.proposed[1], "state", "deciding"), "still deciding"),
            (lambda h: h.conflicts.append("epoch 1 has two decisions"), "two decisions"),
        ):
            recorded = history()
            act(recorded)
            self.assertTrue(any(expected in line for line in check(recorded)), expected)


class Cases(unittest.TestCase):
    def fleet(self, count: int = 3, own: dict[str, Any] | None = None, **policy: Any) -> PolicyFleet:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = PolicyFleet(count, Path(folder.name), policy=policy)
        self.addCleanup(fleet.close)
        fleet.own_settings |= own or {}
        fleet.start()
        fleet.wait_until(lambda: fleet.all_serve("mark0"), step=0.02)
        return fleet

    def deciding(self, fleet: PolicyFleet, proposal: Proposed) -> None:
        """Wait until every live node has accepted the change and its epoch number is being decided."""
        fleet.wait_until(lambda: not fleet.is_settled(proposal) and proposal.state == "deciding", step=0.02)

    def wait_for_lost_votes(self, fleet: PolicyFleet, *names: str) -> None:
        """Wait until each of these nodes has voted and its vote was dropped on a link."""

        def lost(name: str) -> bool:
            links = [proxy for (sender, _), proxy in fleet.net.proxies.items() if sender == name]
            return any(proxy.rules.counts.get("dropped", 0) for proxy in links)

        fleet.wait_until(lambda: all(map(lost, names)), step=0.02)

    def finish_and_check(self, fleet: PolicyFleet) -> None:
        self.assertEqual(fleet.finish(), [])

    def ready(self, fleet: PolicyFleet, *names: str) -> list[bool]:
        return [fleet.nodes[name].call_admin("/ready") == 200 for name in names]

    def test_a_change_takes_effect_on_all_nodes(self) -> None:
        fleet = self.fleet(5)
        proposal = fleet.propose("n3")
        self.assertEqual(fleet.wait_for_outcome(proposal), "committed")
        fleet.wait_until(lambda: fleet.all_serve("mark1"), step=0.02)
        status = [fleet.nodes[name].status("policy") for name in fleet.names]
        self.assertEqual({(row["epoch"], row["change"], row["by"]) for row in status}, {(1, proposal.ident, "n3")})
        self.finish_and_check(fleet)

    def test_a_proposer_killed_after_the_check_and_before_the_commit_has_no_effect(self) -> None:
        for kinds, want in (({b"eprep"}, "mark0"), ({b"eacc"}, "mark0")):
            fleet = self.fleet()
            fleet.net.drop_kinds({"n1"}, kinds)
            proposal = fleet.propose("n1")
            self.deciding(fleet, proposal)
            fleet.kill("n1")
            fleet.run_for(1.0)
            self.assertTrue(fleet.all_serve(want, ["n2", "n3"]), kinds)
            after = fleet.propose("n2")
            self.assertEqual(
                fleet.wait_for_outcome(after), "committed", "the abandoned proposal does not block later ones"
            )
            fleet.restart("n1")
            self.finish_and_check(fleet)

    def test_a_proposer_killed_once_a_majority_has_accepted_has_its_change_finished_by_others(self) -> None:
        fleet = self.fleet()
        fleet.net.drop_kinds({"n2", "n3"}, {b"eaccd"})  # they vote, but their votes do not reach the proposer
        proposal = fleet.propose("n1")
        self.deciding(fleet, proposal)
        self.wait_for_lost_votes(fleet, "n2", "n3")
        fleet.kill("n1")
        fleet.net.clear_faults()
        fleet.wait_until(lambda: fleet.all_serve("mark1", ["n2", "n3"]), step=0.02)
        fleet.restart("n1")  # with its old settings file
        fleet.wait_until(lambda: fleet.all_serve("mark1"), step=0.02)
        self.finish_and_check(fleet)

    def test_a_minority_stops_serving_within_the_lease_while_the_majority_changes_the_epoch(self) -> None:
        fleet = self.fleet(5)
        pairs = fleet.net.isolate({"n1", "n2"})
        proposal = fleet.propose("n4")
        self.assertEqual(fleet.wait_for_outcome(proposal), "committed")
        fleet.wait_until(lambda: fleet.all_serve("mark1", ["n3", "n4", "n5"]), step=0.02)
        fleet.wait_until(lambda: not any(self.ready(fleet, "n1", "n2")), step=0.02)
        refused = fleet.ask("n1", "k")
        assert refused is not None
        fleet.wait_for_answers()
        self.assertEqual((refused.word, int(refused.later) > 0), ("REFUSED", True))
        self.assertIn("no majority", fleet.nodes["n1"].status("policy")["why_not"])
        late_proposal = fleet.propose("n1")
        self.assertEqual(fleet.wait_for_outcome(late_proposal), "refused")
        fleet.net.heal(pairs)
        fleet.wait_until(lambda: fleet.all_serve("mark1"), step=0.02)
        self.finish_and_check(fleet)

    def test_a_partition_in_the_middle_of_a_commit(self) -> None:
        fleet = self.fleet(5)
        fleet.net.drop_kinds({"n3", "n4", "n5"}, {b"eaccd"})
        proposal = fleet.propose("n1")
        self.deciding(fleet, proposal)
        self.wait_for_lost_votes(fleet, "n3", "n4", "n5")
        fleet.net.isolate({"n1", "n2"})  # the proposer has two votes of five; the other three were cast but lost
        fleet.net.drop_kinds({"n3", "n4", "n5"}, set())
        fleet.wait_until(lambda: fleet.all_serve("mark1", ["n3", "n4", "n5"]), step=0.02)
        fleet.wait_until(lambda: not any(self.ready(fleet, "n1", "n2")), step=0.02)
        fleet.net.clear_faults()
        self.assertEqual(fleet.wait_for_outcome(proposal), "committed")
        self.finish_and_check(fleet)

    def test_a_node_paused_during_a_change_does_not_serve_the_old_epoch_after_it_resumes(self) -> None:
        fleet = self.fleet()
        fleet.nodes["n3"].signal(signal.SIGSTOP)
        proposal = fleet.propose("n1")
        self.assertEqual(fleet.wait_for_outcome(proposal), "committed", "a silent node counts as gone")
        fleet.wait_until(lambda: fleet.all_serve("mark1", ["n1", "n2"]), step=0.02)
        fleet.run_for(fleet.changes.bound)
        fleet.nodes["n3"].signal(signal.SIGCONT)
        fleet.wait_until(lambda: fleet.all_serve("mark1"), step=0.02)
        self.finish_and_check(fleet)

    def test_a_restarted_node_adopts_the_policy_in_force_before_it_accepts_requests(self) -> None:
        fleet = self.fleet()
        fleet.kill("n3")
        proposal = fleet.propose("n1")
        self.assertEqual(fleet.wait_for_outcome(proposal), "committed")
        fleet.restart("n3")
        fleet.wait_until_ready(fleet.nodes["n3"])
        process = fleet.nodes["n3"].process
        assert process is not None
        self.assertTrue(
            any("goes before this node's own file in" in line and "lanes" in line for line in process.lines)
        )
        fleet.wait_until(lambda: fleet.all_serve("mark1"), step=0.02)
        self.finish_and_check(fleet)

    def test_a_change_that_one_node_cannot_apply_is_aborted_on_all_nodes(self) -> None:
        own = settings_with("mark0", patch=False)
        longer = json.loads(json.dumps(own))
        longer["familyInfo"]["classCalls"] = [False] * 5
        for each in (own["familyInfo"], longer["familyInfo"]):
            del each["classSkipWorth"]
        del own["familyInfo"]["classCalls"]
        fleet = self.fleet(3, {"n1": own, "n2": own, "n3": longer})
        patch = settings_with("mark1", patch=True)
        del patch["familyInfo"]
        patch["lanes"].append({**patch["lanes"][0], "name": "sixth"})
        proposal = fleet.propose("n1", "mark1", patch)
        self.assertEqual(fleet.wait_for_outcome(proposal), "aborted")
        self.assertEqual(proposal.reason, "n3: settings: familyInfo.classCalls has 5 values for 6 lanes")
        fleet.wait_until(
            lambda: all(fleet.nodes[name].status("policy")["decided"] == 1 for name in fleet.names), step=0.02
        )
        rows = [fleet.nodes[name].status("policy") for name in fleet.names]
        self.assertEqual({(row["epoch"], row["history"][0]["reason"]) for row in rows}, {(0, proposal.reason)})
        self.finish_and_check(fleet)

    def test_a_fleet_restores_its_policy_from_disk_after_a_power_loss(self) -> None:
        fleet = self.fleet(3, state="epochs.state")
        self.assertEqual(fleet.wait_for_outcome(fleet.propose("n1")), "committed")
        fleet.wait_until(lambda: fleet.all_serve("mark1"), step=0.02)
        for name in fleet.names:
            fleet.kill(name)
        for name in ("n1", "n2"):  # a majority is enough
            fleet.restart(name)
        fleet.wait_until(lambda: fleet.all_serve("mark1", ["n1", "n2"]), step=0.02)
        fleet.restart("n3")
        self.finish_and_check(fleet)

    def test_without_disks_a_lost_majority_waits_for_all_nodes_and_a_lost_fleet_for_an_operator(self) -> None:
        fleet = self.fleet(3)
        self.assertEqual(fleet.wait_for_outcome(fleet.propose("n1")), "committed")
        fleet.wait_until(lambda: fleet.all_serve("mark1"), step=0.02)
        for name in ("n1", "n2"):
            fleet.kill(name)
        fleet.restart("n1")
        fleet.wait_until(lambda: bool(fleet.nodes["n1"].admin) and fleet.nodes["n1"].router is not None)
        fleet.run_for(0.5)
        self.assertEqual(self.ready(fleet, "n1", "n3"), [False, False])
        self.assertIn("lost its memory", fleet.nodes["n1"].status("policy")["why_not"])
        fleet.restart("n2")
        fleet.wait_until(lambda: fleet.all_serve("mark1"), step=0.02)
        self.assertEqual(fleet.finish(), [])
        for name in fleet.names:
            fleet.kill(name)
        for name in fleet.names:
            fleet.restart(name)
        fleet.wait_until(lambda: all(node.router is not None for node in fleet.nodes.values()))
        fleet.run_for(1.0)
        self.assertEqual(self.ready(fleet, *fleet.names), [False] * 3, "no node knows which policy was in force")
        for name in fleet.names:
            fleet.kill(name)
            fleet.nodes[name].start_count = 0  # writes first_start into its file
        for name in fleet.names:
            fleet.restart(name)
        for name in fleet.names:
            fleet.wait_until_ready(fleet.nodes[name])

    def test_of_two_concurrent_proposals_the_loser_is_reported(self) -> None:
        fleet = self.fleet(5)
        both = [fleet.propose("n1"), fleet.propose("n5")]
        states = sorted(fleet.wait_for_outcome(proposal) for proposal in both)
        # Both are committed if one was proposed after the other.
        self.assertIn(states, (["committed", "lost"], ["committed", "committed"]))
        if "lost" in states:
            lost = next(proposal for proposal in both if proposal.state == "lost")
            self.assertIn("proposed at", lost.reason)
        self.finish_and_check(fleet)

    def test_an_operator_can_abort_an_uncommitted_change(self) -> None:
        fleet = self.fleet()
        fleet.net.drop_kinds({"n1"}, {b"eprep"})  # no node has voted for it
        proposal = fleet.propose("n1")
        self.deciding(fleet, proposal)
        fleet.net.drop_kinds({"n1"}, set())
        self.assertEqual(self.command(fleet, "abort", "n1")[0], 0)
        self.assertEqual(fleet.wait_for_outcome(proposal), "aborted")
        code, out, err = self.command(fleet, "abort", "n1")
        self.assertEqual((code, "none was left undecided" in err), (2, True))
        self.finish_and_check(fleet)

    def test_a_sighup_does_not_override_the_fleets_policy_with_the_nodes_file(self) -> None:
        fleet = self.fleet()
        fleet.wait_for_outcome(fleet.propose("n1"))
        fleet.wait_until(lambda: fleet.all_serve("mark1"), step=0.02)
        node = fleet.nodes["n2"]
        assert node.process is not None
        seen = len(node.process.lines)
        node.signal(signal.SIGHUP)
        lines = node.process.lines
        fleet.wait_until(lambda: any("SIGHUP: pool" in line for line in lines[seen:]))
        fleet.run_for(0.3)
        self.assertEqual(fleet.prober.serving("n2"), "mark1", "the file has mark0, the fleet's policy mark1")
        self.finish_and_check(fleet)

    def command(self, fleet: PolicyFleet, what: str, name: str, *more: str) -> tuple[int, str, str]:
        """Run the operators' command on a thread while the links keep working; returns exit code, stdout and stderr."""
        out, err, codes = io.StringIO(), io.StringIO(), list[int]()

        def run() -> None:
            try:
                at = f"127.0.0.1:{fleet.nodes[name].admin}"
                cli.main(["policy", what, "--node", at, *more], standalone_mode=False)
                codes.append(0)
            except SystemExit as end:
                codes.append(int(end.code or 0))

        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            thread = threading.Thread(target=run)
            thread.start()
            fleet.wait_until(lambda: not thread.is_alive())
        return codes[0], out.getvalue(), err.getvalue()

    def test_the_policy_command(self) -> None:
        fleet = self.fleet()
        good = fleet.folder / "good.json"
        good.write_text(json.dumps({"settings": settings_with("mark1", patch=True)}))
        fleet.prober.marks.append("mark1")
        fleet.changes.proposed.append(proposal := Proposed("mark1", "n2", 0.0))
        code, out, _ = self.command(fleet, "propose", "n2", str(good), "--json")
        found = json.loads(out)
        proposal.ident, proposal.state = found["proposal"], found["state"]
        self.assertEqual((code, found["state"], found["epoch"]), (0, "committed", 1))
        code, out, _ = self.command(fleet, "status", "n1", "--json")
        nodes = json.loads(out)["nodes"]
        self.assertEqual((code, sorted(nodes), nodes["n2"]["alive"]), (0, ["n1", "n2", "n3"], True))
        self.assertIn("epoch 1 in force", self.command(fleet, "status", "n1")[1])
        lanes_without_value = site_settings()["lanes"]
        del lanes_without_value[0]["worth"]
        for text, expected in (
            ("{", "truncated"),
            ('{"settings": {"familyInfo": {"cores": 1}}}', "each machine's own"),
            ('{"setings": {}}', "setings"),
            ('{"settings": {}}' + " " * 100_000, "413"),
            (json.dumps({"settings": {"lanes": lanes_without_value}}), "lanes.0.worth: missing"),
        ):
            bad = fleet.folder / "bad.json"
            bad.write_text(text)
            code, _, err = self.command(fleet, "propose", "n2", str(bad))
            self.assertEqual((code, err.count("\n")), (2, 1), text[:40])
            self.assertIn(expected, err)
        bad.write_text('{"settings": {"lanes": []}}')
        code, out, _ = self.command(fleet, "propose", "n2", str(bad))
        self.assertEqual((code, "refused: n2: settings: " in out), (1, True), "the node's own check rejects it")
        code, _, err = self.command(fleet, "status", "n1", "--node", "127.0.0.1:1")
        self.assertEqual(code, 2)
        self.finish_and_check(fleet)


if __name__ == "__main__":
    unittest.main()
