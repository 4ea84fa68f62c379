"""Test loans of slots between entry VMs."""

import pytest

from sesamespring.decisions.lending import LOAN_AGE_MAX_S
from sesamespring.decisions.messages import (
    AttemptResult,
    HeldTarget,
    HeldTargetsChanged,
    LoanReturned,
    Peer,
    PeerMessage,
    PeersChanged,
    RequestArrived,
    SendAttempt,
    SendToPeer,
    SlotLent,
    SlotsWanted,
    Tick,
)
from sesamespring.decisions.router import ServiceRouter

TIMEOUT_S = 1.0


def make_lender(**held):
    lender = ServiceRouter(10, longest_work_s=TIMEOUT_S, first_loan_id=1)
    held = {"slots": 1} | held
    target = HeldTarget("t", cold_slots=1, local=True, **held)
    lender.handle(HeldTargetsChanged((target,)), 0.0)
    return lender


def request_slots(lender, now_s, count=1):
    request = SlotsWanted(1, count, TIMEOUT_S)
    return lender.handle(PeerMessage("b", request), now_s)


@pytest.fixture
def borrower():
    router = ServiceRouter(10, longest_work_s=TIMEOUT_S)
    router.handle(PeersChanged((Peer("a", False),)), 0.0)
    return router


def borrow(borrower, arrived_s, lent_s):
    arrival = RequestArrived(1, arrived_s + TIMEOUT_S, True, True)
    (request,) = borrower.handle(arrival, arrived_s)
    loan = SlotLent(7, "t", request.body.sequence)
    return borrower.handle(PeerMessage("a", loan), lent_s)


def test_a_loan_serves_a_waiting_request(borrower):
    sent = borrow(borrower, 0.0, 0.01)[0]
    assert isinstance(sent, SendAttempt)
    assert sent.target == "t"
    assert sent.send_by_s == LOAN_AGE_MAX_S


def test_a_loan_for_an_expired_request_is_returned_unused(borrower):
    commands = borrow(borrower, 0.0, LOAN_AGE_MAX_S + 0.01)
    assert SendToPeer("a", LoanReturned(7, None, 0.0)) in commands
    assert not any(isinstance(command, SendAttempt) for command in commands)


def test_no_slot_is_lent_that_could_be_used_after_the_hold():
    lender = make_lender(valid_until_s=1.0)
    assert request_slots(lender, 1.0 - LOAN_AGE_MAX_S) == []


def test_loans_of_a_cold_target_stay_within_its_cold_slots():
    lender = make_lender(slots=3, cold=True)
    (lent,) = request_slots(lender, 0.0, count=2)
    assert lent.body.target == "t"
    assert lender.handle(RequestArrived(1, TIMEOUT_S, True, True), 0.01) == []
    returned = LoanReturned(lent.body.loan_id, AttemptResult.ANSWERED, 0.1)
    (next_one,) = lender.handle(PeerMessage("b", returned), 0.1)
    assert isinstance(next_one, SendAttempt | SendToPeer)


def test_no_cold_target_is_lent_without_an_exclusive_hold():
    assert request_slots(make_lender(cold=True, usable_when_cold=False), 0.0) == []


def test_a_loan_counts_until_no_request_on_it_can_run():
    lender = make_lender()
    (lent,) = request_slots(lender, 0.0)
    assert lent.body.target == "t"
    lender.handle(RequestArrived(1, 9.0, True, True), LOAN_AGE_MAX_S + 0.9)
    lender.handle(Tick(), LOAN_AGE_MAX_S + TIMEOUT_S - 0.01)
    assert lender.waiting == 1
    lender.handle(Tick(), LOAN_AGE_MAX_S + TIMEOUT_S)
    assert lender.waiting == 0


def test_only_the_borrower_returns_a_loan():
    lender = make_lender()
    request_slots(lender, 0.0)
    answered = AttemptResult.ANSWERED
    lender.handle(PeerMessage("c", LoanReturned(1, answered, 0.1)), 0.1)
    lender.handle(PeerMessage("b", LoanReturned(99, answered, 0.1)), 0.1)
    assert lender.lent == 1
    lender.handle(PeerMessage("b", LoanReturned(1, answered, 0.1)), 0.1)
    assert lender.lent == 0


def test_a_slot_stays_counted_while_a_cut_off_request_may_run():
    lender = make_lender()
    request_slots(lender, 0.0)
    returned = LoanReturned(1, AttemptResult.CUT_OFF, 0.1)
    lender.handle(PeerMessage("b", returned), 0.1)
    lender.handle(RequestArrived(1, 9.0, True, True), 0.5)
    assert lender.waiting == 1
    lender.handle(Tick(), 1.1)
    assert lender.waiting == 0
