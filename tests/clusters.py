"""Clusters of node processes for tests."""

from collections import Counter
from contextlib import contextmanager
from random import Random

from twisted.internet import reactor
from twisted.internet.process import reapAllProcesses
from twisted.internet.task import LoopingCall, deferLater

from soak.cluster import Cluster
from soak.records import Journal
from tests.callpath import run
from tests.networks import find_free_network

LOG_LINES = 150
BODY_BYTES = 60


async def _pause(seconds):
    await deferLater(reactor, seconds)


@contextmanager
def run_cluster(folder):
    """Run a cluster without hosts; print the ends of the logs of its nodes at the end.

    The output of a fixture is shown for a test that has failed.
    """
    cluster = Cluster(find_free_network(), folder, Random(1), reactor, Journal(1))
    # The reactor of the tests installs no signal handlers, so no SIGCHLD arrives.
    reaper = LoopingCall(reapAllProcesses)
    reaper.start(0.05)
    cluster.start_store()
    yield cluster
    run(cluster.stop(), 10)
    # The ports close in a later iteration of the reactor.
    run(_pause(0.1))
    reaper.stop()
    for host in cluster.hosts_by_id.values():
        print(*host.node.log_path.read_text().splitlines()[-LOG_LINES:], sep="\n")


def is_serving(host):
    log = host.node.log_path.read_text()
    return '"event":"worker.state"' in log and '"event":"node.serving"' in log


def describe_responses(callers):
    """Return how many callers have got which response, as far as it has arrived."""
    counts = Counter()
    for caller in callers:
        caller._read()
        head, _, body = caller.data.partition(b"\r\n\r\n")
        counts[head.partition(b"\r\n")[0], body[:BODY_BYTES], caller.is_closed] += 1
    return str(dict(counts))
