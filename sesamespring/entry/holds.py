"""Run the hold protocol and pass the targets that this VM holds to the routers.

A hold is a VM's exclusive right, bounded by a lease, to use the slots of a target. The
decisions are made in ``sesamespring.decisions``; this module performs their I/O.
"""

import asyncio

from sesamespring.decisions.groups import Candidate, choose_witnesses
from sesamespring.decisions.hold_manager import HoldManager
from sesamespring.decisions.hold_messages import (
    HoldView,
    PeerMessageReceived,
    PeerProbed,
    PeerState,
    ProbePeer,
    SendToVm,
    Tick,
    Witness,
)
from sesamespring.decisions.messages import HeldTarget
from sesamespring.entry.hold_frames import (
    HOLD_FRAMES,
    frame_to_message,
    message_to_frame,
)
from sesamespring.entry.hold_rows import HoldRows
from sesamespring.entry.session_sweep import sweep_periodically
from sesamespring.logs import get_logger

__all__ = ["HoldsTask"]

logger = get_logger(__name__)

TICK_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.3
FLUSH_S = 0.2


class HoldsTask:
    """Task that owns this VM's session and holds.

    Args:
        settings: The Settings.
        table: The JsonTable.
        peers: The PeersTask.
        services: The Services.
        metrics: The Metrics.
    """

    def __init__(self, settings, table, peers, services, metrics):
        self._settings = settings
        self._peers = peers
        self._services = services
        self._metrics = metrics
        self._table = table
        self._rows = HoldRows(table)
        self._manager = None
        self._published = {}
        self._witnesses = ()
        self._tasks = set()
        self._platform_away = False
        self._updates_paused = False
        for frame in HOLD_FRAMES:
            peers.on_message(frame, self._on_frame)

    @property
    def platform_away(self):
        """Whether the platform is unreachable from this VM."""
        return self._manager is not None and self._manager.platform_away

    async def run(self):
        """Maintain the session and the holds until cancelled.

        This VM must be listening for peers already, as they probe its address.
        """
        self._manager = HoldManager(
            self._settings.name,
            self._peers.incarnation,
            self._settings.peers_address,
            self._settings.platform_session_ttl_ms / 1000,
            is_busy=lambda key: self._services.runners[key.service].is_busy(key.target),
            is_warm=lambda key: self._services.runners[key.service].is_warm(key.target),
            longest_work_s=self._longest_work_s,
            started_s=self._now_s(),
        )
        self.update()
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self._sweep())
            while True:
                self._handle(Tick())
                await asyncio.sleep(TICK_INTERVAL_S)

    async def _sweep(self):
        settings = self._settings
        await sweep_periodically(
            self._table,
            settings.name,
            self._peers.incarnation,
            settings.peers_address,
        )

    def update(self):
        """Apply changes of resources, groups and live peers."""
        if self._manager is None or self._updates_paused:
            return
        live = {view.hello.vm: view for view in self._peers.live_views()}
        peers = {name: _peer_state(view) for name, view in live.items()}
        view = HoldView(dict(self._services.preferred_holders), peers)
        self._manager.set_view(view, self._now_s())
        self._choose_witnesses(live)
        self._publish()

    def pause_updates(self):
        """Ignore updates, so that all holds are kept.

        Used at the start of a shutdown, when this VM is no longer a preferred holder
        but still receives requests.
        """
        self._updates_paused = True

    async def hand_over_all(self):
        """Hand all holds over to their preferred holders.

        Returns when none is left that another VM can take over.
        """
        if self._manager is None:
            return
        self._updates_paused = False
        self.update()
        self._manager.hand_over_all()
        while self._can_hand_over() or self._has_unconfirmed():
            await asyncio.sleep(TICK_INTERVAL_S)
        await asyncio.sleep(FLUSH_S)

    def _can_hand_over(self):
        live = {view.hello.vm for view in self._peers.live_views()}
        now_s = self._now_s()
        return any(
            self._services.preferred_holders.get(hold.key) in live
            and self._manager.valid_until_s(hold) > now_s
            for hold in self._manager.holds
        )

    def _has_unconfirmed(self):
        return self._manager.holds.unconfirmed and not self._manager.platform_away

    def _now_s(self):
        return asyncio.get_running_loop().time()

    def _longest_work_s(self, key):
        return self._services.runners[key.service].service.deadline_ms / 1000

    def _choose_witnesses(self, live):
        """Choose witnesses if there are too few or one of them is not live.

        Args:
            live: Dict of PeerView of the live peers by name.
        """
        if self._witnesses and all(w.vm in live for w in self._witnesses):
            data_centres = len({view.hello.data_centre for view in live.values()})
            if len(self._witnesses) >= min(data_centres, len(live)):
                return
        candidates = [
            Candidate(name, view.hello.data_centre)
            for name, view in live.items()
            if not view.heartbeat.stopping
        ]
        names = choose_witnesses(self._settings.name, candidates)
        self._witnesses = tuple(
            Witness(name, (live[name].hello.peers_host, live[name].hello.peers_port))
            for name in names
        )
        self._manager.set_witnesses(self._witnesses)

    def _on_frame(self, view, frame):
        if self._manager is not None:
            hello = view.hello
            message = frame_to_message(frame)
            self._handle(PeerMessageReceived(hello.vm, hello.incarnation, message))

    def _handle(self, message):
        """Pass a message to the hold decisions and execute the resulting commands."""
        for command in self._manager.handle(message, self._now_s()):
            if isinstance(command, SendToVm):
                self._peers.send(command.vm, message_to_frame(command.body))
            elif isinstance(command, ProbePeer):
                self._group.create_task(self._probe(command))
            else:
                self._group.create_task(self._execute(command))
        self._log_platform_change()
        self._publish()

    def _log_platform_change(self):
        if self._platform_away != self._manager.platform_away:
            self._platform_away = self._manager.platform_away
            count = len(self._manager.holds)
            if self._platform_away:
                logger.warning("platform-away", holds=count)
            else:
                logger.info("platform-back", holds=count)

    async def _execute(self, command):
        self._handle(await self._rows.execute(command))

    async def _probe(self, command):
        sent_s = self._now_s()
        refused = False
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*command.address)
                writer.transport.abort()
        except ConnectionRefusedError:
            refused = True
        except (OSError, TimeoutError):
            pass
        self._handle(PeerProbed(command.address, sent_s, refused))

    def _publish(self):
        """Pass the held targets to each router for which they have changed."""
        held = {name: [] for name in self._services.runners}
        now_s = self._now_s()
        valid = 0
        for hold, valid_until_s in self._manager.holds_with_validity():
            valid += valid_until_s > now_s
            target = self._services.targets.get(hold.key)
            if target is None:
                # The target is out of service; it starts cold when it returns.
                hold.warm = False
            elif not hold.handing_over:
                held_target = self._held_target(hold, target, valid_until_s)
                held[hold.key.service].append(held_target)
        for name, targets in held.items():
            targets = tuple(targets)
            if self._published.get(name) != targets:
                self._log_holds_change(name, targets)
                self._published[name] = targets
                self._services.runners[name].set_held(targets)
        self._metrics.holds.set(valid)

    def _held_target(self, hold, target, valid_until_s):
        return HeldTarget(
            name=target.name,
            slots=target.slots,
            cold_slots=target.cold_slots,
            local=target.data_centre == self._settings.data_centre,
            valid_until_s=valid_until_s,
            quiet_until_s=hold.quiet_until_s,
            cold=not hold.warm,
        )

    def _log_holds_change(self, service, targets):
        before = {target.name for target in self._published.get(service, ())}
        after = {target.name for target in targets}
        if before != after:
            gained = ",".join(sorted(after - before))
            lost = ",".join(sorted(before - after))
            logger.info("holds-changed", service=service, gained=gained, lost=lost)


def _peer_state(view):
    hello = view.hello
    return PeerState(
        incarnation=hello.incarnation,
        address=(hello.peers_host, hello.peers_port),
        linked_s=view.linked_s,
        platform_reachable=view.heartbeat.platform_reachable,
    )
