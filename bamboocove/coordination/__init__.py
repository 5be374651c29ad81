"""Decisions as functions of state and the present time."""
