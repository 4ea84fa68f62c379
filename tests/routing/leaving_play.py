"""Play callers and targets of one service in several data centres, in virtual time."""

import collections
import heapq
import itertools
import random

import attrs

from sesamespring.routing.messages import AttemptEnded, Dispatch, Outcome
from sesamespring.routing.records import LoadReport
from tests.routing.support import make_request, make_scheduler, make_target

__all__ = ["Kind", "Place", "Play"]

REPLAN_S = 0.025
PROBE_S = 0.1
# For so long a target stays slower than others.
NOISE_S = 0.3
REJECTION_S = 0.002
# The last slot of a target makes all that run there this much slower.
SATURATED = 1.5


@attrs.frozen
class Kind:
    """A kind of request: its share of all, and what its callers expect."""

    name: str
    share: float = 1.0
    priority: int = 1
    service_time_s: float = 0.15
    goal_s: float = 0.4
    timeout_s: float = 1.6


@attrs.frozen
class Place:
    """A data centre: its targets, its callers and what befalls it.

    Attributes:
        targets: Number of targets.
        per_s: Function of the time that returns the rate of requests.
        slowdown: Function of the time that returns the slowdown of the targets.
        shed: Function of the time that returns the share of attempts that are rejected.
    """

    targets: int
    per_s: object
    slowdown: object = lambda now_s: 1.0
    shed: object = lambda now_s: 0.0


