"""The client accounts of a soak test, and which keys its callers use.

Two keys last; one of each version of the configuration is taken away with the next.
"""

__all__ = ["LASTING_KEYS", "UNKNOWN_KEY", "accounts_of", "choose_key", "holder"]

# Dict of account by key.
LASTING_KEYS = {"k-north-5e1d": "north", "k-south-09bc": "south"}
UNKNOWN_KEY = "k-nobody-77af"
UNKNOWN_SHARE = 0.04
VERSION_SHARE = 0.12
# Number of the latest versions whose keys callers use.
VERSIONS_USED = 4
_VERSION_PREFIX = "k-version-"


def accounts_of(version):
    """Return the accounts of a version in the platform's JSON format."""
    accounts = {name: {"apiKeys": [key]} for key, name in LASTING_KEYS.items()}
    accounts["north"]["apiKeys"].append(f"{_VERSION_PREFIX}{version}")
    return accounts


def choose_key(random, versions):
    """Return the key for a request; some are unknown, or of an earlier version.

    Args:
        random: The random.Random.
        versions: List of the versions that were written, in order.
    """
    number = random.random()
    if number < UNKNOWN_SHARE:
        return UNKNOWN_KEY
    if number < UNKNOWN_SHARE + VERSION_SHARE:
        return f"{_VERSION_PREFIX}{random.choice(versions[-VERSIONS_USED:])}"
    return random.choice(list(LASTING_KEYS))


def holder(key):
    """Return the account that holds a key, or held it, and the key's version.

    Returns:
        Pair of the account, None if it was never held, and the only version that has
        the key, or None if all have it.
    """
    if key in LASTING_KEYS:
        return LASTING_KEYS[key], None
    if key.startswith(_VERSION_PREFIX):
        return "north", int(key.removeprefix(_VERSION_PREFIX))
    return None, None
