"""A worker as a process of its own, as PROTOCOL.md describes it, with faults on order.

``python3 review/worker_2.py --name i-00000001``.  Prints ``listens PORT`` and then, for each
request that it runs, its id, the CRC and the length of its body, and its request line.

``--endless``: from ``--after-s`` on, its answers have no length and these bytes without end.
``--unframed N``: every Nth answer has no length and ends with its connection; with ``--copies``
the worker sends, before it closes the connection, the answer to the last health check there a
second time.
``--last N``: every Nth answer says ``Connection: close`` and is the last of its connection; with
``--cut`` it is cut short, and the same answer follows once more, whole.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import zlib

SLOTS = 6
_PART_BYTES = 64 * 1024


class Worker:
    """Answers health checks and requests.

    Parameters
    ----------
    options : argparse.Namespace
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._endless = options.endless.encode().decode("unicode_escape").encode("latin-1")
        self._running = 0
        self._began = asyncio.get_running_loop().time()
        self._answers = itertools.count(1)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        health = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                if head[0].split()[1] == "/health":
                    health = self._answer(200, f"Instance-Id: {self._options.name}")
                    writer.write(health)
                elif not await self._request(head[0], fields, body, health, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _request(
        self,
        line: str,
        fields: dict[str, str],
        body: bytes,
        health: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        attempt = f"Attempt-Id: {fields['attempt-id']}"
        if fields.get("expect-instance", self._options.name) != self._options.name:
            writer.write(self._answer(421, attempt))
            return True
        if self._running >= SLOTS:
            writer.write(self._answer(503, attempt, "Not-Executed: 1"))
            return True
        self._running += 1
        print(f"run {fields['attempt-id']} {zlib.crc32(body):08x} {len(body)} {line}", flush=True)
        try:
            await asyncio.sleep(self._options.work_ms / 1000)
            seal = f"Response-Seal: seal-{fields['attempt-id']}"
            if self._endless and self._is_late():
                writer.write(self._answer(200, attempt, seal, body=None))
                part = self._endless * (_PART_BYTES // len(self._endless))
                while True:
                    writer.write(part)
                    await writer.drain()
            whole = f"{self._options.name} ran {fields['attempt-id']}".encode()
            if self._options.unframed and next(self._answers) % self._options.unframed == 0:
                # Whole answer, then perhaps one that belongs to no request, then the end.
                head = self._answer(200, attempt, seal, "Connection: close", body=None)
                writer.write(head + whole + (health if self._options.copies else b""))
                return False
            if self._options.last and next(self._answers) % self._options.last == 0:
                answer = self._answer(200, attempt, seal, "Connection: close", body=whole)
                cut = answer[: -len(whole) // 2] if self._options.cut else b""
                writer.write(cut + answer)
                return False
            writer.write(self._answer(200, attempt, seal, body=whole))
            return True
        finally:
            self._running -= 1

    def _is_late(self) -> bool:
        return asyncio.get_running_loop().time() - self._began >= self._options.after_s

    def _answer(self, status: int, *lines: str, body: bytes | None = b"") -> bytes:
        """Return an answer; one whose body is None has no length, and its body follows."""
        head = [f"HTTP/1.1 {status} -", *lines, f"Instance-Load: {self._running},0,{SLOTS},100"]
        if body is not None:
            head.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*head, "", ""]).encode() + (body or b"")


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--work-ms", type=float, default=50.0)
    parser.add_argument("--endless", default="")
    parser.add_argument("--after-s", type=float, default=0.0)
    parser.add_argument("--unframed", type=int, default=0)
    parser.add_argument("--copies", action="store_true")
    parser.add_argument("--last", type=int, default=0)
    parser.add_argument("--cut", action="store_true")
    worker = Worker(parser.parse_args())
    server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
    print("listens", server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
