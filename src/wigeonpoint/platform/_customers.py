"""Customers in the operators' configuration, whose keys are replaced by digests when it is read."""

from __future__ import annotations

import re
from typing import Annotated, Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

from wigeonpoint.platform._row_log import RowProblems
from wigeonpoint.version.catalogue import Customer, key_digest, rank_of

OPERATOR_TABLE = "op"  # the only one whose rows hold keys
CUSTOMERS_FIELD = "tenants"
KEYS_FIELD = "apiKeys"
DIGESTS_FIELD = "keyDigests"  # takes the place of the keys as soon as a row has been read
MAX_NAME_CHARACTERS = 200
_NUMBER_FIELDS = ("ratePerS", "burstSize", "priority")
# A field name may also be written with escape sequences.
_MAY_NAME_CUSTOMERS = re.compile(rb"tenants|\\u", re.IGNORECASE)


class _WireCustomer(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

    # Names are sent to members as a field of a line, which blanks separate.
    name: Annotated[
        str,
        StringConstraints(
            min_length=1, max_length=MAX_NAME_CHARACTERS, pattern=r"^[\x21-\x7e\xa1-\xff]+$"
        ),
    ]
    keyDigests: list[Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{32}$")]]  # noqa: N815
    ratePerS: float | None = Field(default=None, ge=0)  # noqa: N815
    burstSize: float = Field(default=0.0, ge=0)  # noqa: N815
    priority: int | None = None


def hide_keys(value: bytes) -> bytes:
    """Replaces the keys of customers in a configuration by their digests.

    Copies of the configuration travel between instances, so that the keys are dropped as soon as a
    row has been read. Replacing them again changes nothing.

    Returns:
        The configuration, empty if it could not be searched for keys.
    """
    if not _MAY_NAME_CUSTOMERS.search(value):
        return value
    try:
        fields = orjson.loads(value)
    except orjson.JSONDecodeError:
        return b""
    if not isinstance(fields, dict):
        return b""
    if CUSTOMERS_FIELD not in fields:
        return value
    entries = fields[CUSTOMERS_FIELD]
    if isinstance(entries, list):
        fields[CUSTOMERS_FIELD] = [_without_keys(entry) for entry in entries]
    elif entries is not None:
        fields[CUSTOMERS_FIELD] = False  # an entry of another type, whatever it held
    try:
        return orjson.dumps(fields)
    except orjson.JSONEncodeError:  # nested too deeply to be written, though not to be read
        return b""


def decode_customers(entries: Any, log: RowProblems) -> dict[str, Customer]:
    """Decodes the customers of a configuration without its keys; logs those that cannot be used.

    Of entries with the same name, the first one holds.

    Args:
        entries: Value of the configuration's field.
        log: Logs unreadable entries.
    """
    customers: dict[str, Customer] = {}
    if entries is not None and not isinstance(entries, list):
        log.note("customers", ValueError("not a list"))
        return customers
    for number, entry in enumerate(entries or ()):
        try:
            customer = _decode(entry)
            if customer.name in customers:
                raise ValueError(f"the name {customer.name!r} is used twice")
        except ValueError as error:
            log.note(f"customer {number}", _without_input(error))
        else:
            customers[customer.name] = customer
    return customers


def _without_keys(entry: Any) -> Any:
    """Keeps the known fields of an entry, with digests instead of keys."""
    if not isinstance(entry, dict):
        return None
    kept = {name: entry[name] for name in _NUMBER_FIELDS if name in entry}
    # A value of another type may hold a key; the decoder refuses what takes its place.
    kept = {name: one if isinstance(one, int | float | None) else [] for name, one in kept.items()}
    name = entry.get("name")
    kept["name"] = name if isinstance(name, str) else None
    if KEYS_FIELD in entry:
        kept[DIGESTS_FIELD] = _digests(entry[KEYS_FIELD])
    elif DIGESTS_FIELD in entry:
        kept[DIGESTS_FIELD] = entry[DIGESTS_FIELD]
    return kept


def _digests(keys: Any) -> list[str] | None:
    """Digests of keys, None if they are not a list of texts."""
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        return None
    return [key_digest(key).hex() for key in keys]


def _decode(entry: Any) -> Customer:
    wire = _WireCustomer.model_validate(entry)
    return Customer(
        name=wire.name,
        key_digests=frozenset(bytes.fromhex(digest) for digest in wire.keyDigests),
        rank=None if wire.priority is None else rank_of(wire.priority),
        operations_per_s=wire.ratePerS,
        burst=wire.burstSize,
    )


def _without_input(error: ValueError) -> ValueError:
    """The error without the values that the entry holds."""
    if not isinstance(error, ValidationError):
        return error
    problems = error.errors(include_input=False, include_url=False, include_context=False)
    return ValueError(
        "; ".join(f"{'.'.join(map(str, one['loc']))}: {one['msg']}" for one in problems)
    )
