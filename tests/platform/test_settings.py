"""Test that a settings file is read, or rejected with a one-line error message."""

import pytest
from returns.result import Failure

from sesamespring.platform.settings import read_vm_settings

SETTINGS = """
[self]
nodeName = "front-a-1"
zone = "tbilisi-a"
ip = "10.1.0.15"
[self.limits]
cpuShare = 0.86
cpuCores = 2
maxFds = 4100
linkMbps = 1000.0
[network]
internalPortRange = [7620, 7635]
seeds = ["10.1.0.15:8649", "10.2.0.42:8649"]
[network.listen]
front = "10.1.0.15:8641"
ready = "10.1.0.15:8640"
directory = "10.1.0.15:8644"
[platform]
heartbeatMs = 1500
[platform.platform]
address = "10.200.1.7:8642"
[terms.bounds]
drainMs = 2000
graceS = 6
retryBudgetRatio = 0.2
budgetSlack = 56
budgetWindowS = 10
warmupOverage = 1.5
warmupSlack = 5
ttl_max_s = 5
probesPerS = 60
syncS = 4
"""


def read(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return read_vm_settings(path)


def test_reads_valid_settings(tmp_path):
    settings = read(tmp_path, SETTINGS).unwrap()
    assert settings.data_centre == "tbilisi-a"
    assert settings.callers_address == ("10.1.0.15", 8641)
    assert settings.seed_ips == ("10.2.0.42",)
    assert settings.cores == pytest.approx(1.72)
    assert settings.bounds.stop_s == 6.0


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('ip = "10.1.0.15"\n', "", "'ip' is missing"),
        ("maxFds = 4100", 'maxFds = "many"', "invalid value"),
        ('front = "10.1.0.15:8641"', 'front = "nowhere"', "invalid value"),
        ("[network]", "[network", "Expected"),
    ],
)
def test_invalid_settings_give_a_one_line_message(tmp_path, old, new, message):
    result = read(tmp_path, SETTINGS.replace(old, new, 1))
    assert isinstance(result, Failure)
    assert message in result.failure()
    assert "\n" not in result.failure()


def test_missing_file_is_a_failure(tmp_path):
    assert isinstance(read_vm_settings(tmp_path / "none.toml"), Failure)
