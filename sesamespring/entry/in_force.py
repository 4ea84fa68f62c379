"""Track which configuration is in force at each entry VM.

VMs that are not linked to this one are known from the reports of linked peers.
"""

import asyncio

import attrs

from sesamespring.peers.generated.ttypes import KnownVm, KnownVms, KnownVmsWanted

__all__ = ["InForceEntry", "InForceTask"]


RECORD_INTERVAL_S = 0.25
REPLIES_TIMEOUT_S = 0.3
KNOWN_VMS_MAX = 2_000
REPORT_EXPIRY_S = 7 * 24 * 3600.0


@attrs.frozen
class InForceEntry:
    """The configuration in force at one VM, as last reported to this VM.

    Attributes:
        vm: Name of the VM.
        data_centre: Data centre of the VM.
        version: Version of the configuration.
        digest: Digest of the declared resources.
        since_s: Wall clock time in seconds at which it came into force.
        platform_reachable: Whether the platform is reachable from the VM.
        silent_s: Age of the report in seconds, or None if there is no report.
        live: Whether the report is more recent than the heartbeat timeout.
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
class _Report:
    """A VM's last known state; ``reported_s`` is on the event loop's clock."""

    data_centre: str
    version: int
    digest: str
    since_ms: int
    platform_reachable: bool
    reported_s: float


class InForceTask:
    """Task that stores the last report of each VM.

    Args:
        peers: The PeersTask.
        make_heartbeat: Function from a sequence number to the Heartbeat of this VM.
        own_name: Name of this VM.
        data_centre: Data centre of this VM.
        timeout_s: Age in seconds at which the last report of a VM counts as too old
            for the VM to be live.
    """

    def __init__(self, peers, make_heartbeat, own_name, data_centre, timeout_s):
        self._peers = peers
        self._make_heartbeat = make_heartbeat
        self._own_name = own_name
        self._data_centre = data_centre
        self._timeout_s = timeout_s
        self._reports = {}
        self._awaited_peers = set()
        self._all_replied = asyncio.Event()
        peers.on_message(KnownVmsWanted, self._on_known_vms_wanted)
        peers.on_message(KnownVms, self._on_known_vms)

    async def run(self):
        """Store the reports in peers' heartbeats until cancelled."""
        while True:
            self._record_peers()
            await asyncio.sleep(RECORD_INTERVAL_S)

    async def query_peers(self):
        """Request the reports that live peers have stored.

        Returns when all have replied, or after REPLIES_TIMEOUT_S.
        """
        wanted = KnownVmsWanted(limit=KNOWN_VMS_MAX)
        names = [view.hello.vm for view in self._peers.live_views()]
        self._awaited_peers = {name for name in names if self._peers.send(name, wanted)}
        if not self._awaited_peers:
            return
        self._all_replied.clear()
        try:
            async with asyncio.timeout(REPLIES_TIMEOUT_S):
                await self._all_replied.wait()
        except TimeoutError:
            pass

    def entries(self, listed=()):
        """Return a list of InForceEntry: this VM first, then the others by name.

        Args:
            listed: Iterable of VmRow; VMs without a report are appended from it.
        """
        self._record_peers()
        now_s = asyncio.get_running_loop().time()
        own = self._make_report(self._make_heartbeat(0), self._data_centre, now_s)
        entries = [self._make_entry(self._own_name, own, now_s)]
        for name in sorted(self._reports):
            entries.append(self._make_entry(name, self._reports[name], now_s))
        reported = {entry.vm for entry in entries}
        for vm in listed:
            if vm.name not in reported:
                entries.append(
                    InForceEntry(
                        vm.name, vm.data_centre, 0, "", 0.0, False, None, False
                    )
                )
        return entries

    def _record_peers(self):
        for name, view in self._peers.views.items():
            if view.heartbeat is not None and name != self._own_name:
                report = self._make_report(
                    view.heartbeat, view.hello.data_centre, view.last_received_s
                )
                self._record(name, report)

    def _record(self, name, report):
        known = self._reports.get(name)
        if known is not None and known.reported_s >= report.reported_s:
            return
        self._reports[name] = report
        now_s = asyncio.get_running_loop().time()
        if len(self._reports) > KNOWN_VMS_MAX:
            oldest = min(self._reports, key=lambda name: self._reports[name].reported_s)
            del self._reports[oldest]
        elif known is None:
            self._drop_reports_before(now_s - REPORT_EXPIRY_S)

    def _drop_reports_before(self, reported_s):
        expired = [
            name
            for name, report in self._reports.items()
            if report.reported_s < reported_s
        ]
        for name in expired:
            del self._reports[name]

    @staticmethod
    def _make_report(heartbeat, data_centre, reported_s):
        return _Report(
            data_centre,
            heartbeat.configuration_version,
            heartbeat.configuration_digest,
            heartbeat.in_force_since_ms,
            heartbeat.platform_reachable,
            reported_s,
        )

    def _make_entry(self, name, report, now_s):
        silent_s = max(0.0, now_s - report.reported_s)
        return InForceEntry(
            vm=name,
            data_centre=report.data_centre,
            version=report.version,
            digest=report.digest,
            since_s=report.since_ms / 1000,
            platform_reachable=report.platform_reachable,
            silent_s=round(silent_s, 3),
            live=silent_s < self._timeout_s,
        )

    def _on_known_vms_wanted(self, view, wanted):
        now_s = asyncio.get_running_loop().time()
        self._record_peers()
        reports = [item for item in self._reports.items() if item[0] != view.hello.vm]
        reports.sort(key=lambda item: item[1].reported_s, reverse=True)
        vms = [
            KnownVm(
                name,
                report.data_centre,
                report.version,
                report.digest,
                report.since_ms,
                report.platform_reachable,
                int((now_s - report.reported_s) * 1000),
            )
            for name, report in reports[: max(0, min(wanted.limit, KNOWN_VMS_MAX))]
        ]
        self._peers.send(view.hello.vm, KnownVms(vms))

    def _on_known_vms(self, view, message):
        now_s = asyncio.get_running_loop().time()
        for vm in message.vms[:KNOWN_VMS_MAX]:
            if vm.vm == self._own_name:
                continue
            report = _Report(
                vm.data_centre,
                vm.version,
                vm.digest,
                vm.in_force_since_ms,
                vm.platform_reachable,
                now_s - max(0, vm.silent_ms) / 1000,
            )
            self._record(vm.vm, report)
        self._awaited_peers.discard(view.hello.vm)
        if not self._awaited_peers:
            self._all_replied.set()
