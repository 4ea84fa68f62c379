"""Know what is in force at each entry VM, also at those that are linked to others."""

import asyncio

import attrs

from sesamespring.peers.generated.ttypes import KnownVm, KnownVms, KnownVmsWanted

__all__ = ["InForceEntry", "InForceTask"]


NOTE_INTERVAL_S = 0.25
ANSWERS_WAIT_S = 0.3
KNOWN_VMS_MAX = 2_000
FORGET_AFTER_S = 7 * 24 * 3600.0


@attrs.frozen
class InForceEntry:
    """What is in force at one VM, as far as this VM knows.

    Attributes:
        vm: Name of the VM.
        data_centre: Its data centre.
        version: Version of the configuration there.
        digest: Digest of the declared resources there.
        since_s: Wall clock time since which it is in force, in seconds.
        platform_reachable: Whether the platform answered that VM lately.
        silent_s: Seconds since the VM was last heard of, or None for never.
        live: Whether the VM is heard of now.
    """

    vm: str
    data_centre: str
    version: int
    digest: str
    since_s: float
    platform_reachable: bool
    silent_s: float | None
    live: bool


@attrs.frozen
class _Fact:
    """What was heard of a VM, and when on the event loop's clock."""

    data_centre: str
    version: int
    digest: str
    since_ms: int
    platform_reachable: bool
    reported_s: float


class InForceTask:
    """The task that remembers what each VM reported.

    Args:
        peers: The PeersTask.
        own: Function that returns the Heartbeat of this VM.
        own_name: Name of this VM.
        data_centre: Its data centre.
        timeout_s: Silence after which a VM is not live.
    """

    def __init__(self, peers, own, own_name, data_centre, timeout_s):
        self._peers = peers
        self._own = own
        self._own_name = own_name
        self._data_centre = data_centre
        self._timeout_s = timeout_s
        self._facts = {}
        self._unanswered = set()
        self._answered = asyncio.Event()
        peers.on_message(KnownVmsWanted, self._heard_wanted)
        peers.on_message(KnownVms, self._heard_known)

    async def run(self):
        """Note what peers report until cancelled."""
        while True:
            self._note_peers()
            await asyncio.sleep(NOTE_INTERVAL_S)

    async def query_peers(self):
        """Ask all linked peers for what they know, and wait a little for answers."""
        wanted = KnownVmsWanted(limit=KNOWN_VMS_MAX)
        names = [view.hello.vm for view in self._peers.live_views()]
        self._unanswered = {name for name in names if self._peers.send(name, wanted)}
        if not self._unanswered:
            return
        self._answered.clear()
        try:
            async with asyncio.timeout(ANSWERS_WAIT_S):
                await self._answered.wait()
        except TimeoutError:
            pass

    def entries(self, listed=()):
        """Return an InForceEntry for each VM, this one first.

        Args:
            listed: Iterable of VmRow from the platform; those never heard of are added.
        """
        self._note_peers()
        now_s = asyncio.get_running_loop().time()
        own = self._fact(self._own(0), self._data_centre, now_s)
        entries = [self._entry(self._own_name, own, now_s)]
        for name in sorted(self._facts):
            entries.append(self._entry(name, self._facts[name], now_s))
        known = {entry.vm for entry in entries}
        for vm in listed:
            if vm.name not in known:
                entries.append(
                    InForceEntry(
                        vm.name, vm.data_centre, 0, "", 0.0, False, None, False
                    )
                )
        return entries

    def _note_peers(self):
        for name, view in self._peers.views.items():
            if view.heartbeat is not None and name != self._own_name:
                fact = self._fact(
                    view.heartbeat, view.hello.data_centre, view.last_received_s
                )
                self._note(name, fact)

    def _note(self, name, fact):
        known = self._facts.get(name)
        if known is not None and known.reported_s >= fact.reported_s:
            return
        self._facts[name] = fact
        now_s = asyncio.get_running_loop().time()
        if len(self._facts) > KNOWN_VMS_MAX:
            silent = min(self._facts, key=lambda name: self._facts[name].reported_s)
            del self._facts[silent]
        elif known is None:
            self._forget_before(now_s - FORGET_AFTER_S)

    def _forget_before(self, reported_s):
        old = [
            name for name, fact in self._facts.items() if fact.reported_s < reported_s
        ]
        for name in old:
            del self._facts[name]

    @staticmethod
    def _fact(heartbeat, data_centre, reported_s):
        return _Fact(
            data_centre,
            heartbeat.configuration_version,
            heartbeat.configuration_digest,
            heartbeat.in_force_since_ms,
            heartbeat.platform_reachable,
            reported_s,
        )

    def _entry(self, name, fact, now_s):
        silent_s = max(0.0, now_s - fact.reported_s)
        return InForceEntry(
            vm=name,
            data_centre=fact.data_centre,
            version=fact.version,
            digest=fact.digest,
            since_s=fact.since_ms / 1000,
            platform_reachable=fact.platform_reachable,
            silent_s=round(silent_s, 3),
            live=silent_s < self._timeout_s,
        )

    def _heard_wanted(self, view, wanted):
        now_s = asyncio.get_running_loop().time()
        self._note_peers()
        facts = [item for item in self._facts.items() if item[0] != view.hello.vm]
        facts.sort(key=lambda item: item[1].reported_s, reverse=True)
        vms = [
            KnownVm(
                name,
                fact.data_centre,
                fact.version,
                fact.digest,
                fact.since_ms,
                fact.platform_reachable,
                int((now_s - fact.reported_s) * 1000),
            )
            for name, fact in facts[: max(0, min(wanted.limit, KNOWN_VMS_MAX))]
        ]
        self._peers.send(view.hello.vm, KnownVms(vms))

    def _heard_known(self, view, message):
        now_s = asyncio.get_running_loop().time()
        for vm in message.vms[:KNOWN_VMS_MAX]:
            if vm.vm == self._own_name:
                continue
            fact = _Fact(
                vm.data_centre,
                vm.version,
                vm.digest,
                vm.in_force_since_ms,
                vm.platform_reachable,
                now_s - max(0, vm.silent_ms) / 1000,
            )
            self._note(vm.vm, fact)
        self._unanswered.discard(view.hello.vm)
        if not self._unanswered:
            self._answered.set()
