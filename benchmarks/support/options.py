"""Command-line options that the benchmarks share, and the plans created from them."""

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
    """Return the numbers of a comma-separated text; click reports a ValueError as a usage error."""
    return tuple(float(word) for word in text.split(","))


def parse_integers(text: str) -> tuple[int, ...]:
    """Return the integers of a comma-separated text; click reports a ValueError as a usage error."""
    return tuple(int(word) for word in text.split(","))


seed_option = click.option("--seed", default=7, show_default=True)
quick_option = click.option(
    "--quick",
    is_flag=True,
    help="A run of seconds, to see that the command works; its figures mean little.",
)
service_ms_option = click.option(
    "--service-ms", default=0.0, show_default=True, help="A backend's service time of a request."
)
sockets_option = click.option(
    "--sockets", default=DEPLOYED_SOCKETS, show_default=True, help="File descriptors of a node."
)


def sizes_option(default: str) -> Callable[[Command], Command]:
    """Return the option `--servers`: the plan's list sizes."""
    return click.option(
        "--servers",
        "sizes",
        type=parse_integers,
        default=default,
        metavar="N,...",
        show_default=True,
        help="Sizes of the list.",
    )


def out_option(file_name: str) -> Callable[[Command], Command]:
    """Return the option `--out`, with a default file in the build folder."""
    return click.option(
        "--out",
        default=f"build/benchmarks/{file_name}",
        show_default=True,
        type=click.Path(path_type=Path),
    )


def make_plan(plan_type: type[Plan], options: dict[str, object]) -> Plan:
    """Return a plan with these options as its fields; fields without an option keep their defaults.

    Raises:
        msgspec.ValidationError: An option has the wrong type for its field.
    """
    return msgspec.convert(options, plan_type)
