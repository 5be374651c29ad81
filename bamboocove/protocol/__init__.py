"""Typed messages, rows and the operators' text, with their codecs."""
