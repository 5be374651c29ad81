"""Adapter to the users' platform: translates its settings, documents and headers."""
