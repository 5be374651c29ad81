"""Adapter to the users' platform: translates its settings, bodies and headers."""
