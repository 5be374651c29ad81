"""Hooks of the test run."""

import gc


def pytest_collection_finish():
    # The collected tests live until the end. A full garbage collection that examines
    # them, too, suspends the nodes of a test for 0.3 s.
    gc.collect()
    gc.freeze()
