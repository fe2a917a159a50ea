"""Records of measured figures, and the rows of tables and result files that they become."""

from __future__ import annotations

from collections.abc import Mapping
from typing import cast

import msgspec

Row = Mapping[str, object]  # a record under the names of its table and result file


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one row; a field's name in tables and result files may differ from its name here."""

    def row(self) -> dict[str, object]:
        """Return the figures under their names in the result file, in the order of the columns."""
        return cast("dict[str, object]", msgspec.to_builtins(self))


def prefix_keys(prefix: str, row: Row) -> dict[str, object]:
    """Return the row with a prefix before each key."""
    return {f"{prefix}{key}": value for key, value in row.items()}
