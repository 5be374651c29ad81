"""Recorder of the store calls by which nodes follow the operator's data."""


class OperatorCalls:
    """Calls for the operator's data, made by the nodes of a mesh from now on.

    Attributes
    ----------
    kinds_by_id : dict of str to list of str
        ``read`` or ``watch`` for each call, by host.
    watching_ids : set of str
        Hosts with an open watch call.
    """

    def __init__(self, mesh):
        self.kinds_by_id = {host.host_id: [] for host in mesh.hosts}
        self.watching_ids = set()
        for host in mesh.hosts:
            host.node.watch._store = _RecordingStore(mesh.store, host.host_id, self)

    def clear(self):
        for kinds in self.kinds_by_id.values():
            kinds.clear()


class _RecordingStore:
    def __init__(self, store, host_id, calls):
        self._store = store
        self._host_id = host_id
        self._calls = calls

    async def read_operator(self):
        self._calls.kinds_by_id[self._host_id].append("read")
        return await self._store.read_operator()

    async def watch_operator(self, *args):
        self._calls.kinds_by_id[self._host_id].append("watch")
        self._calls.watching_ids.add(self._host_id)
        try:
            return await self._store.watch_operator(*args)
        finally:
            self._calls.watching_ids.discard(self._host_id)

    def __getattr__(self, name):
        return getattr(self._store, name)
