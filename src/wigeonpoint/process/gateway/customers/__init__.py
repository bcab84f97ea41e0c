"""Customers and their keys: who a caller is, and what happens when its key is taken away."""

from __future__ import annotations

from wigeonpoint.process.gateway.customers._authenticator import Authenticator
from wigeonpoint.process.gateway.customers._catalogue_age import CatalogueAge
from wigeonpoint.process.gateway.customers._metrics import CustomerMetrics
from wigeonpoint.process.gateway.customers._revocation import (
    TRANSACTION_SHARE,
    Revocation,
)

__all__ = [
    "TRANSACTION_SHARE",
    "Authenticator",
    "CatalogueAge",
    "CustomerMetrics",
    "Revocation",
]
