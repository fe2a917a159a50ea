"""The programs start with the files in docs/examples, on ports that the kernel chooses."""

from __future__ import annotations

import http.client
import json
import os
import re
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator

import pytest

from loadbalancer.discovery_server.config import read_config
from loadbalancer.proxy.config import parse_config
from tests.support.documentation import EXAMPLES, ROOT

Start = Callable[..., subprocess.Popen[str]]


@pytest.fixture
def start() -> Iterator[Start]:
    """Starts a module as a process, which is killed after the test."""
    processes: list[subprocess.Popen[str]] = []

    def start_module(*arguments: str, **environment: str) -> subprocess.Popen[str]:
        command = [sys.executable, "-m", *arguments]
        variables = os.environ | environment
        process = subprocess.Popen(command, cwd=ROOT, env=variables, stderr=subprocess.PIPE, text=True)
        processes.append(process)
        return process

    yield start_module
    for process in processes:
        process.kill()
        process.communicate()


def logged_port(process: subprocess.Popen[str], event: str) -> int:
    """The port in the log line of this event, which is written once the program listens."""
    assert process.stderr is not None
    for line in process.stderr:
        if event in line:
            return int(re.findall(r"127\.0\.0\.1:(\d+)", line)[0])
    raise AssertionError(f"the process ended without {event!r}")


def readiness_status(port: int) -> int:
    connection = http.client.HTTPConnection("127.0.0.1", port)
    try:
        connection.request("GET", "/up")
        return connection.getresponse().status
    finally:
        connection.close()


def test_example_proxy_is_ready_and_exits_with_0_on_sigterm(start, tmp_path):
    document = json.loads((EXAMPLES / "proxy.json").read_text())
    path = tmp_path / "proxy.json"
    path.write_text(json.dumps(document | {"listen": "127.0.0.1:0"}))
    process = start("loadbalancer", PROXY_CONFIG=str(path))
    assert readiness_status(logged_port(process, "proxy serving")) == 200
    process.send_signal(signal.SIGTERM)
    assert process.wait() == 0


def test_example_discovery_server_has_no_list_yet_and_exits_with_0_on_sigterm(start, tmp_path):
    text = (EXAMPLES / "discovery-server.toml").read_text()
    text = re.sub(r"listen = .*", 'listen = "127.0.0.1:0"', text)
    text = re.sub(r"state_dir = .*", f"state_dir = {json.dumps(str(tmp_path / 'state'))}", text)
    path = tmp_path / "discovery-server.toml"
    path.write_text(text)
    process = start("loadbalancer.discovery_server", str(path))
    assert readiness_status(logged_port(process, "listening")) == 503
    process.send_signal(signal.SIGTERM)
    assert process.wait() == 0


def test_example_proxy_has_the_address_of_the_example_discovery_server():
    proxy = parse_config((EXAMPLES / "proxy.json").read_bytes())
    (endpoint_list,) = read_config(EXAMPLES / "discovery-server.toml").lists
    assert "{}:{}".format(*proxy.discovery) == endpoint_list.listen
    assert "{}:{}".format(*proxy.listen) != endpoint_list.listen
