"""Stand-in of the platform's metadata store: objects with revisions, lists and watches."""

import asyncio
import json
import urllib.parse

HISTORY_LIMIT = 10_000


class Store:
    def __init__(self, address, era=None):
        self.address = address
        self.era = era
        self.revision = 5
        self.objects = {}
        self.history = []
        self.oldest = 5
        self.changed = asyncio.Event()
        self.connections = set()
        self.server = None

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        """Closes the listener and all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    def copy(self):
        return self.revision, json.loads(json.dumps(self.objects))

    def restore(self, copy):
        """Continues from a copy: revisions go back and the era rises by one."""
        self.revision, self.objects = copy[0], json.loads(json.dumps(copy[1]))
        self.history, self.oldest = [], self.revision
        self.era += 1
        self._notify()

    def put(self, kind, name, spec):
        """A write of the operator; returns the revision."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known and known["spec"] == spec:
            return known["meta"]["revision"]
        return self._write(kind, name, spec, known)["meta"]["revision"]

    def delete(self, kind, name):
        known = self.objects.get(kind, {}).pop(name, None)
        if known:
            self.revision += 1
            known = json.loads(json.dumps(known))
            known["meta"]["revision"] = self.revision
            self._record(kind, True, known)

    def _write(self, kind, name, spec, known, status=None):
        self.revision += 1
        item = {"meta": {"name": name, "revision": self.revision,
                         "created": known["meta"]["created"] if known else self.revision,
                         "finalizers": [], "deleting": False},
                "spec": spec, "status": status if status is not None else
                (known or {}).get("status")}
        self.objects.setdefault(kind, {})[name] = item
        self._record(kind, False, item)
        return item

    def _record(self, kind, removed, item):
        self.history.append((self.revision, kind, {"removed": removed, "object": item}))
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {k.strip().lower(): v.strip() for k, _, v in
                           (line.partition(":") for line in lines[1:] if line)}
                body = await reader.readexactly(int(headers.get("content-length", "0") or 0))
                status, answer = await self._answer(method, target, body)
                text = json.dumps(answer).encode()
                era = f"Store-Era: {self.era}\r\n" if self.era is not None else ""
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        path = [urllib.parse.unquote(p) for p in parts.path.strip("/").split("/")]
        if path[:2] != ["v1", "objects"] or len(path) < 3:
            return 404, {}
        kind, name = path[2], path[3] if len(path) > 3 else None
        items = self.objects.setdefault(kind, {})
        if method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
            return 200, {"items": [items[n] for n in sorted(items) if n > query.get("after", "")],
                         "more": False, "currentRev": self.revision}
        if method == "GET":
            return (200, items[name]) if name in items else (404, {})
        given = json.loads(body) if body else {}
        if method == "POST":
            name = given["meta"]["name"]
            if name in items:
                return 409, items[name]
            return 200, self._write(kind, name, given.get("spec"), None)
        if name not in items:
            return 404, {}
        wanted = given.get("meta", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != items[name]["meta"]["revision"]:
            return 409, items[name]
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        if method == "PUT" and len(path) == 4:
            if items[name]["spec"] == given.get("spec"):
                return 200, items[name]
            return 200, self._write(kind, name, given.get("spec"), items[name])
        return 404, {}

    async def _watch(self, kind, since, wait_ms):
        if since < self.oldest or since > self.revision:
            return 410, {}
        era = self.era
        end = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            if self.era != era:
                return 410, {}
            events = [event for revision, of, event in self.history
                      if of == kind and revision > since]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
