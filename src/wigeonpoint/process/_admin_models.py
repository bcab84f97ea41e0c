"""Validated models of the administration interface."""

from __future__ import annotations

from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field

MAX_EDIT_ID_LENGTH = 100
MAX_CHANGES = 200  # rows in one edit


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid")


class PutRowBody(_Body):
    """Body that writes a row.

    Attributes:
        edit_id: Id that identifies repeats of the edit.
        expected_version: Version of the row that the operator saw; 0 for a new row.
        row: Fields of the row.
    """

    edit_id: str = Field(min_length=1, max_length=MAX_EDIT_ID_LENGTH)
    expected_version: int = Field(ge=0)
    row: dict[str, Any]


class DeleteRowBody(_Body):
    """Body that removes a row."""

    edit_id: str = Field(min_length=1, max_length=MAX_EDIT_ID_LENGTH)
    expected_version: int = Field(gt=0)


class ChangeBody(_Body):
    """One change of an edit of several rows; a null row removes it."""

    table: Literal["routes", "pools"]
    name: str = Field(min_length=1)
    expected_version: int = Field(ge=0)
    row: dict[str, Any] | None


class EditBody(_Body):
    """Body of an edit of several rows that take effect together."""

    edit_id: str = Field(min_length=1, max_length=MAX_EDIT_ID_LENGTH)
    changes: list[ChangeBody] = Field(min_length=1, max_length=MAX_CHANGES)


class CheckBody(_Body):
    """A proposed state of both tables: fields by row name."""

    routes: dict[str, dict[str, Any]]
    pools: dict[str, dict[str, Any]]
