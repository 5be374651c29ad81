"""Member records and byte-counting connections for ``bench/fleet_peer.py``."""

from typing import Any

from twisted.internet.protocol import Factory
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from bamboocove.state.members import Member, WorkerRecord

HOST = "127.0.0.1"


def make_address(index: int) -> str:
    """Return a loopback address that is unique to a member.

    With an address of its own, each member can listen on the same port. Thousands
    of ports on one address would exhaust the port range of the machine.

    Examples
    --------
    >>> make_address(251)
    '127.1.1.2'
    """
    return f"127.1.{index // 250}.{index % 250 + 1}"


def make_members(count: int, zones: int, services: int, workers: int) -> list[Member]:
    """Return ``count`` member records with ``workers`` spread evenly over them."""
    members = []
    for index in range(count):
        records = tuple(
            WorkerRecord(f"service-{n % services}", "v1", HOST, 1 + n, 12, 120)
            for n in range(index, workers, count)
        )
        zone = f"z{index % zones}"
        host = make_address(index)
        members.append(Member(f"m{index}", 1, 1, zone, "r", host, 1, "alive", records))
    return members


class _CountingProtocol(ProtocolWrapper):
    """Reports the size of each transfer of a connection to its factory."""

    def dataReceived(self, data: bytes) -> None:
        """Count received data and pass it on."""
        self.factory.count_transfer(len(data))
        super().dataReceived(data)

    def write(self, data: bytes) -> None:
        """Count sent data and pass it on."""
        self.factory.count_transfer(len(data))
        super().write(data)

    def writeSequence(self, data: Any) -> None:
        """Count a sequence of sent data as one transfer and pass it on."""
        self.factory.count_transfer(sum(map(len, data)))
        super().writeSequence(data)


class CountingFactory(WrappingFactory):
    """Counts the bytes and transfers of all connections, in both directions.

    Every read and every write of a connection is one transfer.
    """

    protocol = _CountingProtocol

    def __init__(self, factory: Factory):
        super().__init__(factory)
        self.byte_count = self.transfer_count = 0

    def count_transfer(self, size: int) -> None:
        """Add one transfer of ``size`` bytes to the totals."""
        self.byte_count += size
        self.transfer_count += 1
