"""Schedule of the soak test's faults, and proxies that delay bytes."""

from random import Random

from twisted.internet import reactor
from twisted.internet.task import deferLater

from soak.faults import PLANNED_KINDS, plan_faults, plan_work
from soak.proxies import FaultProxy
from tests.callpath import Caller, Worker, run
from tests.sidecar.hosts import get_free_port


async def pause(seconds):
    await deferLater(reactor, seconds)


def test_series_only_add_faults_to_the_schedule_of_a_seed():
    """Guards against kept seeds that no longer play the faults that once failed."""
    for seed in range(20):
        single = plan_faults(Random(seed), 20.0)
        events = plan_faults(Random(seed), 20.0, Random(seed + 1))
        assert events[: len(single)] == single
        assert all(event.at < 20.0 for event in events)
        assert len(events) > len(single)


def test_planned_work_comes_in_series_on_the_same_hosts():
    """Guards against a run of planned work that excuses what it breaks."""
    events = [event for seed in range(20) for event in plan_work(Random(seed), 20.0)]
    kinds = {event.kind for event in events}
    assert kinds == {*PLANNED_KINDS, "starve"}
    for kind in "hang_up", "starve":
        draws = {event.draw for event in events if event.kind == kind}
        assert draws & {event.draw for event in events if event.kind == "stop"}


def test_delayed_bytes_keep_their_order_when_the_delay_ends():
    """Guards against a proxy that reorders a stream, which TCP never does."""
    worker = Worker()
    port = get_free_port()
    proxy = FaultProxy(("127.0.0.1", port), ("127.0.0.1", worker.port), reactor)
    caller = Caller(port)
    proxy.delay_s = 0.3
    caller.send(b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n1234")
    # The proxy has received these bytes, and holds them.
    run(pause(0.1))
    proxy.heal()
    caller.send(b"5678")
    data = caller.read_until(lambda data: data.endswith(b"5678"))
    assert data.endswith(b"\r\n\r\n12345678")
    caller.close()
    proxy.close()
    worker.close()
