"""Limits retries to a share of the requests, so that they cannot multiply an overload."""

from __future__ import annotations

import asyncio
import random

from wigeonpoint.events import Event, log_event

RETRY_SHARE = 0.1  # retries allowed per request
RETRIES_PER_S = 3.0  # allowed without traffic, so that a quiet route can retry at all
RETRY_BURST = 10.0
BACKOFF_FIRST_S = 0.01
BACKOFF_MAX_S = 0.25


class RetryBudget:
    """Token bucket of one route; each retry takes a token, and each request adds a part of one.

    Args:
        route: Name of the route, for the log.
    """

    def __init__(self, route: str) -> None:
        self._route = route
        self._tokens = RETRY_BURST
        self._empty = False
        self._refilled_at = asyncio.get_running_loop().time()
        self._retries = 0
        self._refusals = 0

    @property
    def retries(self) -> int:
        """Retries that were allowed."""
        return self._retries

    @property
    def refusals(self) -> int:
        """Retries that were refused because the bucket was empty."""
        return self._refusals

    def note_request(self) -> None:
        """Adds a request's share of a retry."""
        self._add(RETRY_SHARE)

    def take(self) -> bool:
        """Takes a token for one retry; False when the bucket is empty."""
        now = asyncio.get_running_loop().time()
        self._add((now - self._refilled_at) * RETRIES_PER_S)
        self._refilled_at = now
        if self._tokens < 1:
            self._refusals += 1
            if not self._empty:
                self._empty = True
                log_event(Event.RETRY_BUDGET_EMPTY, route=self._route)
            return False
        self._empty = False
        self._tokens -= 1
        self._retries += 1
        return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(RETRY_BURST, self._tokens + tokens)


class RetryBudgets:
    """Budgets by route, and the pauses before retries.

    Args:
        source: Source of the jitter; tests pass a seeded one.
    """

    def __init__(self, source: random.Random | None = None) -> None:
        self._source = source or random.Random()
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def retries(self) -> int:
        """Retries of all routes."""
        return sum(budget.retries for budget in self._budgets.values())

    @property
    def refusals(self) -> int:
        """Refused retries of all routes."""
        return sum(budget.refusals for budget in self._budgets.values())

    def of(self, route: str) -> RetryBudget:
        """Budget of a route."""
        budget = self._budgets.get(route)
        if budget is None:
            budget = self._budgets[route] = RetryBudget(route)
        return budget

    def pause(self, attempts: int) -> float:
        """Seconds before the next attempt: exponential backoff with full jitter."""
        ceiling = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** min(attempts, 16))
        return self._source.uniform(0, ceiling)
