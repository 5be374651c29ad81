"""Start of a node: the modules that it imports, and requests that come early."""

import subprocess
import sys

import pytest
from twisted.internet import reactor

from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, make_config

CODE = "import sys, bamboocove.platform.node; print(*sorted(sys.modules))"


def test_node_imports_no_modules_that_only_the_other_mesh_uses():
    """Guards against needless imports, which delay a restart on half a core."""
    process = subprocess.run(
        [sys.executable, "-c", CODE], capture_output=True, text=True
    )
    loaded = set(process.stdout.split())
    assert "bamboocove.sidecar.application" in loaded
    unused = {
        "bamboocove.protocol.messages",
        "bamboocove.state.config",
        "klein",
        "treq",
    }
    assert not unused & loaded


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.store.put_config(make_config(read={"orders": 1}))
    yield mesh
    mesh.close()


def test_caller_returns_soon_to_a_node_that_has_just_started(mesh):
    """Guards against callers sent away for a second while links are being opened."""
    host = mesh.add("front")
    run_reactor_until(lambda: host.node.config.version)
    status, fields, body = host.call(left_ms=4000)
    assert (status, body.split(b":")[0]) == (503, b"not_ready")
    assert 0 < float(fields["retry-after"]) < 0.5
    end = reactor.seconds() + 1.6
    run_reactor_until(lambda: reactor.seconds() > end)
    status, fields, body = host.call(left_ms=4000)
    assert (status, body.split(b":")[0]) == (503, b"no_upstream")
    assert float(fields["retry-after"]) > 0.5
