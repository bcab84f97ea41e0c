"""Fixtures of the tests over the platform's own protocols."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from tests.userplatform._deployment import Deployment


@pytest.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """A deployment whose gateway is ready."""
    deployment = Deployment()
    try:
        await deployment.start()
        yield deployment
    finally:
        deployment.stop()
