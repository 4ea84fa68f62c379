"""Build the simulation of a trace and run it."""

import random

from sesamespring.replay.callers import CALLERS_PER_DATA_CENTRE, Caller
from sesamespring.replay.events import apply_event
from sesamespring.replay.links import Links
from sesamespring.replay.policies import POLICIES
from sesamespring.replay.schedule import Schedule
from sesamespring.replay.tally import Call, Tally
from sesamespring.replay.targets import SimulatedTarget
from sesamespring.replay.vms import SimulatedVm

__all__ = ["Simulation", "replay"]


class Simulation:
    """The simulated callers, entry VMs, targets and links of one replay.

    Args:
        trace: The Trace.
        policy: The Policy, which routes the requests.
        seed: Seed of all random choices of the replay.
    """

    def __init__(self, trace, policy, seed):
        header = trace.header
        self.seed = seed
        self.schedule = Schedule()
        self.links = Links(header)
        self.tally = Tally()
        self.services = {service.name: service for service in header.services}
        self.targets = {
            record.name: self._make_target(record) for record in header.targets
        }
        self.targets_by_service = {
            service: tuple(
                t for t in self.targets.values() if t.record.service == service
            )
            for service in self.services
        }
        self.longest_deadline_s = dict.fromkeys(self.services, 0.0)
        for call in trace.calls:
            deadline_s = call.deadline_ms / 1000
            longest_s = self.longest_deadline_s[call.service]
            self.longest_deadline_s[call.service] = max(longest_s, deadline_s)
        self.vms = {record.name: SimulatedVm(record, self) for record in header.vms}
        self.make_router = policy.make_router_factory(self)
        self.assignment = policy.make_assignment(self)
        self._callers = {
            name: [
                Caller(self, f"{seed} {name} {number}")
                for number in range(CALLERS_PER_DATA_CENTRE)
            ]
            for name in header.data_centres
        }
        self._schedule_trace(trace)

    def run(self):
        """Run until the last deadline of a call and return the Tally."""
        self.assignment.start()
        ends_s = (call.deadline_s for call in self.tally.calls)
        self.schedule.run(max(ends_s, default=0.0))
        return self.tally

    def _make_target(self, record):
        source = random.Random(f"{self.seed} {record.name}")
        return SimulatedTarget(self.schedule, record, source, self.tally)

    def _schedule_trace(self, trace):
        for event in trace.events:
            self.schedule.at(event.at_ms / 1000, apply_event, self, event)
        for number, record in enumerate(trace.calls):
            start_s = record.at_ms / 1000
            call = Call(record, start_s, start_s + record.deadline_ms / 1000)
            self.tally.calls.append(call)
            callers = self._callers[record.data_centre]
            self.schedule.at(start_s, callers[number % len(callers)].start, call)


def replay(trace, policy_name, seed=None):
    """Replay a trace and return its Tally; equal arguments give equal results.

    Args:
        trace: The Trace.
        policy_name: Key of POLICIES.
        seed: Seed of the random choices; by default the one in the trace's header.
    """
    seed = trace.header.seed if seed is None else seed
    return Simulation(trace, POLICIES[policy_name], seed).run()
