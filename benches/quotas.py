"""Measure the time that quotas take for one request, by number of accounts.

The lowest median of several rounds counts, as other processes on the machine can only
add time.
"""

import argparse
import random
import statistics
import time

from sesamespring.routing.account_admission import AccountAdmission
from sesamespring.routing.quotas import QuotaTerms
from sesamespring.routing.records import Account

__all__ = ["main"]

ACCOUNT_COUNTS = (1, 72, 5000)
SERVICES = ("a", "b", "c", "d")
TERMS = QuotaTerms(5.0, 0.1, 20.0)
REQUESTS = 20_000
ROUNDS = 5
STEP_S = 0.001


def admission_with(accounts, own):
    """Return the AccountAdmission of the lender of all accounts, or of another VM."""
    admission = AccountAdmission(TERMS, own, 1, 0.0)
    admission.set_configuration(accounts, SERVICES, 0.0)
    admission.set_view(dict.fromkeys(SERVICES, ("lender", "next")), 1.0, 0.0)
    return admission


def median_us(admission, names, seed):
    """Return the median time to decide on a request, in microseconds."""
    rng = random.Random(seed)
    now_s = 0.0
    taken_ns = []
    for ticket in range(REQUESTS):
        now_s += STEP_S
        name = rng.choice(names)
        start_ns = time.perf_counter_ns()
        admission.admit(ticket, name, now_s)
        taken_ns.append(time.perf_counter_ns() - start_ns)
        admission.withdraw(ticket, name)
    return statistics.median(taken_ns) / 1000


def main(arguments):
    """Print a table and return 0."""
    argparse.ArgumentParser(prog="bench quotas").parse_args(arguments)
    print("accounts  case       median us")
    for count in ACCOUNT_COUNTS:
        names = [f"account-{number}" for number in range(count)]
        cases = {
            "unlimited": ("lender", 0.0, 0.0),
            "lender": ("lender", 1e6, 1e6),
            "refused": ("lender", 1e-3, 0.0),
            "parked": ("other", 1e6, 1e6),
        }
        for case, (own, rate_per_s, burst) in cases.items():
            accounts = [Account(name, None, rate_per_s, burst) for name in names]
            rounds = [
                median_us(admission_with(accounts, own), names, seed)
                for seed in range(ROUNDS)
            ]
            print(f"{count:8}  {case:10} {min(rounds):8.2f}")
    return 0
