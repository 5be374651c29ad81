"""Data of one node, without input, output or clock."""
