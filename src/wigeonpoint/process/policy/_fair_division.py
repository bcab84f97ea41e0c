"""Divides an amount among demands with max-min fairness."""

from __future__ import annotations

from collections.abc import Collection


def fair_level(amount: float, demands: Collection[float]) -> float:
    """The largest share that anyone gets, so that nobody who gets less wants more.

    Args:
        amount: What is divided.
        demands: What each one wants.

    Returns:
        The level; each gets the smaller of its demand and the level. Infinite if all demands fit.
    """
    remaining = amount
    pending = len(demands)
    for demand in sorted(demands):
        if demand * pending > remaining:
            return max(remaining / pending, 0.0)
        remaining -= demand
        pending -= 1
    return float("inf")
