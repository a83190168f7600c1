"""Validated reading of one JSON or TOML object.

Every error names the object (by the path that the caller gave it), the field and the reason.
"""

from __future__ import annotations

import math
from typing import Any

MAX_VALUE = 1e15  # in any unit; sums of larger times and sizes lose precision and may become infinite
_REQUIRED: Any = object()


class InvalidFieldError(Exception):
    """Input that breaks its contract; the text names the object, the field and the reason."""


class FieldReader:
    """Validated access to the fields of one object.

    Each method returns the field's value, or the default if the field is absent or null.  It raises
    ``InvalidFieldError`` for a value of the wrong type or out of range, and for an absent field that has no
    default.
    """

    def __init__(self, raw: Any, where: str) -> None:
        """Start reading an object.

        Args:
            raw: The decoded object.
            where: Path of the object in its document, for errors.

        Raises:
            InvalidFieldError: If ``raw`` is not an object.
        """
        if not isinstance(raw, dict):
            raise InvalidFieldError(f"{where}: not an object")
        self.raw: dict[str, Any] = raw
        self.where = where

    def _get(self, key: str, default: Any) -> Any:
        value = self.raw.get(key)
        if value is not None:
            return value
        if default is _REQUIRED:
            raise InvalidFieldError(f"{self.where}: field {key} is missing")
        return default

    def number(self, key: str, default: Any = _REQUIRED, low: float = 0.0, high: float = math.inf) -> Any:
        """Return a finite number from ``low`` to ``high``."""
        value = self._get(key, default)
        if value is default:
            return value
        is_nan = value != value  # math.isnan() raises OverflowError for integers beyond a float's range
        if isinstance(value, bool) or not isinstance(value, (int, float)) or is_nan:
            raise InvalidFieldError(f"{self.where}: field {key} is not a number")
        if not low <= value <= min(high, MAX_VALUE):
            raise InvalidFieldError(f"{self.where}: field {key} is out of range: {value}")
        return value

    def integer(self, key: str, default: Any = _REQUIRED, low: int = 0, high: float = math.inf) -> Any:
        """Return a whole number from ``low`` to ``high``."""
        value = self._get(key, default)
        if value is default:
            return value
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise InvalidFieldError(f"{self.where}: field {key} is not a whole number of at least {low}")
        return value

    def text(self, key: str, default: Any = _REQUIRED) -> Any:
        """Return a string."""
        value = self._get(key, default)
        if value is not default and not isinstance(value, str):
            raise InvalidFieldError(f"{self.where}: field {key} is not text")
        return value

    def flag(self, key: str, default: Any = _REQUIRED) -> Any:
        """Return true or false."""
        value = self._get(key, default)
        if value is not default and not isinstance(value, bool):
            raise InvalidFieldError(f"{self.where}: field {key} is not true or false")
        return value

    def array(self, key: str, default: Any = _REQUIRED) -> Any:
        """Return a list."""
        value = self._get(key, default)
        if value is not default and not isinstance(value, list):
            raise InvalidFieldError(f"{self.where}: field {key} is not a list")
        return value

    def section(self, key: str) -> FieldReader:
        """Return a reader of the object in a field."""
        return FieldReader(self._get(key, _REQUIRED), f"{self.where}.{key}")

    def optional_section(self, key: str) -> FieldReader:
        """Return a reader of the object in a field, or of an empty object if the field is absent."""
        return FieldReader(self.raw.get(key) or {}, f"{self.where}.{key}")

    def choice(self, key: str, table: dict[str, Any], default: Any = _REQUIRED) -> Any:
        """Return the value that ``table`` has for the field's text."""
        value = self.text(key, default)
        if value is default:
            return value
        if value not in table:
            raise InvalidFieldError(f"{self.where}: field {key} has an unknown value: {value}")
        return table[value]
