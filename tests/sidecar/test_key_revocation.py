"""Requests with a key at nodes that may not know which keys were withdrawn."""

import math
from types import SimpleNamespace

import pytest
from twisted.internet import reactor
from twisted.internet.task import deferLater

from bamboocove.coordination.accounts import digest_key
from bamboocove.coordination.key_freshness import get_max_age
from bamboocove.coordination.readers import Duty
from bamboocove.protocol.mesh_messages import decode_mesh_message
from bamboocove.sidecar.key_proofs import KeyProofs
from bamboocove.sidecar.settings import Bounds
from bamboocove.sidecar.store import OperatorUpdate
from bamboocove.sidecar.watch import WATCH_DELAY_S
from bamboocove.state.mesh import ClientAccount
from bamboocove.transport.monotonic_clock import read_boot_time
from tests.callpath import run, run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, read_response
from tests.sidecar.test_client_accounts import call, make_account_config

KEY = b"X-Key: key-n\r\n"
NORTH = ClientAccount("north", (digest_key(b"key-n"),))
REVOCATION_S = 2.4
MAX_AGE_S = get_max_age(REVOCATION_S)
POLL_S = 0.3


def make_mesh(is_strict=True):
    mesh = HostMesh()
    mesh.bounds = Bounds(is_revocation_strict=is_strict, revocation_s=REVOCATION_S)
    mesh.store.watch_s = POLL_S
    mesh.store.put_config(make_account_config(2, NORTH))
    for service in ("orders", "orders", "front"):
        mesh.add(service)
    mesh.settle()
    return mesh


@pytest.fixture
def mesh():
    mesh = make_mesh()
    yield mesh
    mesh.close()


def wait(seconds):
    async def pause():
        await deferLater(reactor, seconds)

    run(pause())


def find_standby(mesh):
    """Return the host that learns from the readers and not from the store."""
    duties = {host.node.dissemination.get_duty(): host for host in mesh.hosts}
    assert Duty.STANDBY in duties
    return duties[Duty.STANDBY]


def start_upload(host):
    """Send a request without the last byte of its body."""
    data = format_call("/read/1", "POST", b"12", left_ms=9000)
    return host.open(data.replace(b"\r\n\r\n", b"\r\n" + KEY + b"\r\n")[:-1])


def test_silent_store_ends_requests_with_a_key(mesh, capfd):
    """Guards against nodes that serve withdrawn keys while the store is silent."""
    host = find_standby(mesh)
    # Nodes watch the store some time after their first read.
    wait(WATCH_DELAY_S + 2 * POLL_S)
    assert call(host, "/read/1", KEY) == 200
    mesh.store.is_silent = True
    # Long polls in progress may bring a last proof.
    wait(0.6 * MAX_AGE_S)
    assert [call(each, "/read/1", KEY) for each in mesh.hosts] == [200] * 3
    wait(0.2 * MAX_AGE_S)
    upload = start_upload(host)
    wait(0.2 * MAX_AGE_S + POLL_S)
    assert [call(each, "/read/1", KEY) for each in mesh.hosts] == [503] * 3
    assert [call(each, "/open/1") for each in mesh.hosts] == [200] * 3
    upload.send(b"2")
    status, fields, body = read_response(upload)
    upload.close()
    assert status == 503 and body.startswith(b"stale_keys")
    assert float(fields["retry-after"]) > 0.0
    mesh.store.is_silent = False
    run_reactor_until(lambda: call(host, "/read/1", KEY) == 200)
    run_reactor_until(lambda: host.node.key_proofs._stale_since is None)
    output = capfd.readouterr().out
    assert '"keys.stale"' in output and '"keys.fresh"' in output


def test_key_that_is_withdrawn_while_the_body_arrives_gets_401(mesh):
    """Guards against a slow body that outlives the key at its head."""
    host = find_standby(mesh)
    upload = start_upload(host)
    wait(0.1)
    south = ClientAccount("south", (digest_key(b"key-s"),))
    mesh.store.put_config(make_account_config(3, south))
    run_reactor_until(lambda: host.node.config.version == 3)
    upload.send(b"2")
    assert read_response(upload)[0] == 401
    upload.close()
    assert not any(each.requests for each in mesh.hosts)


def test_proof_is_not_needed_unless_revocation_is_strict():
    """Guards against a refusal in deployments that did not ask for it."""
    mesh = make_mesh(is_strict=False)
    mesh.store.is_silent = True
    wait(REVOCATION_S)
    assert [call(each, "/read/1", KEY) for each in mesh.hosts] == [200] * 3
    mesh.close()


def test_time_of_a_suspended_machine_counts(mesh):
    """Guards against a proof whose age leaves out the time in suspension."""
    host = mesh.hosts[2]
    assert call(host, "/read/1", KEY) == 200
    host.node.key_proofs.get_boot_time = lambda: read_boot_time() + 10.0
    assert call(host, "/read/1", KEY) == 503
    assert call(host, "/open/1") == 200


def test_restarted_node_asks_for_the_time_of_the_store(mesh):
    """Guards against a process that trusts a proof before it knows the time."""
    host = find_standby(mesh)
    other = next(each for each in mesh.hosts if each is not host)
    reader = other.node.key_proofs
    restarted = KeyProofs(host.node, read_boot_time)
    sent = []
    link = SimpleNamespace(send_encoded=sent.append)
    restarted.take(link, reader.freshness.get_newest_proof(2))
    assert restarted.get_age() == math.inf
    reader.take(link, decode_mesh_message(sent[0]))
    restarted.take(link, decode_mesh_message(sent[1]))
    assert restarted.get_age() < MAX_AGE_S


def test_read_without_a_valid_configuration_proves_nothing(mesh):
    """Guards against a node that missed a version behind a mistaken edit."""
    node = mesh.hosts[0].node
    proofs = KeyProofs(node, node.get_boot_time)

    def get_age_after(config, is_full_read):
        now = read_boot_time()
        store_s = reactor.seconds()
        update = OperatorUpdate(
            config, (), 9, is_full_read, store_time_s=store_s, asked_at=now
        )
        proofs.record_update(update)
        return proofs.get_age()

    assert get_age_after(None, True) == math.inf
    assert get_age_after(None, False) == math.inf
    assert get_age_after(node.config, False) < MAX_AGE_S
