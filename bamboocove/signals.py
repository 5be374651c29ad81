"""Blinker signals that are sent at the steps of a node's life cycle."""

from blinker import signal

node_started = signal("node-started")
snapshot_applied = signal("snapshot-applied")
drain_started = signal("drain-started")
node_stopped = signal("node-stopped")
move_ended = signal("move-ended")
