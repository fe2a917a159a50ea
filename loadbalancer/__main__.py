"""The proxy's program: `python -m loadbalancer`, configured by the file that PROXY_CONFIG names."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

from loadbalancer.proxy.config import Config, parse_config
from loadbalancer.proxy.graceful_shutdown import shut_down
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.settings import ConfigurationError

logger = logging.getLogger(__name__)

CONFIG_VARIABLE = "PROXY_CONFIG"
EXIT_OK = 0
EXIT_SYSTEM_ERROR = 1
EXIT_BAD_CONFIGURATION = 2


def read_config() -> Config:
    """Read the configuration file.

    Raises:
        OSError: the file can't be read.
        ValueError: its content is invalid; mostly a ConfigurationError.
    """
    path = os.environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigurationError(CONFIG_VARIABLE, "not set")
    with open(path, "rb") as file:  # noqa: PTH123 - pathlib would cost a start more than the rest of this module
        return parse_config(file.read())


async def serve() -> int:
    """Run the proxy until SIGTERM or SIGINT and return its exit code; SIGHUP reloads the configuration."""
    stop_requested, reload_requested = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    # Guard: SIGHUP ends a process that has no handler for it, so the handlers come before anything slow.
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    try:
        config = read_config()
    except (OSError, ValueError) as error:
        print(f"loadbalancer: bad configuration: {_one_line(error)}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    proxy = Proxy(config)
    await proxy.start()
    reloading = asyncio.create_task(_reload(proxy, reload_requested))
    # Objects of the start live as long as the process, so the garbage collector need not visit them again. A
    # collection before this costs a twelfth of a start's processor time and finds 16 objects.
    gc.freeze()
    logger.info("proxy serving name=%s address=%s:%d", config.name, *proxy.listener.address)
    await stop_requested.wait()
    logger.info("proxy stopping name=%s", config.name)
    await shut_down(proxy)  # the watch goes on meanwhile, so that attempts follow the current endpoint list
    reloading.cancel()
    return EXIT_OK


async def _reload(proxy: Proxy, requested: asyncio.Event) -> None:
    """Reload the configuration at each SIGHUP; an invalid file leaves the current one in force."""
    while True:
        await requested.wait()
        requested.clear()
        try:
            config = read_config()
        except (OSError, ValueError) as error:
            _log_bad_configuration(error)
        else:
            proxy.reconfigure(config)


def _log_bad_configuration(error: Exception) -> None:
    logger.error("bad configuration, keeping the one in force cause=%s", _one_line(error))


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())


def main() -> int:
    """Run one proxy; return the exit code of the process."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        return asyncio.run(serve())
    except OSError as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return EXIT_SYSTEM_ERROR


if __name__ == "__main__":
    sys.exit(main())
