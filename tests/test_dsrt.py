"""The mechanism of the paper: spaced, capped promises; none for marked retries; the fullness test."""

from __future__ import annotations

from hypothesis import HealthCheck, given
from hypothesis import settings as profile
from hypothesis import strategies as st
from world import World, settings

from lemonway import Policy, Settings
from lemonway.brain import PROMISES
from lemonway.interface import (
    Action,
    Admit,
    Advice,
    Arrival,
    Finished,
    Halt,
    Lane,
    Outcome,
    Refuse,
    Woken,
)

LANE = Lane("read", aim=1000.0, deadline=4000.0)


def server(cores: int = 1, lane: Lane = LANE) -> Policy:
    """A full server that completes one run each 100 ms a core."""
    policy = Policy(Settings(lanes=[lane], cores=cores, meters=("cpu_busy",), max_retry_after=5000.0), 1)
    now = 0.0
    for n in range(60):
        policy.step(now, [Arrival(1_000_000 + n, work=100.0, remaining=4000.0)])
        now += 100.0 / cores
        policy.step(now, [Finished(1_000_000 + n, 100.0, Outcome.OK)])
    policy.step(now, [Arrival(n, work=100.0, remaining=4000.0) for n in range(1, 30)])
    policy.step(now, [Woken(1, (1.0,))])
    return policy


def refusals(actions: list[Action]) -> list[Refuse]:
    return [a for a in actions if isinstance(a, Refuse)]


def test_promises_are_spaced_x_apart_past_the_last_one() -> None:
    policy = server()
    policy.promises.clear()
    got = refusals(policy.step(policy.now, [Arrival(500 + n, 0, 0, 0, 4000.0, 100.0) for n in range(3)]))
    times = [r.retry_after for r in got]
    assert len(times) == 3 and times[0] > 0
    assert abs(times[1] - 2 * times[0]) < 1e-6 and abs(times[2] - 3 * times[0]) < 1e-6
    assert abs(times[0] - policy.gap) < 1e-6


def test_open_promises_are_capped_and_then_refusals_are_plain() -> None:
    policy = server()
    policy.promises.clear()
    got = refusals(policy.step(policy.now, [Arrival(500 + n, 0, 0, 0, 4000.0, 100.0) for n in range(40)]))
    promised = [r for r in got if r.retry_after > 0]
    horizon = 1000.0 - 100.0 * policy.slow
    assert 0 < len(promised) <= horizon // policy.gap
    assert len(promised) < len(got)
    assert all(r.retry_after <= horizon + 1e-6 for r in promised)


def test_a_marked_retry_gets_no_second_promise() -> None:
    policy = server()
    policy.promises.clear()
    got = refusals(policy.step(policy.now, [Arrival(500, work=100.0, remaining=4000.0, retry=True)]))
    assert [r.retry_after for r in got] == [0.0]
    assert not policy.promises


def test_promises_close_when_due() -> None:
    policy = server()
    held = list(policy.promises)
    policy.now = max(held, default=policy.now) + 1.0
    policy.step(policy.now, [Arrival(700, work=100.0, remaining=4000.0)])
    assert all(at > policy.now for at in policy.promises)


def test_nothing_completed_means_no_promise() -> None:
    policy = Policy(Settings(lanes=[LANE], meters=("cpu_busy",)), 1)
    got = refusals(policy.step(0.0, [Arrival(n, work=300.0, remaining=4000.0) for n in range(1, 20)]))
    assert got and all(r.retry_after == 0 for r in got)


def test_a_server_with_room_runs_what_comes() -> None:
    policy = Policy(Settings(lanes=[LANE], cores=2), 1)
    actions = policy.step(0.0, [Arrival(1, work=10.0), Arrival(2, work=10.0, retry=True)])
    assert {a.id for a in actions if isinstance(a, Admit)} == {1, 2}


def test_full_by_the_gauge_and_by_the_least_wait() -> None:
    policy = Policy(Settings(lanes=[LANE], meters=("cpu_busy",)), 1)
    policy.step(0.0, [Arrival(1, work=10.0), Arrival(2, work=10.0)])
    assert not policy.full()
    policy.step(50.0, [Woken(1, (1.0,))])
    assert policy.full()
    slow = Policy(Settings(lanes=[LANE], cores=1, crowd=1.0, meters=("cpu_busy",)), 1)
    slow.step(0.0, [Arrival(1, work=10.0), Arrival(2, work=10.0, remaining=4000.0)])
    for n in range(1, 24):
        slow.step(n * 50.0, [Woken(1, (0.1,))])
        if n * 50.0 > 550.0 and slow.jobs.get(2):
            break
    assert slow.least_wait == min(w for _, w in slow.waits) <= 1000.0
    slow.least_wait = 501.0
    assert slow.full()


def test_the_cap_rises_while_cores_stand_free_and_falls_back_to_the_cores() -> None:
    policy = Policy(Settings(lanes=[LANE], cores=2, crowd=6.0, meters=("cpu_busy",)), 1)
    policy.step(0.0, [Arrival(n, work=10.0) for n in range(1, 12)])
    policy.step(50.0, [Woken(1, (0.4,))])
    policy.step(100.0, [Woken(1, (0.4,))])
    assert policy.cap > 2
    for n in range(20):
        policy.step(150.0 + n, [Woken(1, (1.0,))])
    assert policy.cap == 2


@profile(max_examples=25, derandomize=True, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 2**32), st.sampled_from([1, 2, 5]), st.sampled_from([2.0, 6.0]), st.booleans())
def test_every_retry_after_is_a_capped_promise(seed: int, cores: int, load: float, fresh: bool) -> None:
    """Spaced past the open ones; nothing else sets one, not even drowned in unread requests."""
    world = World(settings(Halt.DROP, False, fresh, cores, Advice.OFF), seed)
    world.play(300, load)
    returns: list[float] = []
    for now, action in world.log:
        if isinstance(action, Refuse) and action.retry_after > 0:
            assert not world.book[action.id].arrival.retry
            still_open = [at for at in returns if at > now]
            assert all(now + action.retry_after > at for at in still_open)
            assert len(still_open) < PROMISES * cores
            returns.append(now + action.retry_after)


def test_a_drowned_server_that_completed_nothing_refuses_plainly() -> None:
    policy = Policy(Settings(lanes=[LANE], cores=1), 1)
    got: list[Refuse] = []
    for n in range(1, 60):
        got += refusals(policy.step(n * 1.0, [Arrival(n, remaining=3000.0, work=400.0, age=600.0)]))
    assert policy.idle.lag > 500.0 and len(got) > 20
    assert all(r.retry_after == 0 for r in got)
