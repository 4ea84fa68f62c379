"""Test which bytes between VMs are counted as leaving the data centre."""

from sesamespring.gateway.counters import Counters
from sesamespring.gateway.generated.ttypes import Heartbeat, SlotWanted
from sesamespring.gateway.members.peer_traffic import PeerTraffic

DATA_CENTRES = {"10.0.0.1": "dc-a", "10.0.0.2": "dc-a", "10.0.1.1": "dc-b"}


def test_bytes_are_counted_by_kind_and_place():
    counters = Counters()
    traffic = PeerTraffic(counters, "dc-a", DATA_CENTRES.get)
    traffic.record_datagram(Heartbeat, 100, [(ip, 1) for ip in DATA_CENTRES])
    traffic.record_datagram(SlotWanted, 40, [("10.0.1.1", 1), ("10.9.9.9", 1)])
    traffic.record_datagram(SlotWanted, 40, [])
    traffic.record_page("10.0.1.1", 7)
    sent = {
        tuple(value for _, value in labels): size
        for labels, size in counters.totals["peer_sent_bytes"].items()
    }
    assert sent == {
        ("heartbeat", "local"): 200,
        ("heartbeat", "remote"): 100,
        ("slot-wanted", "remote"): 40,
        ("slot-wanted", "unknown"): 40,
        ("table-page", "remote"): 7,
    }
