"""End of a node process after a planned stop."""

import signal

from tests.platform.test_start import WAIT_S, start_node, wait_until


def test_process_ends_without_a_teardown_of_the_interpreter(tmp_path, monkeypatch):
    """Guards against a planned stop that exceeds its grace period on a busy host."""
    # The interpreter then says what it does, its teardown included.
    monkeypatch.setenv("PYTHONVERBOSE", "1")
    node = start_node(tmp_path)
    log = tmp_path / "log"
    try:
        wait_until(lambda: b"node.started" in log.read_bytes())
        node.send_signal(signal.SIGTERM)
        assert node.wait(WAIT_S) == 0
    finally:
        node.kill()
    _, _, rest = log.read_bytes().partition(b"node.stopped")
    assert rest and b"# cleanup" not in rest
