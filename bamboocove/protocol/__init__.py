"""Message types, table rows and the operators' text, with their codecs."""
