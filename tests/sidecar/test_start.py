"""Modules that a node imports at its start."""

import subprocess
import sys

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
