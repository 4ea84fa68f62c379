"""Keep the requests of accounts that wait for slots within the accounts' quotas.

Wires ``routing/account_admission.py`` to the VM's runners, datagrams and timers.
"""

import asyncio

from sesamespring.gateway.generated.ttypes import (
    TokenAsk,
    TokenGift,
    TokensGiven,
    TokensWanted,
)
from sesamespring.gateway.slots.quota_report import QuotaReport
from sesamespring.routing.account_admission import AccountAdmission, Verdict
from sesamespring.routing.lender_asks import SendAsk
from sesamespring.routing.messages import Dispatch, Refusal, RefusalReason
from sesamespring.routing.quotas import QuotaTerms, part_of_network
from sesamespring.routing.token_lender import Ask, Gift

__all__ = ["QuotaGate", "make_quota_gate"]

POLL_INTERVAL_S = 0.01
# A timer that runs out this late shows that this process has been paused, so that
# answers may not have been read yet.
PAUSE_MIN_S = 0.01
AFTER_PAUSE_S = 0.002
EPOCHS_PER_MS_MAX = 1_000_000
_REASONS = {
    Verdict.OVER_QUOTA: RefusalReason.OVER_QUOTA,
    Verdict.UNKNOWN: RefusalReason.QUOTA_UNKNOWN,
}


def make_quota_gate(settings, cluster_state, peers, counters, log):
    """Return the QuotaGate of a VM, or None where the platform knows no quotas."""
    bounds = settings.bounds
    if bounds.quota_window_s is None or settings.callers_address is None:
        return None
    terms = QuotaTerms(bounds.quota_window_s, bounds.quota_overage, bounds.quota_slack)
    report = QuotaReport(counters, log)
    return QuotaGate(terms, settings.internal_address, cluster_state, peers, report)


