"""Resolution and spelling correction of customer and job names."""

from __future__ import annotations

from zinniaweir.names.report import NameCount, NameReport
from zinniaweir.names.resolver import NameResolver, ResolvedNames
from zinniaweir.names.table import NameRefusal, NameTable, ResolvedName

__all__ = [
    "NameCount",
    "NameRefusal",
    "NameReport",
    "NameResolver",
    "NameTable",
    "ResolvedName",
    "ResolvedNames",
]
