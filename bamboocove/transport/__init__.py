"""Servers, clients and wire formats; decisions are made by the callers."""
