"""Tasks of a node that forwards for the worker on its own host."""
