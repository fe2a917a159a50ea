"""The discovery server as a process: SIGTERM, restart, exit codes."""

from __future__ import annotations

import fcntl

import pytest

from tests.discovery_server.cluster import HOSTS, Client, ListResponse, list_response
from tests.discovery_server.processes import (
    configuration,
    exit_code,
    listening_address,
    log_event,
    run_until_exit,
    running_process,
)


@pytest.fixture
def settings(tmp_path):
    """A configuration whose upstream refuses connections."""
    return configuration(tmp_path, "127.0.0.1:9")


async def test_sigterm_completes_the_watches_with_a_last_response(cluster, tmp_path):
    registry = await cluster.registry("a")
    with running_process(tmp_path, configuration(tmp_path, registry.endpoint)) as process:
        address = await listening_address(process)
        await log_event(process, "change committed")
        async with await Client.connect(address) as client, await Client.connect(address) as other_client:
            revision = (await client.get_list()).revision
            client.send_watch(revision)
            await other_client.get()  # its response shows that the server has read the watch
            process.terminate()
            message = await client.read()
            assert (list_response(message), message.headers["connection"]) == ((revision, False, []), "close")
            assert await exit_code(process) == 0


async def test_next_process_continues_from_the_revision_that_clients_hold(cluster, tmp_path):
    registry = await cluster.registry("a")
    with running_process(tmp_path, configuration(tmp_path, registry.endpoint)) as process:
        address = await listening_address(process)
        await log_event(process, "change committed")
        async with await Client.connect(address) as client:
            client.send_watch((await client.get_list()).revision)
            client.send(HOSTS)  # pipelined: the server reads it after the watch
            registry.set_endpoints("a", "b")
            later, _, uids = list_response(await client.read())
            assert uids == ["b"]
            await client.read()
        process.terminate()
        assert await exit_code(process) == 0
    await registry.aclose()

    with running_process(tmp_path, configuration(tmp_path, registry.endpoint)) as process:
        async with await Client.connect(await listening_address(process)) as client:
            assert await client.get_list() == ListResponse(later, True, ["a", "b"])
        process.terminate()
        assert await exit_code(process) == 0


def test_bad_configuration_exits_with_code_2_and_a_one_line_error(tmp_path):
    result = run_until_exit(tmp_path, "lists = []")
    assert result.code == 2
    assert len(result.errors.splitlines()) == 1
    assert result.errors.endswith("- at `$.lists`\n")


def test_process_exits_with_code_1_if_another_one_holds_the_state_directory(settings, tmp_path):
    state = tmp_path / "state"
    state.mkdir()
    with (state / "lock").open("wb") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        result = run_until_exit(tmp_path, settings)
    assert (result.code, len(result.errors.splitlines())) == (1, 1)
