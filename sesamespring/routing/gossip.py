"""Choose whom a VM tells that it is alive, and what it passes on of other VMs.

Load it answers: fleets of hundreds of VMs, in which heartbeats from each VM to each
other one cost every VM more than the requests of its callers. A small fleet exchanges
heartbeats all to all. In a larger one each VM sends its heartbeat to a few others, with
a counter of the heartbeats of each VM that it has heard of, directly or not, so what a
VM sends and receives does not grow with the number of VMs. News of a VM goes to all at
once; other data centres pass it on among their own VMs, as bytes between them are
billed.

Two data centres tell each other of their own VMs only: a VM counts as alive where it
can be reached, not where a third data centre reaches it.
"""

import hashlib
import struct

import attrs

__all__ = [
    "GOSSIP_INTERVAL_S",
    "VMS_ALL_TO_ALL_MAX",
    "HeartbeatCounters",
    "all_to_all_interval_factor",
    "broadcast_recipients",
    "decode_counters",
    "encode_counters",
    "gossip_recipients",
    "state_key",
]

# Up to this many VMs, each sends its heartbeats to all others.
VMS_ALL_TO_ALL_MAX = 48
# Time between the heartbeats of a VM of a larger fleet.
GOSSIP_INTERVAL_S = 0.25
LOCAL_RECIPIENTS = 5
# Mean number of VMs of other data centres to which a heartbeat goes as well, within the
# bounds below.
REMOTE_RECIPIENTS = 0.5
# All VMs of a data centre together send at least and at most so many heartbeats to each
# other data centre, on average: many small data centres hear of each other often
# enough, and large ones no more often than the loss of half of their VMs calls for.
REMOTE_PER_INTERVAL_MIN = 3.0
REMOTE_PER_INTERVAL_MAX = 6.0
# VMs of another data centre that pass news on there, so that the loss of one of them
# costs nothing.
PASSING_VMS = 2
# Keeps a heartbeat below the largest datagram; of more VMs, a random choice is told.
COUNTERS_PER_HEARTBEAT_MAX = 512
_KEY_BYTES = 8
_BYTES_PER_COUNTER = 12
_SEQUENCE_MAX = 2**32 - 1


@attrs.frozen
class HeartbeatCounters:
    """The newest heartbeats of VMs that have been heard of, as two columns.

    Attributes:
        keys: Keys of the VMs' processes and their states, see ``state_key``.
        sequences: Number of the newest heartbeat for each key, in the same order.
    """

    keys: tuple = ()
    sequences: tuple = ()


def state_key(name, incarnation, state):
    """Return a number for one state of one process of a VM.

    Args:
        name: Name of the VM.
        incarnation: Incarnation of its process.
        state: Tuple of what else others have to know of it.

    >>> state_key("vm-1", 1, (True,)) == state_key("vm-1", 1, (False,))
    False
    """
    text = repr((name, incarnation, state)).encode()
    digest = hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()
    return int.from_bytes(digest, "little", signed=True)


def all_to_all_interval_factor(vms):
    """Return how much longer builds without gossip make the interval of heartbeats.

    Such a build sends its heartbeats to all VMs, and expects those of all.

    >>> all_to_all_interval_factor(18), all_to_all_interval_factor(96)
    (1.0, 2.0)
    """
    return max(1.0, vms / VMS_ALL_TO_ALL_MAX)


def gossip_recipients(own_data_centre, members, rng):
    """Return the Members to which a VM of a large fleet sends its next heartbeat.

    Args:
        own_data_centre: Data centre of the VM.
        members: The other Members that are alive.
        rng: A random.Random.
    """
    by_data_centre = {own_data_centre: []}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(member)
    local = by_data_centre.pop(own_data_centre)
    chosen = rng.sample(local, min(LOCAL_RECIPIENTS, len(local)))
    count = _remote_recipients(len(local) + 1, len(by_data_centre), rng)
    for name in rng.sample(sorted(by_data_centre), count):
        chosen.append(rng.choice(by_data_centre[name]))
    return chosen


def broadcast_recipients(own_data_centre, members, rng):
    """Return to whom a VM of a large fleet sends a heartbeat that tells of news.

    Each other data centre gets the news from a few of its own VMs, so that it crosses
    the link between the two only a few times.

    Args:
        own_data_centre: Data centre of the VM.
        members: The other Members that are alive.
        rng: A random.Random.

    Returns:
        Pair of the lists of the Members that get it, and of those that pass it on too.
    """
    direct, by_data_centre = [], {}
    for member in members:
        if member.data_centre == own_data_centre or not member.passes_on:
            direct.append(member)
        else:
            by_data_centre.setdefault(member.data_centre, []).append(member)
    passing = []
    for members_there in by_data_centre.values():
        if len(members_there) <= PASSING_VMS:
            direct += members_there
        else:
            passing += rng.sample(members_there, PASSING_VMS)
    return direct, passing


def _remote_recipients(local, others, rng):
    """Return to how many other data centres a VM sends its next heartbeat.

    Args:
        local: Number of VMs in its data centre.
        others: Number of other data centres.
        rng: A random.Random.
    """
    each = others / local
    mean = min(REMOTE_RECIPIENTS, REMOTE_PER_INTERVAL_MAX * each)
    whole, rest = divmod(max(mean, REMOTE_PER_INTERVAL_MIN * each), 1)
    return min(others, int(whole) + (rng.random() < rest))


def encode_counters(counters, rng):
    """Return HeartbeatCounters in bytes, a random choice of them if there are many.

    >>> import random
    >>> decode_counters(encode_counters(HeartbeatCounters((7,), (3,)), random.Random()))
    HeartbeatCounters(keys=(7,), sequences=(3,))
    """
    keys, sequences = counters.keys, counters.sequences
    if len(keys) > COUNTERS_PER_HEARTBEAT_MAX:
        chosen = rng.sample(range(len(keys)), COUNTERS_PER_HEARTBEAT_MAX)
        keys = [keys[index] for index in chosen]
        sequences = [sequences[index] for index in chosen]
    capped = [min(sequence, _SEQUENCE_MAX) for sequence in sequences]
    return struct.pack(_format(len(keys)), *keys, *capped)


def decode_counters(content):
    """Return the HeartbeatCounters in bytes, none where the bytes are malformed."""
    count, rest = divmod(len(content), _BYTES_PER_COUNTER)
    if rest:
        return HeartbeatCounters()
    values = struct.unpack(_format(count), content)
    return HeartbeatCounters(values[:count], values[count:])


def _format(count):
    return f"<{count}q{count}I"
