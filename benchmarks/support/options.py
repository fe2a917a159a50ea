"""Command-line options shared by the benchmarks, and the plans created from them."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click
import msgspec

from benchmarks.support.proxy_process import DEPLOYED_SOCKETS

Command = Callable[..., Any]
Plan = TypeVar("Plan")


def parse_numbers(text: str) -> tuple[float, ...]:
    """Parse comma-separated numbers; click reports a ValueError as a usage error."""
    return tuple(float(word) for word in text.split(","))


def parse_integers(text: str) -> tuple[int, ...]:
    """Parse comma-separated integers; click reports a ValueError as a usage error."""
    return tuple(int(word) for word in text.split(","))


seed_option = click.option("--seed", default=7, show_default=True)
quick_option = click.option(
    "--quick",
    is_flag=True,
    help="A run of a few seconds that checks that the command works; its figures are not meaningful.",
)
service_ms_option = click.option(
    "--service-ms", default=0.0, show_default=True, help="A backend's service time for a request."
)
sockets_option = click.option(
    "--sockets", default=DEPLOYED_SOCKETS, show_default=True, help="A node's limit on open file descriptors."
)


def sizes_option(default: str) -> Callable[[Command], Command]:
    """Return the option `--servers`, which sets the plan's list sizes."""
    return click.option(
        "--servers",
        "sizes",
        type=parse_integers,
        default=default,
        metavar="N,...",
        show_default=True,
        help="Endpoints in the list, for each list size.",
    )


def out_option(file_name: str) -> Callable[[Command], Command]:
    """Return the option `--out`; the default file is in the build folder."""
    return click.option(
        "--out",
        default=f"build/benchmarks/{file_name}",
        show_default=True,
        type=click.Path(path_type=Path),
    )


def make_plan(plan_type: type[Plan], options: dict[str, object]) -> Plan:
    """Create a plan from these options; fields without an option have their default values.

    Raises:
        msgspec.ValidationError: An option has the wrong type for its field.
    """
    return msgspec.convert(options, plan_type)
