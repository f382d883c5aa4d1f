"""Stand-in for the platform's store, in a process of its own.

It follows PROTOCOL.md: objects by kind and name, lists in pages of 500 objects or 1 MB, watches from a revision,
410 for history older than `history_s`, 429 beyond the rates, and a revision that rises with each change. What is put is
kept as the bytes that came, whatever they are. All addresses are loopback addresses.

Usage: store.py IP PORT [HISTORY_S]
"""

import asyncio
import json
import sys
import time
import urllib.parse

PAGE_OBJECTS, PAGE_BYTES = 500, 1 << 20
VALUE_BYTES = 1 << 20
ANSWER_S = 0.004
WRITES_PER_S, READS_PER_S = 400, 2000
LONGEST_WAIT_MS = 30000
STALE_S = 3.0  # a call with `serializable` is answered from a copy that is this old


class Rate:
    def __init__(self, limit):
        self.limit, self.second, self.used = limit, 0, 0

    def take(self):
        now = int(time.monotonic())
        if now != self.second:
            self.second, self.used = now, 0
        self.used += 1
        return self.used <= self.limit


class Store:
    def __init__(self, history_s):
        self.kinds, self.history, self.revision, self.history_s = {}, [], 1, history_s
        self.forgotten = 0  # highest revision that is out of the history
        self.writes, self.reads = Rate(WRITES_PER_S), Rate(READS_PER_S)
        self.changed = asyncio.Condition()

    async def change(self, kind, name, spec):
        """@param spec the bytes of the value, or None to remove the object. @returns the revision"""
        objects = self.kinds.setdefault(kind, {})
        removed = spec is None
        if removed and name not in objects:
            return None
        if not removed and name in objects and objects[name][0] == spec:
            return objects[name][1]
        self.revision += 1
        before = objects.get(name)
        value, revision = (objects.pop(name)[0], self.revision) if removed else (spec, self.revision)
        if not removed:
            objects[name] = (spec, revision)
        self.history.append((revision, time.monotonic(), kind, self.event(name, revision, value, removed), name, before))
        async with self.changed:
            self.changed.notify_all()
        return revision

    @staticmethod
    def object_bytes(name, revision, spec):
        meta = json.dumps({"name": name, "revision": revision, "created": 1, "finalizers": [], "deleting": False}).encode()
        return b'{"meta":' + meta + b',"spec":' + spec + b',"status":null}'

    def event(self, name, revision, spec, removed):
        return b'{"object":' + self.object_bytes(name, revision, spec) + b',"removed":' + (b"true" if removed else b"false") + b"}"

    def forget(self):
        oldest = time.monotonic() - self.history_s
        while self.history and self.history[0][1] < oldest:
            self.forgotten = self.history.pop(0)[0]

    def stale_copy(self, kind):
        """@returns the objects of a kind as they were a few seconds ago, and the revision of that time"""
        moment = time.monotonic() - STALE_S
        revision = next((r - 1 for r, at, *_ in self.history if at > moment), self.revision)
        objects = dict(self.kinds.get(kind, {}))
        for r, at, k, _, name, before in reversed(self.history):
            if at > moment and k == kind:
                if before is None:
                    objects.pop(name, None)
                else:
                    objects[name] = before
        return objects, revision

    def page(self, kind, after, is_stale):
        items, size, more = [], 0, False
        objects, as_of = self.stale_copy(kind) if is_stale else (self.kinds.get(kind, {}), self.revision)
        for name in sorted(objects):
            if after is not None and name <= after:
                continue
            item = self.object_bytes(name, objects[name][1], objects[name][0])
            if items and (len(items) >= PAGE_OBJECTS or size + len(item) > PAGE_BYTES):
                more = True
                break
            items.append(item)
            size += len(item)
        return (b'{"items":[' + b",".join(items) + b'],"has_more":' + (b"true" if more else b"false")
                + b',"as_of":' + str(as_of).encode() + b"}")

    def events_since(self, kind, since):
        return [event for revision, _, k, event, *_ in self.history if revision > since and k == kind]

    async def watch(self, kind, since, wait_s):
        self.forget()
        if since < self.forgotten or since > self.revision:
            return 410, b"{}"
        end = time.monotonic() + wait_s
        while not self.events_since(kind, since) and time.monotonic() < end:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
        return 200, b'{"events":[' + b",".join(self.events_since(kind, since)) + b'],"as_of":' + str(self.revision).encode() + b"}"

    async def answer(self, method, target, body):
        url = urllib.parse.urlparse(target)
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[2:]]
        query = urllib.parse.parse_qs(url.query)
        if method in ("PUT", "POST", "DELETE"):
            if not self.writes.take():
                return 429, b"{}"
            if len(body) > VALUE_BYTES:
                return 400, b"{}"
            revision = await self.change(parts[0], parts[1], None if method == "DELETE" else body)
            return (200, json.dumps({"revision": revision}).encode()) if revision else (404, b"{}")
        if "serializable" not in query and not self.reads.take():
            return 429, b"{}"
        if "watch" in query:
            wait_ms = min(int(query.get("wait_ms", ["0"])[0]), LONGEST_WAIT_MS)
            return await self.watch(parts[0], int(query["watch"][0]), wait_ms / 1000)
        return 200, self.page(parts[0], query.get("after", [None])[0], "serializable" in query)

    async def serve(self, reader, writer):
        try:
            method, target, _ = (await reader.readline()).decode().split(" ")
            length = 0
            while line := (await reader.readline()).strip():
                name, _, value = line.decode().partition(":")
                length = int(value) if name.lower() == "content-length" else length
            body = await reader.readexactly(length)
            status, text = await self.answer(method, target, body)
            await asyncio.sleep(ANSWER_S)
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
                         % (status, len(text)) + text)
            await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass  # the caller has gone
        finally:
            writer.close()


async def main():
    store = Store(float(sys.argv[3]) if len(sys.argv) > 3 else 20.0)
    server = await asyncio.start_server(store.serve, sys.argv[1], int(sys.argv[2]), limit=4 << 20)
    print("ready", flush=True)
    async with server:
        await server.serve_forever()


asyncio.run(main())
