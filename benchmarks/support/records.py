"""Records of measured figures, and their conversion to rows of tables and result files."""

from __future__ import annotations

from collections.abc import Mapping
from typing import cast

import msgspec

Row = Mapping[str, object]  # a record's figures by their names in the table and result file


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one row; `msgspec.field(name=...)` sets a field's name in tables and result files."""

    def row(self) -> dict[str, object]:
        """Return the figures by their names in the result file, in column order."""
        return cast("dict[str, object]", msgspec.to_builtins(self))


def prefix_keys(prefix: str, row: Row) -> dict[str, object]:
    """Return the row with a prefix before each key."""
    return {f"{prefix}{key}": value for key, value in row.items()}
