"""The child process of hollow nodes: the real watches of many nodes, without the data path.

`python -m benchmarks.hollow.nodes` reads the messages of `benchmarks.hollow.messages` from standard input:
`StartNodes` first, then any number of `ExpectChange` and `CountersRequest` messages.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import resource

import msgspec

from benchmarks.hollow.messages import (
    NODES_REQUESTS,
    Acknowledgement,
    ExpectChange,
    NodesStarted,
    StartNodes,
)
from benchmarks.hollow.metered_watch import use_metered_connections
from benchmarks.hollow.node_group import HollowNodes
from benchmarks.support.child_streams import open_standard_input, read_message, write_message


def raise_descriptor_limit() -> None:
    """Raise this process's soft limit on file descriptors to its hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        with contextlib.suppress(ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def main() -> None:
    """Process messages from standard input until it ends."""
    raise_descriptor_limit()
    logging.getLogger("loadbalancer").setLevel(logging.ERROR)
    use_metered_connections()
    requests = await open_standard_input()
    start = await read_message(requests, msgspec.json.Decoder(StartNodes))
    if start is None:
        return
    nodes = HollowNodes(start)
    await nodes.start()
    write_message(NodesStarted(len(nodes.nodes)))
    while (request := await read_message(requests, NODES_REQUESTS)) is not None:
        if isinstance(request, ExpectChange):
            nodes.expect(request)
            write_message(Acknowledgement())
        else:
            write_message(nodes.snapshot_counters(clear=request.clear))
    nodes.close()


if __name__ == "__main__":
    asyncio.run(main())
