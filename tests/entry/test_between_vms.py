"""Test the messages that entry VMs exchange, without sockets."""

import asyncio

import attrs

from sesamespring.entry.configuration import ConfigurationTask
from sesamespring.entry.in_force import InForceTask
from sesamespring.entry.vm_rows import VmRow
from sesamespring.peers import Heartbeat, Hello
from sesamespring.resources.kinds import DataCentre, Resources, resource_to_json
from sesamespring.resources.records import AuditRecord

TIMEOUT_S = 2.0


@attrs.define
class View:
    hello: Hello
    heartbeat: Heartbeat
    last_received_s: float
    links: object


class Links:
    """Fake PeersTask that calls the handlers of the other VMs directly."""

    def __init__(self):
        self.views = {}
        self.handlers = {}
        self.others = {}

    def live_views(self):
        return list(self.views.values())

    def on_message(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, vm, body):
        own = next(
            view for view in self.others[vm].views.values() if view.links is self
        )
        self.others[vm].handlers[type(body)](own, body)
        return True


def heartbeat(version):
    return Heartbeat(1, version, f"digest-{version}", 1000, True, False)


def make_task(name, version):
    links = Links()
    task = InForceTask(links, lambda _: heartbeat(version), name, "a", TIMEOUT_S)
    return links, task


def link(left, right, versions):
    """Link two pairs of name and Links; each has the other's heartbeat."""
    now_s = asyncio.get_running_loop().time()
    for (_, links), (other, theirs) in ((left, right), (right, left)):
        hello = Hello(other, "i", "a", b"", "h", 1, "h", 2)
        view = View(hello, heartbeat(versions[other]), now_s, theirs)
        links.views[other] = view
        links.others[other] = theirs


def test_in_force_list_includes_vms_known_through_a_peer_or_the_table_only():
    versions = {"x": 3, "y": 3, "z": 2}

    async def scenario():
        parts = {name: make_task(name, version) for name, version in versions.items()}
        links = {name: (name, part[0]) for name, part in parts.items()}
        link(links["x"], links["y"], versions)
        link(links["y"], links["z"], versions)
        task = parts["x"][1]
        assert [entry.vm for entry in task.entries()] == ["x", "y"]
        await task.query_peers()
        listed = [VmRow("w", "b", ("h", 1))]
        entries = {entry.vm: entry for entry in task.entries(listed)}
        assert {name: entry.version for name, entry in entries.items()} == {
            "x": 3,
            "y": 3,
            "z": 2,
            "w": 0,
        }
        assert entries["z"].live and entries["z"].digest == "digest-2"
        assert entries["w"].silent_s is None and not entries["w"].live

    asyncio.run(scenario())


def accepted_record(version, resources):
    after = {key: resource_to_json(r) for key, r in resources.by_key.items()}
    digest = resources.digest()
    return AuditRecord("accepted", version, digest, "i", "o", "r", "f", 0.0, {}, after)


def test_accepted_change_reaches_peers_without_reading_the_platform():
    resources = Resources(1, {"data-centre/a": DataCentre("a", "out")})

    async def scenario():
        tasks = {}
        all_links = {}
        for name in "xyz":
            all_links[name] = Links()
            tasks[name] = ConfigurationTask(None, 1.0, lambda resources: None)
            tasks[name].use_peers(all_links[name], name, "a")
        versions = dict.fromkeys("xyz", 0)
        link(("x", all_links["x"]), ("y", all_links["y"]), versions)
        link(("x", all_links["x"]), ("z", all_links["z"]), versions)
        tasks["x"].apply_accepted(accepted_record(1, resources))
        for name in "xyz":
            assert tasks[name].resources == resources

    asyncio.run(scenario())
