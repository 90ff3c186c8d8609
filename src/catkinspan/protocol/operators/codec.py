"""JSON encoding and decoding of reports."""

from typing import Any, TypeVar

import orjson
from attrs import frozen
from cattrs.preconf.orjson import make_converter
from result import Err, Ok, Result

T = TypeVar("T")

_CONVERTER = make_converter()


@frozen
class MalformedReport:
    """A response that is not the expected report."""

    reason: str

    def __str__(self) -> str:
        """Return the error with its remedy."""
        return (
            f"malformed report: {self.reason}; check that the address is an "
            "operators' listener of the same version"
        )


def encode_report(report: Any) -> bytes:
    """Return a report as JSON with one member per field."""
    return orjson.dumps(_CONVERTER.unstructure(report))


def decode_report(data: bytes, report_class: type[T]) -> Result[T, MalformedReport]:
    """Return a report of the given class from its JSON."""
    try:
        return Ok(_CONVERTER.structure(orjson.loads(data), report_class))
    except Exception as error:  # noqa: BLE001 - cattrs raises many types on invalid input
        return Err(MalformedReport(f"{error!r:.200}"))
