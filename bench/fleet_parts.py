"""Member records and counted connections for ``bench/fleet_peer.py``."""

from typing import Any

from twisted.internet.protocol import Factory
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from bamboocove.state.members import Member, WorkerRecord

HOST = "127.0.0.1"


def make_address(index: int) -> str:
    """Return a loopback address of a member's own.

    Thousands of ports on one address would use up those of the machine.

    Examples
    --------
    >>> make_address(251)
    '127.1.1.2'
    """
    return f"127.1.{index // 250}.{index % 250 + 1}"


def make_members(count: int, zones: int, services: int, workers: int) -> list[Member]:
    """Return member records; ``workers`` are spread evenly over them."""
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
    """Counts the bytes of a connection."""

    def dataReceived(self, data: bytes) -> None:
        """Count; named by Twisted."""
        self.factory.count(len(data))
        super().dataReceived(data)

    def write(self, data: bytes) -> None:
        """Count; named by Twisted."""
        self.factory.count(len(data))
        super().write(data)

    def writeSequence(self, data: Any) -> None:
        """Count; named by Twisted."""
        self.factory.count(sum(map(len, data)))
        super().writeSequence(data)


class CountingFactory(WrappingFactory):
    """Counts the bytes and the transfers of all connections."""

    protocol = _CountingProtocol

    def __init__(self, factory: Factory):
        super().__init__(factory)
        self.bytes = self.transfers = 0

    def count(self, size: int) -> None:
        """Count one transfer."""
        self.bytes += size
        self.transfers += 1
