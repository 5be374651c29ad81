"""Sockets and wire formats; carries no policy."""
