"""Metadata of settings: unit, description and the name in JSON."""

from typing import Any

from attrs import Attribute, field


def setting(
    default: Any, unit: str, description: str, json: str = "", shown_default: str = ""
) -> Any:
    """Declare one setting with its unit and its name in JSON.

    `shown_default` tells of a default that the reader of the document fills in.
    """
    metadata = {
        "unit": unit,
        "description": description,
        "json": json,
        "shown_default": shown_default,
    }
    return field(default=default, metadata=metadata)


def json_name(attribute: "Attribute[Any]") -> str:
    """Return the name of a setting in JSON documents."""
    return attribute.metadata["json"] or attribute.name