class Play:
    """Requests of all places to a ServiceScheduler.

    Args:
        seed: Seed of arrivals, durations, noise and rejections.
        places: Dict of Place by data centre.
        kinds: The Kinds.
        end_s: Time of the last arrival.
        noise: About the share of targets that are slower by a factor of 4 at any time.
        slots: Slots of each target.
        way_s: Time on the way to another data centre and back.

    Attributes:
        counts: Counter of pairs of data centre or kind, and what came of a request:
            "arrived", "in goal", "late", "refused"; of attempts, "sent" and "left".
            The data centre "all" stands for all of them.
        lefts: List of the time, the request's data centre and whether it left that, for
            each attempt.
    """

    def __init__(
        self, seed, places, kinds, end_s=20.0, noise=0.2, slots=2, way_s=0.001
    ):
        self.counts = collections.Counter()
        self.lefts = []
        self._rng = random.Random(seed)
        self._places = places
        self._kinds = kinds
        self._end_s = end_s
        self._noise = noise
        self._slots = slots
        self._way_s = way_s
        targets = [
            make_target(f"{place}-{number}", place, slots)
            for place, held in places.items()
            for number in range(held.targets)
        ]
        self._place_of = {target.id: target.data_centre for target in targets}
        self._scheduler = make_scheduler(*targets)
        self._running = collections.Counter()
        self._noisy_until_s = dict.fromkeys(self._place_of, 0.0)
        self._events = []
        self._order = itertools.count()
        self._place_of_request = {}

    @property
    def scheduler(self):
        """The ServiceScheduler."""
        return self._scheduler

    def run(self):
        """Play until all requests have ended, and return this Play."""
        for place in self._places:
            self._at(0.0, self._arrive, place)
        self._at(0.0, self._replan)
        self._at(0.0, self._probe)
        while self._events:
            now_s, _, handle, arguments = heapq.heappop(self._events)
            if now_s > self._end_s + 2.0:
                break
            handle(now_s, *arguments)
        return self

    def share(self, subject, what, of="arrived"):
        """Return the share of a data centre's or a kind's requests, or of all."""
        return self.counts[subject, what] / max(1, self.counts[subject, of])

    def left_share(self, place, from_s=0.0, until_s=float("inf")):
        """Return the share of a data centre's attempts that left it in a time."""
        chosen = [
            left
            for at_s, where, left in self.lefts
            if where == place and from_s <= at_s < until_s
        ]
        return sum(chosen) / max(1, len(chosen))

    def _at(self, time_s, handle, *arguments):
        heapq.heappush(self._events, (time_s, next(self._order), handle, arguments))

    def _count(self, request, what):
        place, kind = self._place_of_request[request.number]
        for subject in (place, kind, "all"):
            self.counts[subject, what] += 1

    def _arrive(self, now_s, place):
        per_s = self._places[place].per_s(now_s)
        weights = [kind.share for kind in self._kinds]
        (kind,) = self._rng.choices(self._kinds, weights)
        request = make_request(
            now_s,
            goal_s=kind.goal_s,
            timeout_s=kind.timeout_s,
            route=kind.name,
            priority=kind.priority,
            data_centre=place,
        )
        self._place_of_request[request.number] = (place, kind.name)
        self._count(request, "arrived")
        self._deliver(self._scheduler.submit(request, now_s), now_s)
        if now_s < self._end_s:
            self._at(now_s + self._rng.expovariate(per_s), self._arrive, place)

    def _replan(self, now_s):
        self._deliver(self._scheduler.advance(now_s), now_s)
        self._at(now_s + REPLAN_S, self._replan)

    def _probe(self, now_s):
        for (name, _), state in self._scheduler.targets.states.items():
            turns_slow = self._rng.random() < self._noise * PROBE_S / NOISE_S
            if turns_slow and now_s >= self._noisy_until_s[name]:
                self._noisy_until_s[name] = now_s + NOISE_S
            if len(state.active_attempts) < self._slots:
                self._report(name, state.entry.key, now_s)
        self._at(now_s + PROBE_S, self._probe)

    def _report(self, name, key, now_s):
        load = LoadReport(
            self._running[name], 0, self._slots, self._slowdown(name, now_s)
        )
        self._scheduler.targets.record_load(key, load, None, now_s)

    def _slowdown(self, name, now_s):
        slowdown = self._places[self._place_of[name]].slowdown(now_s)
        return slowdown * (4.0 if now_s < self._noisy_until_s[name] else 1.0)

    def _deliver(self, commands, now_s):
        for command in commands:
            if isinstance(command, Dispatch):
                self._start(command, now_s)
            else:
                self._scheduler.withdraw(command.request)
                self._count(command.request, "refused")

    def _start(self, command, now_s):
        name = command.entry.id
        origin, kind_name = self._place_of_request[command.request.number]
        left = command.entry.data_centre != origin
        for subject in (origin, "all"):
            self.counts[subject, "sent"] += 1
            self.counts[subject, "left"] += left
        self.lefts.append((now_s, origin, left))
        way_s = self._way_s if left else 0.0
        place = self._places[command.entry.data_centre]
        if self._rng.random() < place.shed(now_s):
            outcome, taken_s = Outcome.REJECTED, REJECTION_S + way_s
        else:
            (kind,) = [kind for kind in self._kinds if kind.name == kind_name]
            self._running[name] += 1
            work_s = kind.service_time_s * self._rng.lognormvariate(-0.045, 0.3)
            saturated = SATURATED if self._running[name] >= self._slots else 1.0
            taken_s = work_s * self._slowdown(name, now_s) * saturated + way_s
            outcome = Outcome.ANSWERED
        self._at(now_s + taken_s, self._end, command, outcome, taken_s)

    def _end(self, now_s, command, outcome, taken_s):
        request, name = command.request, command.entry.id
        load = None
        if outcome is Outcome.ANSWERED:
            self._running[name] -= 1
            slowdown = self._slowdown(name, now_s)
            load = LoadReport(self._running[name], 0, self._slots, slowdown)
        if command.attempt not in request.attempts:
            return
        end = AttemptEnded(command.attempt, outcome, taken_s, load)
        self._deliver(self._scheduler.finish_attempt(end, now_s), now_s)
        if outcome is Outcome.ANSWERED:
            self._answer(request, now_s)
            return
        if request.attempts:
            return
        request.attempts_left += 1
        if self._scheduler.may_retry(request, now_s):
            self._deliver(self._scheduler.submit(request, now_s), now_s)
        else:
            self._scheduler.withdraw(request)
            self._count(request, "refused")

    def _answer(self, request, now_s):
        """Let a request end, and the other attempt if it was hedged."""
        self._scheduler.withdraw(request)
        for attempt in tuple(request.attempts):
            end = AttemptEnded(attempt, Outcome.CANCELLED, 0.0)
            self._deliver(self._scheduler.finish_attempt(end, now_s), now_s)
        self._count(request, "in goal" if now_s <= request.due_s else "late")
