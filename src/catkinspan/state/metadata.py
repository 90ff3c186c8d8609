"""Metadata of settings: unit, description and JSON key."""

from typing import Any

from attrs import Attribute, field


def setting(
    default: Any, unit: str, description: str, json: str = "", shown_default: str = ""
) -> Any:
    """Declare a setting with its unit, description and JSON key.

    An empty `json` stands for the attribute's name. `shown_default` documents a default
    that is applied by the document reader and not by the class.
    """
    metadata = {
        "unit": unit,
        "description": description,
        "json": json,
        "shown_default": shown_default,
    }
    return field(default=default, metadata=metadata)


def json_name(attribute: "Attribute[Any]") -> str:
    """Return the JSON key of a setting."""
    return attribute.metadata["json"] or attribute.name
