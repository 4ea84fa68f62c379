"""Check a replay against the outcomes that its trace states."""

import attrs

from sesamespring.replay.estate import replay
from sesamespring.replay.figures import Window, measure

__all__ = ["Verdict", "check_outcomes"]


@attrs.frozen
class Verdict:
    """Whether one stated outcome was kept.

    Attributes:
        outcome: The OutcomeRecord.
        found: The figure.
        bound: What it is held against, any comparison included.
    """

    outcome: object
    found: float
    bound: float

    @property
    def kept(self):
        """Whether the figure keeps the bound."""
        if self.outcome.at_most is not None:
            return self.found <= self.bound
        return self.found >= self.bound

    def __str__(self):
        outcome = self.outcome
        sign = "<=" if outcome.at_most is not None else ">="
        window = ""
        if outcome.from_ms is not None or outcome.to_ms is not None:
            end = "end" if outcome.to_ms is None else f"{outcome.to_ms:g}"
            window = f"[{outcome.from_ms or 0:g}..{end} ms]"
        state = "kept" if self.kept else "broken"
        figure = f"{outcome.figure}{window}"
        return f"{state}: {figure} {self.found:.4g} {sign} {self.bound:.4g}"


def check_outcomes(trace, policy_name, seed, tally, replays=None):
    """Return a tuple with the Verdict on each stated outcome.

    Args:
        trace: The Trace.
        policy_name: Name of the policy that was replayed.
        seed: Seed that it was replayed with, or None.
        tally: Its Tally.
        replays: Tallies of the same trace and seed by policy name; what is missing
            for a comparison is replayed and added.
    """
    replays = {} if replays is None else replays
    replays[policy_name] = tally

    def tally_of(name):
        if name not in replays:
            replays[name] = replay(trace, name, seed)
        return replays[name]

    return tuple(
        _judge_one(outcome, policy_name, tally_of) for outcome in trace.outcomes
    )


def _judge_one(outcome, policy_name, tally_of):
    found = _figure(outcome.figure, tally_of(policy_name), outcome)
    bound = outcome.at_least if outcome.at_most is None else outcome.at_most
    times = outcome.times
    if times is not None:
        other = tally_of(times.policy or policy_name)
        bound *= _figure(outcome.figure, other, times)
    return Verdict(outcome, found, bound)


def _figure(name, tally, limits):
    to_s = None if limits.to_ms is None else limits.to_ms / 1000
    window = Window((limits.from_ms or 0.0) / 1000, to_s)
    return measure(tally, (name,), window)[name]
