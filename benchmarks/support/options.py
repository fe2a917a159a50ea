"""Command-line options that the benches share, and plans made from options."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click
import msgspec

from benchmarks.support.nodes import DEPLOYED_SOCKETS

Command = Callable[..., Any]
Plan = TypeVar("Plan")


def parse_numbers(text: str) -> tuple[float, ...]:
    """Return numbers that commas separate; click makes a ValueError a usage error."""
    return tuple(float(word) for word in text.split(","))


def parse_integers(text: str) -> tuple[int, ...]:
    """Return integers that commas separate; click makes a ValueError a usage error."""
    return tuple(int(word) for word in text.split(","))


seed_option = click.option("--seed", default=7, show_default=True)
quick_option = click.option(
    "--quick", is_flag=True, help="A run of seconds, to see that it works; its figures say little."
)
service_ms_option = click.option(
    "--service-ms", default=0.0, show_default=True, help="A backend's time for a request."
)
sockets_option = click.option(
    "--sockets", default=DEPLOYED_SOCKETS, show_default=True, help="Descriptors of a node."
)


def sizes_option(default: str) -> Callable[[Command], Command]:
    """Return the option `--servers`, the plan's sizes of the list."""
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
    """Return a plan whose fields are these options; fields without an option keep their defaults.

    Raises:
        msgspec.ValidationError: An option does not fit its field.
    """
    return msgspec.convert(options, plan_type)
