"""Tests of the stand-ins as separate processes."""

import json
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from concurrent.futures import ThreadPoolExecutor

import pytest

EXIT_TIMEOUT_S = 10


@pytest.fixture
def start():
    processes = []

    def start_process(*arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", "bamboocove.standin", *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        processes.append(process)
        return process, json.loads(process.stdout.readline())

    yield start_process
    for process in processes:
        if process.poll() is None:
            process.kill()
        process.wait(EXIT_TIMEOUT_S)
        process.stdout.close()


def fetch(port, path, data=None, **headers):
    url = f"http://127.0.0.1:{port}{path}"
    request = urllib.request.Request(url, data=data, headers=headers)
    with urllib.request.urlopen(request, timeout=5) as response:
        return json.loads(response.read())


def test_platform_prints_its_port_and_accepts_faults(start):
    process, ready = start("platform")
    assert ready["kind"] == "platform"
    assert ready["table_url"] == f"http://127.0.0.1:{ready['port']}"
    faults = fetch(ready["port"], "/faults", b'{"outage": true}')
    assert faults["outage"] is True
    with pytest.raises(urllib.error.HTTPError) as caught:
        fetch(ready["port"], "/table/rows/a")
    assert caught.value.code == 503
    assert fetch(ready["port"], "/counters")["refused"] == 1
    process.send_signal(signal.SIGTERM)
    assert process.wait(EXIT_TIMEOUT_S) == 0


def test_worker_exits_on_sigterm_after_its_drain(start):
    process, ready = start("worker", "--drain", "0.2", "--service", "ledger")
    assert fetch(ready["port"], "/x")["service"] == "ledger"
    process.send_signal(signal.SIGTERM)
    assert process.wait(EXIT_TIMEOUT_S) == 0


def test_call_in_flight_on_sigterm_is_answered(start):
    """Guards against a planned stop that discards a response in a send buffer."""
    process, ready = start("worker", "--drain", "0", "--work", "0.5")
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(fetch, ready["port"], "/x?bytes=1000000")
        while fetch(ready["port"], "/counters")["running"] == 0:
            time.sleep(0.01)
        process.send_signal(signal.SIGTERM)
        assert call.result(EXIT_TIMEOUT_S)["service"] == "orders"
    assert process.wait(EXIT_TIMEOUT_S) == 0


def test_poison_request_ends_the_process_without_an_answer(start):
    process, ready = start("worker", "--faults", '{"crash_header": "x-poison"}')
    with pytest.raises((urllib.error.URLError, ConnectionError)):
        fetch(ready["port"], "/x", **{"x-poison": "1"})
    assert process.wait(EXIT_TIMEOUT_S) == 70
