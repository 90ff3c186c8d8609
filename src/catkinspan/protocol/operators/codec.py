"""JSON of the reports, in both directions."""

from typing import Any, TypeVar

import orjson
from attrs import frozen
from cattrs.preconf.orjson import make_converter
from result import Err, Ok, Result

T = TypeVar("T")

_CONVERTER = make_converter()


@frozen
class MalformedReport:
    """An answer that is not the expected report."""

    reason: str

    def __str__(self) -> str:
        """Return the error with its remedy."""
        return (
            f"answer not understood: {self.reason}; check that the address is an "
            "operators' listener of the same version"
        )


def encode_report(report: Any) -> bytes:
    """Return a report as JSON, one member for each field."""
    return orjson.dumps(_CONVERTER.unstructure(report))


def decode_report(data: bytes, kind: type[T]) -> Result[T, MalformedReport]:
    """Return the report of a class from its JSON."""
    try:
        return Ok(_CONVERTER.structure(orjson.loads(data), kind))
    except Exception as error:  # noqa: BLE001 - cattrs raises many kinds on bad input
        return Err(MalformedReport(f"{error!r:.200}"))