class QuotaGate:
    """Gives tokens to requests before they enter a queue, and asks lenders for them.

    A request holds its token until it is dispatched. A token is given back if the
    request is refused or withdrawn before, or if its attempt certainly did not run.

    Args:
        terms: The QuotaTerms.
        own_address: Address of this VM, a pair of IP and port.
        cluster_state: The ClusterState.
        peers: The Peers.
        report: The QuotaReport.
    """

    def __init__(self, terms, own_address, cluster_state, peers, report):
        self._cluster_state = cluster_state
        self._peers = peers
        self._report = report
        self._loop = asyncio.get_running_loop()
        self._admission = AccountAdmission(
            terms,
            own_address,
            peers.incarnation * EPOCHS_PER_MS_MAX,
            self._loop.time(),
        )
        self._configuration = None
        self._view = None
        self._addresses = frozenset()
        # By request that is parked: functions to call with it or its Refusal.
        self._parked = {}
        self._timer = None
        peers.set_handler(TokensWanted, self._handle_wanted)
        peers.set_handler(TokensGiven, self._handle_given)

    def update(self, lenders):
        """Take in a change of the configuration or the VMs.

        Args:
            lenders: Function of a service's name that returns the tuple of the
                addresses of its decider and the VM that would be decider next.
        """
        configuration = self._cluster_state.configuration
        if configuration is None:
            return
        now_s = self._loop.time()
        accounts = configuration.accounts or {}
        if configuration is not self._configuration:
            self._configuration = configuration
            self._report.set_accounts(accounts.values())
            names = configuration.services
            self._admission.set_configuration(accounts.values(), names, now_s)
        if not accounts and self._view is None:
            return
        alive = self._peers.alive.values()
        self._addresses = frozenset([member.address for member in alive])
        heard = [m for m in alive if m.callers_port and not m.leaving]
        share = part_of_network(len(heard) + 1, self._peers.known_count)
        orders = {name: lenders(name) for name in configuration.services}
        if (orders, share) != self._view:
            self._view = (orders, share)
            self._admission.set_view(orders, share, now_s)

    def submit(self, request, enter, refuse):
        """Pass a request on once it has a token, or refuse it.

        Args:
            request: The ScheduledRequest.
            enter: Function called with the request, possibly before this returns.
            refuse: Function called with its Refusal, possibly before this returns.
        """
        account = request.account
        if request.tokens or self._admission.tokens.limit(account) is None:
            enter(request)
            return
        decision = self._admission.admit(request, account, self._loop.time())
        if decision.verdict is Verdict.PARKED:
            self._parked[request] = (enter, refuse)
            self._poll_after(0.0)
        else:
            self._decide(decision, enter, refuse)
            self._poll_if_needed()

    def take_extra(self, request):
        """Take a token for a hedge of a request; return whether there was one."""
        if not request.account:
            return True
        return self._admission.take_extra(request.account, self._loop.time())

    def record_command(self, command):
        """Record what a scheduler decided on a request with a token."""
        request = command.request
        if isinstance(command, Refusal):
            self._give_back(request)
        elif isinstance(command, Dispatch) and not command.hedge:
            request.tokens = 0

    def withdraw(self, request):
        """Give back the token of a request that needs no slot any more."""
        if self._parked.pop(request, None) is not None:
            self._admission.withdraw(request, request.account)
        self._give_back(request)

    def not_run(self, account):
        """Give back the token of an attempt that certainly did not run."""
        self._admission.give_back(account, self._loop.time())
        self._poll_if_needed()

    def tick(self):
        """Give back what is not needed; to be called a few times a second."""
        self._admission.tick(self._loop.time())
        self._report.set_lent(self._admission.tokens.buckets)
        self._poll_if_needed()

    def close(self):
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _give_back(self, request):
        if request.tokens:
            request.tokens = 0
            self.not_run(request.account)

    def _decide(self, decision, enter, refuse):
        request = decision.ticket
        if decision.verdict is Verdict.ADMITTED:
            request.tokens = 1
            self._report.admitted(decision.account)
            enter(request)
            return
        limit = self._admission.tokens.limit(decision.account)
        self._report.refused(decision, limit, self._loop.time())
        reason = _REASONS[decision.verdict]
        refuse(Refusal(request, reason, decision.retry_after_s))

    def _poll_if_needed(self):
        if self._admission.needs_poll:
            self._poll_after(POLL_INTERVAL_S)

    def _poll_after(self, delay_s):
        due_s = self._loop.time() + delay_s
        if self._timer is not None:
            if self._timer.when() <= due_s:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due_s, self._poll)

    def _poll(self, may_have_paused=True):
        late_s = self._loop.time() - self._timer.when()
        if may_have_paused and late_s > PAUSE_MIN_S:
            self._timer = self._loop.call_later(AFTER_PAUSE_S, self._poll, False)
            return
        self._timer = None
        self._execute(self._admission.poll(self._loop.time()))
        self._poll_if_needed()

    def _execute(self, outputs):
        for output in outputs:
            if isinstance(output, SendAsk):
                self._peers.send(_encode_wanted(output), output.address)
            else:
                # Absent if it was withdrawn by one of the functions called before.
                functions = self._parked.pop(output.ticket, None)
                if functions is not None:
                    self._decide(output, *functions)
                elif output.verdict is Verdict.ADMITTED:
                    self.not_run(output.account)

    def _handle_wanted(self, message, address):
        if address not in self._addresses:
            return
        asks = [Ask(a.account, a.needed, a.reserve, a.returned) for a in message.asks]
        gifts = self._admission.tokens.answer(
            address,
            message.epoch,
            message.number,
            message.answered,
            asks,
            self._loop.time(),
        )
        if gifts is not None:
            self._peers.send(_encode_given(message, gifts), address)

    def _handle_given(self, message, address):
        gifts = [Gift(g.account, g.tokens, g.due_in_s) for g in message.gifts]
        now_s = self._loop.time()
        epoch, number = message.epoch, message.number
        outputs = self._admission.take_answer(address, epoch, number, gifts, now_s)
        self._execute(outputs)
        if self._admission.needs_poll:
            self._poll_after(0.0)


def _encode_wanted(command):
    asks = [TokenAsk(a.account, a.needed, a.reserve, a.returned) for a in command.asks]
    return TokensWanted(command.epoch, command.number, command.answered, asks)


def _encode_given(message, gifts):
    return TokensGiven(
        message.epoch,
        message.number,
        [TokenGift(g.account, g.tokens, g.due_in_s) for g in gifts],
    )
