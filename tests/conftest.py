"""Fixtures that several test files share."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator

import pytest

from tests.fleet import SEED, Fleet


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """An empty fleet; tests start its instances themselves, on their virtual clock."""
    random.seed(SEED)
    async with Fleet() as fleet:
        yield fleet


@pytest.fixture
async def idle_fleet() -> AsyncIterator[Fleet]:
    """Three data centres with one member and one instance, which runs no tasks, each."""
    async with Fleet.idle() as fleet:
        yield fleet
