"""Randomized soak test: real node processes under externally injected faults."""
