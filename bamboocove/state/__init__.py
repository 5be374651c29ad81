"""State of one node as plain data structures, without I/O or a clock."""
