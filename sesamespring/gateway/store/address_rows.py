"""Find the addresses of VMs in the store, and write this VM's address there."""

import asyncio
import functools
import json

from returns.result import Failure, Success, safe

from sesamespring.errors import ErrorKind, ExternalError
from sesamespring.fields import address, integer
from sesamespring.platform.rows import ABSENT_VERSION

__all__ = ["AddressRows"]

VMS_TABLE = "vms"
REGISTER_RETRY_DELAY_S = 1.0
# The first write finds out the version of a row of an earlier process. Another process
# of this VM may replace it before the second one.
WRITES_AT_ONCE_MAX = 3


class AddressRows:
    """The rows of the store that tell VMs where the others are.

    Args:
        settings: The VmSettings.
        store: The StoreClient.
        log: The EventLog.
    """

    def __init__(self, settings, store, log):
        self._name = settings.process_name
        ip, port = settings.internal_address
        self._content = json.dumps({"ip": ip, "port": port}).encode()
        self._store = store
        self._log = log
        self._must_register = asyncio.Event()
        self._must_register.set()

    def register_again(self):
        """Make ``run`` check this VM's row, which the store may have lost."""
        self._must_register.set()

    async def run(self, add_addresses):
        """Write this VM's address to the store and read the other VMs' there.

        Of two VMs that register at the same time, the one that reads last finds the
        other. Retries until both calls have succeeded, at the start and after each call
        of ``register_again``. Runs until cancelled.

        Args:
            add_addresses: Function called with the addresses of all VMs, pairs of IP
                and port.
        """
        while True:
            await self._must_register.wait()
            self._must_register.clear()
            await self._register(add_addresses)

    async def _register(self, add_addresses):
        """Write this VM's row and read all rows, until both have succeeded in a row.

        The rows are read also while this VM's cannot be written: without the others a
        directory has no VM to name.
        """
        while True:
            written = await self._succeeds(self._write)
            found = await self._succeeds(functools.partial(self._read, add_addresses))
            if written and found:
                return
            await asyncio.sleep(REGISTER_RETRY_DELAY_S)

    async def _succeeds(self, call):
        try:
            await call()
            return True
        except ExternalError as error:
            self._log.event("registration-failed", error=error)
            return False

    async def _read(self, add_addresses):
        table = await self._store.read_table(VMS_TABLE)
        found = [self._decode(row) for row in table.rows]
        add_addresses([address for address in found if address is not None])

    def _decode(self, row):
        """Return the pair of IP and port in a VM's row, or None if it is malformed."""
        decoded = _address_of(row.content)
        if isinstance(decoded, Success):
            return decoded.unwrap()
        self._log.event(
            "row-refused", table=VMS_TABLE, key=row.key, reason=decoded.failure()
        )
        return None

    async def _write(self):
        """Write this VM's row unless it is there.

        Raises:
            ExternalError: The store does not respond, or refuses the write although it
                has the version that the store has stated.
        """
        version = ABSENT_VERSION
        for _ in range(WRITES_AT_ONCE_MAX):
            result = await self._store.write(
                VMS_TABLE, self._name, self._content, version
            )
            if not isinstance(result, Failure):
                return
            rows = result.failure().rows
            if rows and rows[0].content == self._content:
                return
            version = rows[0].version if rows else ABSENT_VERSION
        raise ExternalError(ErrorKind.PLATFORM_AWAY, "write is refused again and again")


@safe
def _address_of(content):
    row = json.loads(content)
    return address(f"{row['ip']}:{integer(row['port'])}")
