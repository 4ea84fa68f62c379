"""Check the figures of a replay against the outcomes that its trace requires."""

import attrs

from sesamespring.replay.figures import Window, measure
from sesamespring.replay.simulation import replay

__all__ = ["Verdict", "check_outcomes"]


@attrs.frozen
class Verdict:
    """Whether a replay kept one outcome that its trace requires.

    Attributes:
        outcome: The OutcomeRecord.
        found: Value of the figure.
        bound: The bound on it, multiplied by the figure of a comparison, if any.
    """

    outcome: object
    found: float
    bound: float

    @property
    def kept(self):
        """Whether the figure is within the bound."""
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


def check_outcomes(trace, policy_name, seed, tally, tallies=None):
    """Return a tuple with a Verdict for each outcome that the trace requires.

    Args:
        trace: The Trace.
        policy_name: Name of the policy that was replayed.
        seed: Seed that it was replayed with; None for the one in the trace's header.
        tally: The Tally of that replay.
        tallies: Dictionary from policy names to Tallies of the same trace and seed. A
            policy that a comparison needs and that is missing is replayed and added.
    """
    tallies = {} if tallies is None else tallies
    tallies[policy_name] = tally

    def get_tally(name):
        if name not in tallies:
            tallies[name] = replay(trace, name, seed)
        return tallies[name]

    return tuple(
        _check_outcome(outcome, policy_name, get_tally) for outcome in trace.outcomes
    )


def _check_outcome(outcome, policy_name, get_tally):
    found = _measure_figure(outcome.figure, get_tally(policy_name), outcome)
    bound = outcome.at_least if outcome.at_most is None else outcome.at_most
    times = outcome.times
    if times is not None:
        other = get_tally(times.policy or policy_name)
        bound *= _measure_figure(outcome.figure, other, times)
    return Verdict(outcome, found, bound)


def _measure_figure(name, tally, limits):
    to_s = None if limits.to_ms is None else limits.to_ms / 1000
    window = Window((limits.from_ms or 0.0) / 1000, to_s)
    return measure(tally, (name,), window)[name]
