"""Run the decisions on holds and tell the routers what this VM holds."""

import asyncio

from sesamespring.decisions.groups import Candidate, choose_witnesses
from sesamespring.decisions.hold_messages import (
    HoldView,
    PeerProbed,
    PeerSaid,
    PeerState,
    ProbePeer,
    Say,
    Wake,
    Witness,
)
from sesamespring.decisions.holding import HoldKeeper
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

WAKE_S = 0.1
PROBE_TIMEOUT_S = 0.3
FLUSH_S = 0.2


class HoldsTask:
    """The task that owns this VM's session and holds.

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
        self._keeper = None
        self._published = {}
        self._witnesses = ()
        self._tasks = set()
        self._platform_away = False
        self._updates_paused = False
        for frame in HOLD_FRAMES:
            peers.on_message(frame, self._heard)

    @property
    def platform_away(self):
        """Whether the platform did not answer of late."""
        return self._keeper is not None and self._keeper.platform_away

    async def run(self):
        """Keep session and holds until cancelled; peers must be listened for."""
        self._keeper = HoldKeeper(
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
                self._tell(Wake())
                await asyncio.sleep(WAKE_S)

    async def _sweep(self):
        settings = self._settings
        await sweep_periodically(
            self._table,
            settings.name,
            self._peers.incarnation,
            settings.peers_address,
        )

    def update(self):
        """Take changed resources, groups and peers."""
        if self._keeper is None or self._updates_paused:
            return
        live = {view.hello.vm: view for view in self._peers.live_views()}
        peers = {name: _peer_state(view) for name, view in live.items()}
        view = HoldView(dict(self._services.preferred_holders), peers)
        self._keeper.set_view(view, self._now_s())
        self._choose_witnesses(live)
        self._publish()

    def pause_updates(self):
        """Keep all holds although the others count on this VM no more."""
        self._updates_paused = True

    async def hand_over_all(self):
        """Pass all holds on; return when none is left or nobody may take them."""
        if self._keeper is None:
            return
        self._updates_paused = False
        self.update()
        self._keeper.leave()
        while self._passable() or self._unsettled():
            await asyncio.sleep(WAKE_S)
        await asyncio.sleep(FLUSH_S)

    def _passable(self):
        live = {view.hello.vm for view in self._peers.live_views()}
        now_s = self._now_s()
        return any(
            self._services.preferred_holders.get(hold.key) in live
            and self._keeper.valid_until_s(hold) > now_s
            for hold in self._keeper.holds
        )

    def _unsettled(self):
        return self._keeper.holds.unsettled and not self._keeper.platform_away

    def _now_s(self):
        return asyncio.get_running_loop().time()

    def _longest_work_s(self, key):
        return self._services.runners[key.service].service.deadline_ms / 1000

    def _choose_witnesses(self, live):
        """Name other witnesses only where one of the present ones is not live."""
        if self._witnesses and all(w.vm in live for w in self._witnesses):
            own_share = len({view.hello.data_centre for view in live.values()})
            if len(self._witnesses) >= min(own_share, len(live)):
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
        self._keeper.set_witnesses(self._witnesses)

    def _heard(self, view, frame):
        if self._keeper is not None:
            hello = view.hello
            message = frame_to_message(frame)
            self._tell(PeerSaid(hello.vm, hello.incarnation, message))

    def _tell(self, message):
        for command in self._keeper.handle(message, self._now_s()):
            if isinstance(command, Say):
                self._peers.send(command.vm, message_to_frame(command.body))
            elif isinstance(command, ProbePeer):
                self._group.create_task(self._probe(command))
            else:
                self._group.create_task(self._execute(command))
        self._note_platform()
        self._publish()

    def _note_platform(self):
        if self._platform_away != self._keeper.platform_away:
            self._platform_away = self._keeper.platform_away
            count = len(self._keeper.holds)
            if self._platform_away:
                logger.warning("platform-away", holds=count)
            else:
                logger.info("platform-back", holds=count)

    async def _execute(self, command):
        self._tell(await self._rows.execute(command))

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
        self._tell(PeerProbed(command.address, sent_s, refused))

    def _publish(self):
        """Tell each router whose holds changed."""
        held = {name: [] for name in self._services.runners}
        now_s = self._now_s()
        valid = 0
        for hold, valid_until_s in self._keeper.holds_with_validity():
            valid += valid_until_s > now_s
            target = self._services.targets.get(hold.key)
            if target is None:
                # A target that comes back into service starts cold.
                hold.warm = False
            elif not hold.passing:
                held_target = self._held_target(hold, target, valid_until_s)
                held[hold.key.service].append(held_target)
        for name, targets in held.items():
            targets = tuple(targets)
            if self._published.get(name) != targets:
                self._note_holds(name, targets)
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

    def _note_holds(self, service, targets):
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
        reaches_platform=view.heartbeat.platform_reachable,
    )
