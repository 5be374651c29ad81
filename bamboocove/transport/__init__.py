"""HTTP and WebSocket transports; they contain no policy."""
