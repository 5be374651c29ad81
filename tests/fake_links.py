"""In-memory links between distributors in one process, on a fake clock."""

from bamboocove.protocol.messages import decode_message, encode_message

LATENCY_S = 0.001
CONNECT_TIMEOUT_S = 3.0


class FakeHub:
    """Simulated network between all nodes, which can be partitioned.

    Parameters
    ----------
    clock : Clock
        Fake reactor.

    Attributes
    ----------
    handlers_by_port : dict of int to tuple
        Network and link handlers of each listening node.
    groups_by_port : dict of int to hashable
        Partition of each node; nodes that are not listed form one partition.
    messages : list of tuple
        Delivered messages as (source port, destination port, message).
    """

    def __init__(self, clock):
        self.clock = clock
        self.handlers_by_port = {}
        self.groups_by_port = {}
        self.messages = []

    def can_reach(self, port, other):
        """Return whether two nodes are in the same partition."""
        return self.groups_by_port.get(port) == self.groups_by_port.get(other)


class FakeLink:
    """One end of a link, which encodes messages with the real codec."""

    def __init__(self, hub, handlers, outgoing, port, address):
        self.hub = hub
        self.handlers = handlers
        self.outgoing = outgoing
        self.port = port
        self.address = address
        self.state = "connecting"
        self.remote = None
        self.bytes_sent = self.bytes_received = self.writes = self.reads = 0

    def send(self, message):
        return self.send_encoded(encode_message(message))

    def send_encoded(self, data):
        if self.state != "open":
            return False
        self.bytes_sent += len(data)
        self.writes += 1
        if self.hub.can_reach(self.port, self.remote.port):
            self.hub.clock.callLater(LATENCY_S, self.remote.receive, data)
        return True

    def receive(self, data):
        if self.state == "open":
            self.bytes_received += len(data)
            self.reads += 1
            message = decode_message(data)
            self.hub.messages.append((self.remote.port, self.port, message))
            self.handlers.on_message(self, message)

    def open(self):
        if self.state == "connecting":
            self.state = "open"
            self.handlers.on_open(self)

    def close(self, reason):
        if self.state in ("closing", "closed"):
            return
        self.state = "closing"
        clock = self.hub.clock
        if self.remote is not None and self.hub.can_reach(self.port, self.remote.port):
            clock.callLater(2 * LATENCY_S, self.remote.finish_close, "closed by peer")
        clock.callLater(2 * LATENCY_S, self.finish_close, reason)

    def finish_close(self, reason):
        if self.state != "closed":
            self.state = "closed"
            self.handlers.on_closed(self, reason)


class FakeNetwork:
    """Fake of the ``PeerNetwork`` of the node that listens on ``port``."""

    def __init__(self, hub, port):
        self.hub = hub
        self.port = port
        self.links = []

    async def listen(self, host, port, handlers):
        self.hub.handlers_by_port[self.port] = self, handlers
        return self.port

    def dial(self, host, port, handlers):
        link = FakeLink(self.hub, handlers, True, self.port, f"{host}:{port}")
        self.links.append(link)
        if not self.hub.can_reach(self.port, port):
            self.hub.clock.callLater(CONNECT_TIMEOUT_S, link.finish_close, "timeout")
        elif port not in self.hub.handlers_by_port:
            self.hub.clock.callLater(LATENCY_S, link.finish_close, "refused")
        else:
            network, other_handlers = self.hub.handlers_by_port[port]
            address = f"{host}:{self.port}"
            link.remote = FakeLink(self.hub, other_handlers, False, port, address)
            link.remote.remote = link
            network.links.append(link.remote)
            self.hub.clock.callLater(LATENCY_S, link.open)
            self.hub.clock.callLater(LATENCY_S, link.remote.open)
        return link

    async def stop(self):
        self.hub.handlers_by_port.pop(self.port, None)

    def crash(self):
        """Drop all links without a Goodbye, as a killed process does."""
        self.hub.handlers_by_port.pop(self.port, None)
        for link in self.links:
            if link.remote is not None:
                link.remote.finish_close("connection lost")
            link.state = "closed"
