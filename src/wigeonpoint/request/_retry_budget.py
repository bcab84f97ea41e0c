"""Limits retries to a fraction of the requests, so that they cannot amplify an overload."""

from __future__ import annotations

import asyncio
import random

from wigeonpoint.events import Event, log_event

RETRIES_PER_REQUEST = 0.1  # tokens that each request adds
MIN_RETRIES_PER_S = 3.0  # tokens added without traffic, so that a route with few requests can retry
RETRY_BURST = 10.0  # capacity of the bucket
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25


class RetryBudget:
    """Token bucket of one route: each retry takes a token, each request adds a fraction of one.

    Args:
        route: Name of the route, for the log.
    """

    def __init__(self, route: str) -> None:
        self._route = route
        self._tokens = RETRY_BURST
        self._was_empty = False
        self._refilled_at = asyncio.get_running_loop().time()
        self._retries = 0
        self._refusals = 0

    @property
    def retries(self) -> int:
        """Number of allowed retries."""
        return self._retries

    @property
    def refusals(self) -> int:
        """Number of retries refused because the bucket was empty."""
        return self._refusals

    def note_request(self) -> None:
        """Counts a request, which adds a fraction of a token."""
        self._add_tokens(RETRIES_PER_REQUEST)

    def take(self) -> bool:
        """Takes a token for one retry.

        Returns:
            Whether the retry is allowed; False when the bucket is empty.
        """
        now = asyncio.get_running_loop().time()
        self._add_tokens((now - self._refilled_at) * MIN_RETRIES_PER_S)
        self._refilled_at = now
        if self._tokens < 1:
            self._refusals += 1
            if not self._was_empty:
                self._was_empty = True
                log_event(Event.RETRY_BUDGET_EMPTY, route=self._route)
            return False
        self._was_empty = False
        self._tokens -= 1
        self._retries += 1
        return True

    def _add_tokens(self, tokens: float) -> None:
        self._tokens = min(RETRY_BURST, self._tokens + tokens)


class RetryBudgets:
    """Retry budgets by route, and the backoff before retries.

    Args:
        source: Random number generator for the jitter; tests pass a seeded one.
    """

    def __init__(self, source: random.Random | None = None) -> None:
        self._source = source or random.Random()
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def retries(self) -> int:
        """Number of allowed retries on all routes."""
        return sum(budget.retries for budget in self._budgets.values())

    @property
    def refusals(self) -> int:
        """Number of refused retries on all routes."""
        return sum(budget.refusals for budget in self._budgets.values())

    def of(self, route: str) -> RetryBudget:
        """Returns the budget of a route, created when first needed."""
        budget = self._budgets.get(route)
        if budget is None:
            budget = self._budgets[route] = RetryBudget(route)
        return budget

    def pause(self, attempts: int) -> float:
        """Seconds to wait before the next attempt: exponential backoff with full jitter.

        Args:
            attempts: Number of failed attempts.
        """
        max_pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempts, 16))
        return self._source.uniform(0, max_pause_s)
