"""Runs one discovery server process: `python -m loadbalancer.discovery_server CONFIG.toml`."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from pathlib import Path
from typing import NoReturn

import click
import structlog
from structlog.stdlib import BoundLogger
from structlog.typing import Processor

from loadbalancer.discovery_server.config import Config, ConfigurationError, read_config
from loadbalancer.discovery_server.server import DiscoveryServer

PROGRAM = "loadbalancer.discovery_server"
EXIT_FAILED = 1
EXIT_BAD_CONFIGURATION = 2


def configure_logging() -> BoundLogger:
    """Write JSON lines to standard error, for this package and the modules that it uses."""
    shared: list[Processor] = [
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    structlog.configure(
        processors=[*shared, structlog.stdlib.ProcessorFormatter.wrap_for_formatter],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=BoundLogger,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                structlog.processors.JSONRenderer(),
            ],
            foreign_pre_chain=shared,
        )
    )
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    # The watch client logs a warning for each failed request. A discovery server may follow thousands of
    # lists, so an outage of its upstream would produce thousands of warnings. The other packages log only
    # errors instead, and the followers log each outage once.
    logging.getLogger("loadbalancer").setLevel(logging.ERROR)
    logging.getLogger(PROGRAM).setLevel(logging.INFO)
    log: BoundLogger = structlog.get_logger(PROGRAM)
    return log


async def serve(config: Config, log: BoundLogger) -> None:
    """Run a server until SIGTERM or SIGINT, then shut it down gracefully.

    Raises:
        OSError: The state directory can't be used, or an address can't be bound.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    server = DiscoveryServer(config, log)
    await server.start()
    for name, (host, port) in server.addresses.items():
        log.info("listening", list=name, address=f"{host}:{port}")
    await stop_requested.wait()
    log.info("shutting down")
    await server.stop()


@click.command()
@click.argument("config", type=click.Path(path_type=Path))
def main(config: Path) -> None:
    """Serve the endpoint lists that the file CONFIG names."""
    try:
        parsed = read_config(config)
    except (OSError, ConfigurationError) as error:
        _exit(f"bad configuration: {error}", EXIT_BAD_CONFIGURATION)
    log = configure_logging()
    try:
        asyncio.run(serve(parsed, log))
    except OSError as error:
        _exit(str(error), EXIT_FAILED)


def _exit(message: str, code: int) -> NoReturn:
    """Print the message as one line on standard error, and end the process with this exit code."""
    click.echo(f"{PROGRAM}: {' '.join(message.split())}", err=True)
    sys.exit(code)


if __name__ == "__main__":
    main()
