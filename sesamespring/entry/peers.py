"""Maintain links to other entry VMs and exchange heartbeats with them."""

import asyncio
import secrets

import attrs

from sesamespring.logs import get_logger
from sesamespring.peers import (
    FrameError,
    Heartbeat,
    Hello,
    accept_link,
    open_link,
)
from sesamespring.peers.link import new_nonce

__all__ = ["PeerView", "PeersTask"]

logger = get_logger(__name__)

RECONNECT_S = 0.5


@attrs.define
class PeerView:
    """State of another entry VM as last reported over the link to it.

    Times are in seconds on the event loop's clock.

    Attributes:
        hello: The peer's Hello.
        heartbeat: Its last Heartbeat, or None before the first one and after the link
            was lost.
        last_received_s: When the last message was received.
        linked_s: When the link was established.
    """

    hello: Hello
    heartbeat: Heartbeat | None = None
    last_received_s: float = 0.0
    linked_s: float = 0.0


class PeersTask:
    """Task that owns the links to other entry VMs.

    Args:
        settings: The Settings.
        metrics: The Metrics.
        make_heartbeat: Function from a sequence number to the Heartbeat to send.
        on_change: Function called when the set of live peers or the state in their
            heartbeats that affects holds changes.
    """

    def __init__(self, settings, metrics, make_heartbeat, on_change):
        self._settings = settings
        self._metrics = metrics
        self._make_heartbeat = make_heartbeat
        self._on_change = on_change
        self._keys = settings.peers_key
        self._incarnation = secrets.token_hex(8)
        self._addresses = set(settings.peers_seeds)
        self._links = {}
        self._views = {}
        self._handlers = {Heartbeat: self._on_heartbeat}
        self._live_names = ()
        self._sequence = 0

    @property
    def incarnation(self):
        """Random identity of this run of the daemon."""
        return self._incarnation

    @property
    def views(self):
        """Dict of PeerView by VM name, including peers that are not live."""
        return self._views

    def live_views(self):
        """Return the views of the peers heard from within the heartbeat timeout."""
        now_s = asyncio.get_running_loop().time()
        timeout_s = self._settings.peers_heartbeat_timeout_ms / 1000
        return [
            view
            for view in self._views.values()
            if view.heartbeat is not None and now_s - view.last_received_s < timeout_s
        ]

    def on_message(self, message_type, handler):
        """Register the handler of a message type.

        Args:
            message_type: Class of the thrift message.
            handler: Function called with the sender's PeerView and the message.
        """
        self._handlers[message_type] = handler

    def add_addresses(self, addresses):
        """Maintain links to more peers.

        Args:
            addresses: Iterable of pairs of IP and port on which VMs accept peers.
        """
        self._addresses.update(addresses)
        self._addresses.discard(self._settings.peers_address)

    def send(self, vm_name, body):
        """Send a thrift message to a peer.

        Returns:
            Whether there is a link to the peer; without one the message is dropped.
        """
        link = self._links.get(vm_name)
        if link is None:
            return False
        self._metrics.peer_frames.labels("out").inc()
        self._metrics.peer_bytes.labels("out").inc(link.send(body))
        return True

    async def serve_connection(self, reader, writer):
        """Handle an incoming connection of a peer until it ends.

        Args:
            reader: The asyncio.StreamReader.
            writer: The asyncio.StreamWriter.
        """
        try:
            link = await accept_link(reader, writer, self._hello(), self._keys)
        except (FrameError, OSError, TimeoutError) as error:
            self._count_frame_error(error)
            return
        await self._serve(link)

    async def run(self):
        """Keep links open and send heartbeats until cancelled."""
        async with asyncio.TaskGroup() as group:
            maintained = set()
            while True:
                for address in self._addresses - maintained:
                    maintained.add(address)
                    group.create_task(self._maintain_link(address))
                self.send_heartbeats()
                self._detect_changes()
                interval_s = self._settings.peers_heartbeat_interval_ms / 1000
                await asyncio.sleep(interval_s)

    def _hello(self):
        settings = self._settings
        return Hello(
            vm=settings.name,
            incarnation=self._incarnation,
            data_centre=settings.data_centre,
            nonce=new_nonce(),
            callers_host=settings.callers_address[0],
            callers_port=settings.callers_address[1],
            peers_host=settings.peers_address[0],
            peers_port=settings.peers_address[1],
        )

    async def _maintain_link(self, address):
        """Connect to a peer whenever there is no link to it."""
        while address in self._addresses:
            if not self._is_linked(address) and address != self._settings.peers_address:
                await self._connect(address)
            await asyncio.sleep(RECONNECT_S)

    def _is_linked(self, address):
        return any(
            (link.peer.peers_host, link.peer.peers_port) == address
            for link in self._links.values()
        )

    async def _connect(self, address):
        try:
            link = await open_link(address, self._hello(), self._keys)
        except (FrameError, OSError, TimeoutError) as error:
            self._count_frame_error(error)
            return
        await self._serve(link)

    def _count_frame_error(self, error):
        """Count and log a FrameError; other errors need no report."""
        if isinstance(error, FrameError):
            self._metrics.dropped_frames.labels(error.reason).inc()
            logger.warning("frame-dropped", reason=error.reason)

    async def _serve(self, link):
        name = link.peer.vm
        self._links[name] = link
        now_s = asyncio.get_running_loop().time()
        view = PeerView(link.peer, linked_s=now_s)
        self._views[name] = view
        link.send(self._make_heartbeat(self._next_sequence()))
        try:
            while True:
                body = await link.receive()
                self._metrics.peer_frames.labels("in").inc()
                view.last_received_s = asyncio.get_running_loop().time()
                handler = self._handlers.get(type(body))
                if handler is not None:
                    handler(view, body)
        except (FrameError, OSError) as error:
            self._count_frame_error(error)
        finally:
            link.close()
            if self._links.get(name) is link:
                del self._links[name]
                view.heartbeat = None
                self._detect_changes()

    def _on_heartbeat(self, view, heartbeat):
        before = view.heartbeat
        view.heartbeat = heartbeat
        if before is None or _hold_state(before) != _hold_state(heartbeat):
            self._detect_changes(force=True)

    def _next_sequence(self):
        self._sequence += 1
        return self._sequence

    def send_heartbeats(self):
        """Send a heartbeat to all linked peers immediately."""
        heartbeat = self._make_heartbeat(self._next_sequence())
        for name in self._links:
            self.send(name, heartbeat)

    def _detect_changes(self, force=False):
        """Call on_change if the set of live peers changed, or if forced."""
        names = tuple(sorted(view.hello.vm for view in self.live_views()))
        if force or names != self._live_names:
            self._live_names = names
            self._on_change()


def _hold_state(heartbeat):
    """Return the fields of a heartbeat that affect which VM holds a target."""
    return heartbeat.stopping, heartbeat.platform_reachable
