"""Clients of a soak run that send many requests at once on a connection."""

from __future__ import annotations

import asyncio

from benchmarks.soak.clients import MAX_DEADLINE_MS, MAX_PAUSE_S, OWED_S, RECONNECT_PAUSE_S, Crowd
from benchmarks.soak.ledger import RequestRecord
from benchmarks.soak.messages import read_message

MAX_PIPELINED_REQUESTS = 32
READ_WITHIN_S = 0.5  # after which the proxy has read a request, also one behind others on its connection


class PipeliningCrowd(Crowd):
    """All clients of one run, which know the proxy by its address only."""

    async def pipeline(self) -> None:
        """Send many requests at once on a connection, and read their responses in order, again and again."""
        while not self.stopping:
            connection = await self._connect()
            while connection is not None and not self.stopping:
                if not await self._send_batch(*connection):
                    break
                await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
            if connection is not None:
                connection[1].transport.abort()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _send_batch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send requests at once and read their responses; return whether the connection stays open."""
        # With one deadline for all, a response that waits for the one before it is not late by that.
        batch = [
            self._new_request(MAX_DEADLINE_MS) for _ in range(self._random.randint(2, MAX_PIPELINED_REQUESTS))
        ]
        ids = list(self._ledger.requests)[-len(batch) :]
        answered, closed, lost = 0, False, False
        try:
            writer.write(b"".join(data for _, data in batch))
            async with asyncio.timeout(MAX_DEADLINE_MS / 1000.0 + OWED_S):
                for record, _ in batch:
                    message = await read_message(reader)
                    record.status, record.body = message.status, message.body
                    record.answered_s = self._loop.time()
                    answered += 1
                    if message.headers.get("connection") == "close":
                        closed = True
                        break
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            lost = True
        for (record, _), request_id in zip(batch[answered:], ids[answered:], strict=True):
            self._excuse_unanswered(record, request_id, announced=closed)
        return not closed and not lost

    def _excuse_unanswered(self, record: RequestRecord, request_id: str, *, announced: bool) -> None:
        """Excuse a request that the proxy has not taken.

        That is one behind a response that announces the end of the connection, or one that the proxy may not
        have read when the connection ended.
        """
        record.excused = any(killed_s >= record.sent_s for killed_s in self.killed_at_s)
        unread = announced or self._loop.time() < record.sent_s + READ_WITHIN_S
        if unread and request_id not in self._ledger.executions:
            del self._ledger.requests[request_id]
