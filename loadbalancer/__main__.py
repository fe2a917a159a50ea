"""The proxy: `python -m loadbalancer` runs one with the configuration file that PROXY_CONFIG names."""

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
from loadbalancer.supervised_task import SupervisedTask

logger = logging.getLogger(__name__)

CONFIG_VARIABLE = "PROXY_CONFIG"
EXIT_OK = 0
EXIT_SYSTEM_ERROR = 1
EXIT_BAD_CONFIGURATION = 2


def read_config() -> Config:
    """Read the configuration file.

    Raises:
        OSError: the file cannot be read.
        ConfigurationError: PROXY_CONFIG is not set, or a value in the file is invalid.
        ValueError: the file is invalid in another way.
    """
    path = os.environ.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigurationError(
            CONFIG_VARIABLE,
            "environment variable is not set or empty, expected the path of the configuration file",
        )
    # Importing pathlib would take longer at a start than the rest of this module.
    with open(path, "rb") as file:  # noqa: PTH123
        return parse_config(file.read())


async def serve() -> int:
    """Run the proxy until SIGTERM or SIGINT and return its exit code; SIGHUP reloads the configuration."""
    stop_requested, reload_requested = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    # A SIGHUP ends a process that has no handler for it, so the handlers are installed before anything slow.
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    try:
        config = read_config()
    except (OSError, ValueError) as error:
        print(f"loadbalancer: bad configuration: {_one_line(error)}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    proxy = Proxy(config)
    try:
        await proxy.start()
    except OSError as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        return EXIT_SYSTEM_ERROR
    reloading = SupervisedTask("reload", lambda: _reload(proxy, reload_requested))
    reloading.start()
    # Objects created so far exist as long as the process, so the garbage collector need not scan them again.
    # No collection runs before: it would take a twelfth of a start's processor time and find 16 objects.
    gc.freeze()
    logger.info("proxy serving name=%s address=%s:%d", config.name, *proxy.listener.address)
    await stop_requested.wait()
    logger.info("proxy stopping name=%s", config.name)
    await shut_down(proxy)  # the watch continues meanwhile, so that attempts use the current endpoint list
    reloading.cancel()
    return EXIT_OK


async def _reload(proxy: Proxy, requested: asyncio.Event) -> None:
    """Reload the configuration at each SIGHUP; if the file is invalid, the current configuration is kept."""
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
    return asyncio.run(serve())


if __name__ == "__main__":
    sys.exit(main())
