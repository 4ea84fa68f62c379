"""Read the settings file that the platform provides for one process."""

import tomllib

import attrs
from returns.result import Failure, Success

__all__ = ["SETTINGS_VARIABLE", "Bounds", "VmSettings", "read_vm_settings"]

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "SESAMESPRING_SETTINGS"
MEGABYTE = 1024 * 1024
# Memory of a VM whose settings state none.
MEMORY_MB = 300


@attrs.frozen
class Bounds:
    """Limits that the users of the platform have agreed on.

    Attributes:
        stop_s: Time from SIGTERM to SIGKILL, in seconds.
        retry_ratio: Extra attempts allowed for each request of a service.
        retry_slack: Extra attempts allowed in addition, in each window.
        retry_window_s: Length of that window, in seconds.
        cold_ratio: Allowed request rate of a target in cold start, as a multiple of the
            rate declared for its service.
        cold_slack: Requests allowed in addition, in each second.
        resolve_ttl_max_s: Maximum TTL of the directory's responses, in seconds.
        probes_per_s: Maximum number of health checks of a target per second.
        quota_window_s: Length of the windows in which an account's quota holds, in
            seconds, or None without quotas.
        quota_overage: Part of a quota by which it may be exceeded in a window.
        quota_slack: Requests allowed in addition, in each window.
        exposure_share: Part of a service's requests that a bad version may get during a
            roll-out, or None without roll-outs.
        exposure_slack: Requests that it may get in addition.
        rollback_s: Time within which a bad version gets no more requests once it has
            failed often enough, in seconds.
    """

    stop_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_ratio: float
    cold_slack: float
    resolve_ttl_max_s: float
    probes_per_s: float
    quota_window_s: float | None = None
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    exposure_share: float | None = None
    exposure_slack: float = 0.0
    rollback_s: float = 0.0


@attrs.frozen
class VmSettings:
    """Settings of one process, fixed for its lifetime.

    Attributes:
        name: Name of the VM.
        data_centre: Data centre of the VM.
        ip: IP address of the VM.
        callers_address: Pair of IP and port for callers' requests, or None if this
            process serves none.
        ready_address: Pair of IP and port for the platform's readiness checks, or None.
        directory_address: Pair of IP and port for resolve requests of callers, or None.
        internal_ports: Pair of the first and last port for traffic between VMs.
        seed_ips: Tuple of IP addresses of other VMs to contact at the start.
        store_address: Pair of IP and port of the platform's store.
        cores: Number of cores that the VM may use, which may be fractional.
        link_mbps: Bandwidth of its link, in megabits per second.
        descriptors_max: Maximum number of file descriptors of the process.
        memory_bytes: Memory of the process, in bytes.
        bounds: The Bounds.
    """

    name: str
    data_centre: str
    ip: str
    callers_address: tuple | None
    ready_address: tuple | None
    directory_address: tuple | None
    internal_ports: tuple
    seed_ips: tuple
    store_address: tuple
    cores: float
    link_mbps: float
    descriptors_max: int
    bounds: Bounds
    memory_bytes: int = MEMORY_MB * MEGABYTE

    @property
    def process_name(self):
        """Name of this process; a VM may run one for callers and one as directory."""
        return self.name if self.callers_address else f"{self.name}/directory"

    @property
    def callers_port(self):
        """Port for callers' requests, or 0 if this process serves none."""
        return self.callers_address[1] if self.callers_address else 0

    @property
    def internal_address(self):
        """Pair of IP and port of this process for traffic between VMs."""
        first, last = self.internal_ports
        return self.ip, (first if self.callers_address else last)

    @property
    def seed_addresses(self):
        """Set of pairs of IP and port of the VMs to contact at the start."""
        return {(ip, self.internal_ports[0]) for ip in self.seed_ips}


def read_vm_settings(path):
    """Read the platform's settings file.

    Args:
        path: Path of the TOML file.

    Returns:
        Success of VmSettings, or Failure of a one-line error message.
    """
    try:
        with open(path, "rb") as file:
            content = tomllib.load(file)
        return Success(_decode(content))
    except OSError as error:
        return Failure(f"{path}: {error.strerror}")
    except tomllib.TOMLDecodeError as error:
        return Failure(f"{path}: {error}")
    except KeyError as error:
        return Failure(f"{path}: key {error} is missing")
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        return Failure(f"{path}: invalid value: {error}")


def _decode(content):
    own = content["self"]
    network = content["network"]
    listen = network["listen"]
    limits = own["limits"]
    first_port, last_port = network["internalPortRange"]
    seeds = [_address(text)[0] for text in network.get("seeds", [])]
    return VmSettings(
        name=str(own["nodeName"]),
        data_centre=str(own["zone"]),
        ip=str(own["ip"]),
        callers_address=_address_or_none(listen, "front"),
        ready_address=_address_or_none(listen, "ready"),
        directory_address=_address_or_none(listen, "directory"),
        internal_ports=(int(first_port), int(last_port)),
        seed_ips=tuple(ip for ip in seeds if ip != own["ip"]),
        store_address=_address(content["platform"]["platform"]["address"]),
        cores=float(limits["cpuShare"]) * float(limits["cpuCores"]),
        link_mbps=float(limits["linkMbps"]),
        descriptors_max=int(limits["maxFds"]),
        bounds=_decode_bounds(content["terms"]["bounds"]),
        memory_bytes=int(limits.get("memoryMb", MEMORY_MB)) * MEGABYTE,
    )


def _decode_bounds(bounds):
    return Bounds(
        stop_s=float(bounds["graceS"]),
        retry_ratio=float(bounds["retryBudgetRatio"]),
        retry_slack=float(bounds["budgetSlack"]),
        retry_window_s=float(bounds["budgetWindowS"]),
        cold_ratio=float(bounds["warmupOverage"]),
        cold_slack=float(bounds["warmupSlack"]),
        resolve_ttl_max_s=float(bounds["ttl_max_s"]),
        probes_per_s=float(bounds["probesPerS"]),
        quota_window_s=_optional(bounds, "quotaWindowS"),
        quota_overage=float(bounds.get("quotaOverage", 0.0)),
        quota_slack=float(bounds.get("quotaSlack", 0.0)),
        exposure_share=_optional(bounds, "exposureShare"),
        exposure_slack=float(bounds.get("exposureSlack", 0.0)),
        rollback_s=float(bounds.get("rollbackMs", 0.0)) / 1000,
    )


def _optional(bounds, name):
    return float(bounds[name]) if name in bounds else None


def _address_or_none(listen, name):
    return _address(listen[name]) if name in listen else None


def _address(text):
    """Split ``IP:PORT``.

    >>> _address("10.1.0.15:8641")
    ('10.1.0.15', 8641)
    """
    ip, _, port = text.rpartition(":")
    return ip, int(port)
