"""Tasks of a sidecar node, which forwards requests for the worker on its host."""
