"""Every decision of lemonway. Its types, events and actions are in lemonway/interface.py."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heapify, heapreplace
from typing import Any

from . import interface as api
from .interface import Action, Arrival, Effect, Halt, Outcome

SAMPLE = 50.0  # ms between sweeps while work is in hand: well inside any answer grace, cheap in CPU
CPU_HIGH = 0.95  # share of the cores busy from which they count as full (the gauge is a half-second mean)
CROWD_SAFE = 0.6  # share of the crowd that the server survives which running requests may reach
MEMORY_SAFE = 0.92  # share of memory that is used; the rest covers keys and sizes not yet counted
PROMISES = 8.0  # open promises for each core at most (D-hat)
BOUND = 0.5  # share of an aim that the least wait in the hold may reach over a window before it is full
WINDOW = 0.5  # that window, as a share of the shortest aim
LEARN = 0.15  # weight of the newest run in learned times: about the last dozen runs count
STOPPED = 0.5  # weight of a hinted run stopped at its aim: it would have taken longer still
OVERSTAY = 0.75  # share of its expected time that a run is taken to have behind it at most
PREEMPT = 2.0  # times what a run earns from now on that a held request must earn to have it paused
FORGET_MIX = 0.02  # weight of the newest request in shares over many: some fifty count
FIRST_WORK = 0.2  # share of a class's aim taken as its run time before any run has ended
STUCK = 3.0  # a run older than so many times its expected time tells that the server has slowed
ELSEWHERE = 0.3  # share of arrivals tried before (or refused) from which others are taken to be full too
AGED = 0.03  # steps, as a share of a class's deadline, in which waits are told apart
USUAL = 0.2  # share of the arrivals from which a wait is a usual one: callers have a few habits
MARGIN = 1.5  # a held request's run time is stretched so where no hint tells it: half of all take longer
LAG = 0.15  # share of the shortest aim that requests lie unread from which reading itself is drowned
IDLE_SHARE = 0.25  # share of the callers' idle time that unused connections are kept, if callers return in it
IDLE_LEAST = 10.0  # ms, the shortest time to keep one that the wire allows: "close it at once"
CALL_LOST = 2.0  # times the longest of late (FORGET_MIX a call) from which a call is taken to be lost
CALL_PART = 0.5  # share of an aim that a call for a request of the tier above may take
RATE_SPAN = 5000.0  # ms over which the rate of arrivals is learned: a few dozen even at a few a second


class Job:
    """A request in hand, from its reading to its end."""

    __slots__ = ("id", "lane", "kind", "tenant", "came", "due", "aim", "base", "kb", "retry", "state",
                 "since", "spent", "answered", "keyed", "hinted", "ran", "rate", "pausing", "recall",
                 "spacing", "waited", "left", "called")

    def __init__(self, e: Arrival, kind: api.Lane, came: float, due: float, aim: float, base: float) -> None:
        self.id, self.lane, self.kind, self.tenant, self.retry = e.id, e.lane, kind, e.tenant, e.retry
        self.came, self.due, self.aim, self.base, self.kb = came, due, aim, base, e.size_kb
        self.state = "held"  # held, running, paused, stalled (wants a call), calling, replaying
        self.since = self.spent = self.rate = self.recall = self.spacing = self.waited = 0.0
        self.left, self.called = 0.0, 0  # when it came to its last call, and how many it has had
        self.answered = self.ran = self.pausing = False
        self.keyed, self.hinted = kind.effect is Effect.KEYED, e.work is not None


class Policy:
    """The decisions of one server: ``step`` takes what happened and returns what to do."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        s = self.s = settings
        self.now, self.begun, self.out, self.jobs = 0.0, -1.0, list[Action](), dict[int, Job]()
        self.part = CALL_PART if s.tier > 0 else 1.0
        self.aim = min(lane.aim for lane in s.lanes) * self.part
        self.on: dict[type, Callable[[Any], None]] = {
            Arrival: self.arrive, api.Finished: self.finish, api.Woken: self.sample, api.Drain: self.drain,
            api.Abandoned: self.abandon, api.CallNeeded: self.call_needed, api.CallEnded: self.call_ended,
        }
        self.mean = [lane.aim * FIRST_WORK for lane in s.lanes]
        self.slow = 1.0 / s.cold_from if s.fresh_start else 1.0
        self.calls_of = [0.0] * len(s.lanes)  # calls that a run of the class makes
        self.call_time = 0.0  # from its coming to a call until the reply
        self.gap = self.cpu = self.lag = 0.0
        self.last_end = -1.0
        self.usual = [0.0] * (int(1.0 / AGED) + 3)  # share of arrivals by wait, in steps of AGED
        self.tried = self.refused = 0.0
        self.asked, self.served = [lane.worth for lane in s.lanes], [lane.worth for lane in s.lanes]
        self.team_rate, self.team_at = [0.0] * len(s.tenants), [0.0] * len(s.tenants)
        self.promises, self.waits = deque[float](), deque[tuple[float, float]]()
        self.cap = float(s.cores)
        self.told = self.kept = self.storm = -1.0
        self.rate, self.rate_at = 0.0, 0.0  # arrivals a millisecond
        self.ran_keys: dict[int, float] = {}  # id of a try that ran: until when it matters
        self.entries: dict[int, float] = {}  # id with an entry in the table: until when
        self.heirs: dict[int, int] = {}  # id of a held try: the newer one that took its place
        self.calls_mean, self.calls_at, self.lingering = 0.0, 0.0, deque[float]()
        self.call_most = 0.0  # the longest time of late that a call took to come back
        self.grace_end = self.kill = float("inf")
        self.wake_at = -1.0

    def step(self, now: float, events: list[api.Event]) -> list[Action]:
        self.now, self.out = now, []
        if self.begun < 0:
            self.begun = now
            self.out.append(api.SetHealth(True, True))  # answered from store: deep checks cost work
        for e in events:
            self.on[type(e)](e)
        for act in (self.overdue, self.calls, self.plan, self.connections, self.advertise, self.timer):
            act()
        return self.out

    def slowness(self) -> float:
        """Run time over expected work; runs that overstay count before they end (slow, hung)."""
        runs = [j for j in self.jobs.values() if j.state == "running" and not j.answered]
        spent = sum(self.elapsed(j) for j in runs)
        return max(self.slow, spent / sum(j.base for j in runs) / STUCK if runs else 0.0)

    def elapsed(self, j: Job) -> float:
        return j.spent + (self.now - j.since if j.state == "running" else 0.0)

    def learn(self, j: Job, took: float) -> None:
        took = max(took, 0.001)
        self.slow += LEARN * (took / j.base - self.slow)
        # Unhinted, the mean follows run times and `slow` returns to 1: others' bad luck starves no class.
        self.mean[j.lane] += LEARN / 4 * ((j.base if j.hinted else took) - self.mean[j.lane])
        if self.last_end >= 0 and self.running() + 1 >= self.cap:
            gap = self.now - self.last_end
            self.gap = gap if self.gap == 0 else self.gap + LEARN * (gap - self.gap)
        elif self.gap == 0:
            self.gap = took / self.s.cores
        self.last_end = self.now

    def rest(self, j: Job) -> float:
        return max(j.base * self.slow - self.elapsed(j), (1.0 - OVERSTAY) * j.base * self.slow)

    def score_rate(self, j: Job) -> float:
        """What a millisecond of core time on this request adds to the stated mix of worth."""
        s, late = self.s, self.now + self.rest(j) > j.aim
        size = j.base / self.mean[j.lane] if s.worth_by_work else 1.0
        worth = j.kind.worth * size * (j.kind.late_value if late else 1.0)
        if j.tenant < len(s.tenants) and s.tenants[j.tenant].quota > 0:
            rate = self.team_rate[j.tenant] * s.fleet
            inside = min(1.0, s.tenants[j.tenant].quota / rate) if rate > 0 else 1.0
            worth *= inside + (1.0 - inside) * s.over_share_worth
        weight = (s.weight_whole + s.weight_window) / sum(self.asked)
        if j.lane == min(range(len(s.lanes)), key=lambda n: self.served[n] / self.asked[n]):
            weight += s.weight_class / self.asked[j.lane]
        return worth * weight / self.rest(j)

    def account(self, j: Job, good: bool) -> None:
        worth = j.kind.worth * (j.base if self.s.worth_by_work else 1.0)
        for n in range(len(self.asked)):
            mine = worth if n == j.lane else 0.0
            self.asked[n] = max(1e-9, self.asked[n] + FORGET_MIX * (mine - self.asked[n]))
            self.served[n] += FORGET_MIX * (mine * good - self.served[n])

    def first_try_age(self, e: Arrival) -> float:
        """How long ago the first try was. Callers give first tries one of a few shares of the deadline, later
        ones what is left of it: a wait that is not usual among all arrivals here tells the age."""
        if e.remaining is None:
            return e.age
        deadline = self.s.lanes[e.lane].deadline
        share = (e.remaining + e.age) / deadline
        cell = min(int(share / AGED), len(self.usual) - 2)
        self.usual = [w * (1.0 - FORGET_MIX) for w in self.usual]
        self.usual[cell] += FORGET_MIX
        alike = sum(self.usual[max(0, cell - 1) : cell + 2]) >= USUAL * sum(self.usual)
        self.tried += LEARN * ((e.retry or not alike) - self.tried)
        return e.age if alike else max(e.age, deadline - e.remaining)

    def arrive(self, e: Arrival) -> None:
        if e.id in self.jobs:
            raise ValueError(f"request {e.id} arrived twice")
        s, lane = self.s, self.s.lanes[e.lane]
        came = self.now - e.age
        self.lag += LEARN * (e.age - self.lag)
        self.rate += 1.0 / RATE_SPAN - min(1.0, (self.now - self.rate_at) / RATE_SPAN) * self.rate
        self.rate_at = self.now
        base = max(e.work, 0.001) if e.work is not None else self.mean[e.lane]
        due = self.now + e.remaining if e.remaining is not None else max(came + lane.deadline, self.now)
        reach = min(self.part * (lane.aim + lane.aim_stretch * base), lane.deadline)
        j = Job(e, lane, came, due, self.now + reach - self.first_try_age(e), base)
        self.jobs[j.id] = j
        if e.tenant < len(self.team_rate):
            span = 4 * s.max_retry_after
            share = min(1.0, (self.now - self.team_at[e.tenant]) / span)
            self.team_rate[e.tenant] += 1000.0 / span - share * self.team_rate[e.tenant]
            self.team_at[e.tenant] = self.now
        self.repeat(j, e)

    def refuse(self, j: Job, inviting: bool = True) -> None:
        """Turn a request away; by promise if the schedule has room. Never one that has run with an effect."""
        if j.ran and j.kind.effect is not Effect.SAFE:
            return self.answer(j, api.Fail(j.id))
        hopeless = j.aim - self.now < j.base
        after = 0.0 if j.retry or hopeless or not inviting else self.promise(j)
        self.refused += FORGET_MIX * (1.0 - self.refused)
        others = self.tried if self.s.marks_retry else max(self.tried, self.refused)
        self.answer(j, api.Refuse(j.id, after, hopeless or (inviting and others > ELSEWHERE)))

    def answer(self, j: Job, action: Action) -> None:
        if j.answered:
            return
        self.out.append(action)
        j.answered = True
        self.account(j, False)
        self.release(j)

    def release(self, j: Job) -> None:
        """An answered request ends now, or its run is stopped: a run that nobody waits for frees its core."""
        if j.state in ("held", "paused", "replaying"):
            if j.id in self.entries and not j.ran:
                self.out.append(api.Forget(j.id))
                del self.entries[j.id]
            del self.jobs[j.id]
        elif j.state == "running" and self.s.halt is not Halt.OFF:
            self.out.append(api.Suspend(j.id))

    def abandon(self, e: api.Abandoned) -> None:
        j = self.jobs.get(e.id)
        if j is None or j.answered:
            return
        j.answered = True
        self.account(j, False)
        if not (j.keyed and j.state == "running" and self.now < j.came + j.kind.memory_span / 4):
            self.release(j)  # keyed work runs on while a repeat can still take its result

    def finish(self, e: api.Finished) -> None:
        if not (j := self.jobs.pop(e.id, None)):
            return
        if e.outcome is Outcome.MOOT:  # never begun: its key is free again
            self.ran_keys.pop(j.id, None)
            if self.entries.pop(j.id, None):
                self.out.append(api.Forget(j.id))
        if j.pausing and not j.answered and e.outcome is Outcome.CANCELLED:
            j.spent, j.state, j.pausing, self.jobs[j.id] = self.elapsed(j), "paused", False, j
            return
        if not j.answered:
            self.account(j, e.outcome is Outcome.OK and self.now <= j.aim)
        # Runs that called count too (`spent` leaves the calls out): where every class calls, nothing
        # else would ever be learned, and refusals would carry no promise.
        if j.state == "running" and e.outcome is Outcome.OK:
            self.learn(j, self.elapsed(j))
            self.calls_of[j.lane] += LEARN * (j.called - self.calls_of[j.lane])

    def promise(self, j: Job) -> float:
        """The paper's DSRT: x past the last open promise, fewer than min(D-hat, floor(T-hat / x)) open."""
        horizon = min(j.due, j.aim) - self.now - j.base * self.slow  # T-hat
        if self.s.max_retry_after > 0:
            horizon = min(horizon, self.s.max_retry_after)
        if horizon <= 0 or self.gap <= 0 or not self.s.retry_after:
            return 0.0
        x = min(self.gap, horizon)
        while self.promises and self.promises[0] <= self.now:
            self.promises.popleft()
        if len(self.promises) >= min(PROMISES * self.s.cores, horizon // x):
            return 0.0
        at = (self.promises[-1] if self.promises else self.now) + x
        self.promises.append(at)
        return at - self.now

    def running(self) -> int:
        return sum(j.state in ("running", "stalled") for j in self.jobs.values())

    def ceiling(self) -> float:
        """Runs at most: a share of the crowd that a process of this age is sure to survive."""
        s, warm = self.s, 1.0
        if s.fresh_start and s.cold_time > 0:
            warm = min(1.0, s.cold_from + (1 - s.cold_from) * (self.now - self.begun) / s.cold_time)
        return max(1.0, s.cores * (1 + (s.crowd - 1) * warm) * CROWD_SAFE)

    def sample(self, e: api.Woken) -> None:
        """Read the gauges; the cap rises while cores stand free and work waits, else falls to the cores."""
        self.wake_at = -1.0
        gauge = dict(zip(self.s.meters, e.gauges, strict=False))
        self.cpu = gauge.get("cpu_busy", float(self.running() >= self.s.cores))
        held = [j for j in self.jobs.values() if j.state == "held"]
        free = gauge.get("runnable", 0.0) < self.s.cores  # now; the half-second mean lags behind bursts
        if held and free and self.cpu < CPU_HIGH and self.running() >= int(self.cap):
            self.cap = min(self.cap + max(1.0, self.cap / 8), self.ceiling())
        elif self.cpu >= CPU_HIGH:
            self.cap = max(float(self.s.cores), self.cap - 1.0)
        for table in (self.entries, self.ran_keys):
            for key in [k for k, until in table.items() if until <= self.now and k not in self.jobs]:
                del table[key]
        if not held:
            self.heirs.clear()
        self.waits.append((self.now, min((self.now - j.came for j in held), default=0.0)))
        while self.waits[0][0] < self.now - WINDOW * self.aim:
            self.waits.popleft()

    def full(self) -> bool:
        """The design's test: cap reached with CPU high, or the least wait over a window above a bound."""
        crowded = self.running() >= int(self.cap) and self.cpu >= CPU_HIGH
        return crowded or bool(self.waits) and min(w for _, w in self.waits) > BOUND * self.aim

    def fits(self, more: float) -> bool:
        big = self.s.run_factor
        held = sum(j.kb * (1.0 if j.state in ("held", "replaying") else big) for j in self.jobs.values())
        need = held + len(self.entries) * self.s.kb_per_key + more
        return self.s.memory_kb <= 0 or need <= MEMORY_SAFE * self.s.memory_kb

    def plan(self) -> None:
        """Run what fits, oldest first or, when full, by what core time earns; refuse what comes too late."""
        held = [j for j in self.jobs.values() if j.state in ("held", "paused")]
        if not held:
            return
        full, slow, cap = self.full(), self.slowness(), int(min(self.cap, self.ceiling()))
        # A tier that has slowed shows before its calls end; with none in hand nothing is known of it.
        # A call that is taken to be lost tells no more than that.
        gone = [min(self.now - j.left, CALL_LOST * self.call_most)
                for j in self.jobs.values() if j.state in ("stalled", "calling")]
        call = max(self.call_time, sum(gone) / len(gone)) if gone else 0.0
        big = self.s.run_factor
        runs = [j for j in self.jobs.values() if j.state in ("running", "stalled")]
        ends = sorted(self.now + self.rest(j) for j in runs)[-cap:]
        away = sum(j.state == "calling" for j in self.jobs.values())  # they come back by themselves
        free = min(cap, int(self.ceiling() / CROWD_SAFE) - away) - len(runs)
        ends += [self.now] * max(0, cap - len(runs))
        heapify(ends)
        for j in held:
            j.rate = self.score_rate(j)
        # Pausing guards dear short work against cheap or overlong runs ahead of it; harm: memory stays taken.
        if self.s.halt is Halt.PAUSE and free <= 0 and not any(j.pausing for j in runs):
            best = max(held, key=lambda j: (j.rate, -j.id))
            going = [(self.score_rate(j), j.id) for j in runs if j.state == "running" and not j.answered]
            if going and best.rate > PREEMPT * min(going)[0] and self.fits(best.kb * (big - 1)):
                self.jobs[min(going)[1]].pausing = True
                self.out.append(api.Suspend(min(going)[1]))
                heapreplace(ends, self.now)
        full = full or any(j.state == "paused" or j.pausing for j in self.jobs.values())
        held.sort(key=(lambda j: (-j.rate, j.came, j.id)) if full else (lambda j: (0.0, j.came, j.id)))
        for j in held:
            start = ends[0]
            end, keep = start + j.base * slow - j.spent, j.state == "paused"
            away_by = call * self.calls_of[j.lane]
            limit = min(j.due if j.kind.late_value > 0 and not full else j.aim, j.due, self.kill)
            if not (keep and j.keyed) and (limit <= self.now or (j.came > self.grace_end and not keep)):
                self.refuse(j, inviting=False)
            # Hints are rough: on a server that is not full a run that looks too long costs nobody its place.
            # Where calls take long it does: it takes a call that another would end in time with.
            elif free > 0 and (keep or (
                end + away_by <= limit or not full and away_by < BOUND * (j.aim - j.came)
            ) and self.fits(j.kb * (big - 1))):
                free -= 1
                runs.append(j)
                self.run(j)
                heapreplace(ends, end)
            elif keep or start + away_by + (1.0 if j.hinted else MARGIN) * j.base * slow <= limit:
                heapreplace(ends, end)
            else:
                self.refuse(j)
        while not self.fits(0.0):  # memory: the held request that earns least makes room
            if not (spare := [j for j in self.jobs.values() if j.state in ("held", "replaying")]):
                break
            self.refuse(min(spare, key=lambda j: (j.rate, j.id)), inviting=False)

    def run(self, j: Job) -> None:
        self.out.append(api.Admit(j.id))
        self.refused -= FORGET_MIX * self.refused
        j.state, j.since, j.ran = "running", self.now, True
        if j.keyed:
            self.ran_keys[j.id] = j.came + 2 * (j.kind.memory_span + j.kind.deadline)

    def overdue(self) -> None:
        """Answer all that falls due before the next sweep, and stop what can no longer be worth its core."""
        edge = self.now + 2 * self.s.tick
        for j in list(self.jobs.values()):
            lane, limit = j.kind, min(j.due, self.kill - SAMPLE)
            if j.state == "running" and self.s.halt is not Halt.OFF and not j.keyed and lane.late_value <= 0:
                limit = min(limit, j.aim)
            if limit <= edge and not j.answered:
                if j.state == "running":
                    seen = max(0.0, self.elapsed(j) / j.base - self.slow)
                    self.slow += (STOPPED if j.hinted else LEARN) * seen
                if j.state == "replaying" or (j.ran and lane.effect is not Effect.SAFE):
                    self.answer(j, api.Fail(j.id))
                else:
                    self.refuse(j, inviting=False)

    def repeat(self, j: Job, e: Arrival) -> None:
        """Keyed: one run a key. A repeat of what ran takes its result; of what is still held, its place."""
        s, lane, first = self.s, j.kind, e.repeats
        while first in self.heirs:  # tries read together name the same first one, which one of them replaced
            first = self.heirs[first]
        before = self.jobs.get(first) if first else None
        if j.keyed:
            if first in self.ran_keys:
                j.state, j.ran = "replaying", True
                return self.out.append(api.Replay(j.id))
            if before is not None and before is not j and before.state == "held":
                self.heirs[before.id] = j.id
                self.refuse(before, inviting=False)
            ttl = j.came + lane.memory_span + s.tick - self.now  # past the very end of the window
            if not self.fits(s.kb_per_key):
                self.refuse(j)
            elif ttl > 0:
                self.out.append(api.Retain(j.id, ttl))
                self.entries[j.id] = self.now + ttl
        elif s.share_for > 0 and before is not None and before.state == "running":
            j.state = "replaying"
            self.out.append(api.Replay(j.id))

    def call_needed(self, e: api.CallNeeded) -> None:
        if j := self.jobs.get(e.id):
            j.spent, j.state, j.left = self.elapsed(j), "stalled", self.now

    def call_ended(self, e: api.CallEnded) -> None:
        if not (j := self.jobs.get(e.id)):
            return
        j.state, j.since = "running" if e.outcome is Outcome.OK else "stalled", self.now
        if e.outcome is Outcome.OK:
            j.called += 1
            self.call_time += LEARN * (self.now - j.left - self.call_time)
            self.call_most = max(e.duration, (1.0 - FORGET_MIX) * self.call_most)
        j.waited = e.duration if e.outcome is Outcome.TIMED_OUT else 0.0
        if e.outcome is Outcome.TIMED_OUT:
            self.lingering.append(self.now + self.s.call_linger)
        # Guards against calling a declining tier as fast as it can answer: the first new call goes out at
        # once, later ones after a tick, two, four, up to a sweep. Harm: late where the tier has recovered.
        j.recall, j.spacing = self.now + j.spacing, min(SAMPLE, max(self.s.tick, 2.0 * j.spacing))
        known = e.outcome in (Outcome.OK, Outcome.TURNED_AWAY, Outcome.UNREACHABLE, Outcome.MOOT)
        if e.outcome is not Outcome.OK and j.kind.skip_worth > 0:
            self.skip(j)
        elif not known and j.kind.effect is not Effect.SAFE:
            self.answer(j, api.Fail(j.id))

    def skip(self, j: Job) -> None:
        self.out.append(api.SkipCall(j.id))
        j.state, j.since = "running", self.now

    def calls(self) -> None:
        """Calls in hand keep to this server's share, now and in the window's mean; others wait."""
        stalled = sorted((j for j in self.jobs.values() if j.state == "stalled"), key=lambda j: (j.due, j.id))
        while self.lingering and self.lingering[0] <= self.now:
            self.lingering.popleft()
        busy = sum(j.state == "calling" for j in self.jobs.values()) + len(self.lingering)
        part = min(1.0, (self.now - self.calls_at) / self.s.call_window) if self.s.call_window > 0 else 1.0
        self.calls_mean += part * (busy - self.calls_mean)
        self.calls_at = self.now
        share = self.s.call_share if self.s.call_share > 0 else self.s.cores * self.s.crowd
        for j in stalled:
            if j.answered or self.now < j.recall:
                continue
            if busy < max(1.0, share) and self.calls_mean < share:
                wait = min(self.patience(j), j.due - self.now - SAMPLE)
                self.out.append(api.Call(j.id, max(self.s.tick, wait)))
                j.state = "calling"
                busy += 1
            elif j.kind.skip_worth > 0 and self.now + j.base * self.slow > j.aim:
                self.skip(j)

    def patience(self, j: Job) -> float:
        """How long a call may take. Some are lost on the way: one that may run twice is made anew once it
        takes far longer than calls do, then with twice the wait. Harm: a rare long call is begun again."""
        if j.kind.effect is not Effect.SAFE or not self.call_most:
            return j.due - self.now
        return max(2.0 * j.waited, CALL_LOST * self.call_most, 2.0 * SAMPLE)

    def drain(self, e: api.Drain) -> None:
        self.grace_end, self.kill = self.now + self.s.drain_grace, self.now + e.remaining
        self.out.append(api.SetHealth(False, True))

    def connections(self) -> None:
        """Keep idle connections only while the mean caller returns within the time kept: guards against a
        table full of rare callers. Drowned in unread requests it keeps all: opening anew is what drowns it, a
        full table turns strangers back unseen. Harm: busy callers among many idle ones open anew."""
        keep = max(IDLE_LEAST, self.s.caller_idle * IDLE_SHARE)
        if self.lag > LAG * self.aim:
            self.storm = self.now + self.s.caller_idle
        ttl = keep if self.rate * keep > self.s.callers else IDLE_LEAST
        ttl = max(keep, self.s.caller_idle) if self.now < self.storm else ttl
        if self.s.caller_idle > 0 and ttl != self.kept:
            self.kept = ttl
            self.out.append(api.KeepAlive(ttl))

    def advertise(self) -> None:
        """The free value: outstanding requests for each caller, or a chance, by what fits the aim."""
        full, run = self.full(), self.slowness() * sum(self.mean) / len(self.mean)
        value = 0.1 if full else 0.0  # the least rank
        if self.s.advice is api.Advice.TOKENS:
            value = self.cap * (1 + BOUND * self.aim / max(run, 1.0)) / max(1, self.s.callers)
            value = value if full else max(1.0, value)  # a part of one would pass over a free server
        elif self.s.advice is api.Advice.BIAS:
            value = min(1.0, self.s.cores / max(1, len(self.jobs))) if full else 1.0
        if self.s.advice is not api.Advice.OFF and abs(value - self.told) > 0.1 * max(self.told, 0.1):
            self.told = value
            self.out.append(api.Advertise(value))

    def timer(self) -> None:
        """At most one wake-up is out: a sweep while work is in hand, and one before the kill."""
        if self.wake_at < 0 and (self.jobs or self.kill < float("inf")):
            self.wake_at = self.now + SAMPLE
            self.out.append(api.Wake(self.wake_at, 1))
