"""The load generator: connections, limits of a replay and generated traces."""

from __future__ import annotations

import asyncio
import json

import orjson
import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from wigeonpoint.errors import Outcome
from wigeonpoint.load import (
    Arrival,
    KeepAliveConnections,
    LoadBounds,
    Reply,
    TraceKind,
    generate,
    replay,
)
from wigeonpoint.request import Access, Rank


class _Handler(RequestHandler):
    def post(self) -> None:
        body = json.loads(self.request.body)
        caller = self.request.headers["Authorization"]
        if body["rank"] == "bulk":
            refused = {"code": 201, "outcome": "not_run", "retry_after_ms": 70}
            self.set_status(503)
            self.finish(refused)
        else:
            self.finish({"code": 0, "outcome": "done", "rows": [caller]})


def arrivals(count: int, rank: Rank) -> list[Arrival]:
    """Returns arrivals 10 ms apart."""
    return [Arrival(0.01 * n, "r", rank, "a", Access.READ) for n in range(count)]


class TestKeepAliveConnections:
    """Requests over HTTP."""

    async def test_connection_is_reused_and_answers_are_parsed(self) -> None:
        """Guards against a connection for each request, and against lost codes or retry times."""
        server = HTTPServer(Application([("/v1/statements", _Handler)]))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        sender = KeepAliveConnections([f"127.0.0.1:{sockets[0].getsockname()[1]}"], {"a": "token"})
        for rank, outcome, code, retry in (
            (Rank.URGENT, Outcome.DONE, 0, None),
            (Rank.BULK, Outcome.NOT_RUN, 201, 70),
        ):
            for _ in range(5):
                reply = await sender.send(arrivals(1, rank)[0])
                assert reply == Reply(outcome, code, retry)
        assert sender.opened == 1
        sender.close()
        server.stop()


class _SlowSender:
    """Sender that takes a second for each request."""

    async def send(self, arrival: Arrival) -> Reply:
        """Answers after a second."""
        await asyncio.sleep(1.0)
        return Reply(Outcome.DONE, 0)


class TestReplay:
    """Limits and results of a replay."""

    @pytest.mark.looptime(noop_cycles=0)
    async def test_open_requests_are_limited_by_rank(self) -> None:
        """Guards against a flood of one rank that delays another rank in the load generator."""
        trace = sorted(
            arrivals(50, Rank.BULK) + arrivals(5, Rank.URGENT), key=lambda item: item.at_s
        )
        results = await replay(trace, _SlowSender(), LoadBounds(in_flight=5))
        assert results.rank(Rank.URGENT)["done"] == 5
        assert results.rank(Rank.BULK)["done"] == 5 and results.not_sent == 45
        assert results.rank(Rank.URGENT)["p50_ms"] == pytest.approx(1000, rel=0.01)

    @pytest.mark.looptime(noop_cycles=0)
    async def test_replay_ends_at_its_limits(self) -> None:
        """Guards against a replay that does not stop at its limits."""
        trace = arrivals(50, Rank.BULK)
        results = await replay(trace, _SlowSender(), LoadBounds(requests=20, seconds=0.5))
        assert asyncio.get_running_loop().time() <= 0.6
        assert results.rank(Rank.BULK)["outcomes"] == {Outcome.UNKNOWN: 20}
        assert json.loads(orjson.dumps(results.as_json(0.5)))["kinds"]["bulk read"]["sent"] == 20


class TestGenerator:
    """Generated traces."""

    def test_rates_follow_the_kind_and_the_seed(self) -> None:
        """Guards against floods of the wrong rate and traces that a seed does not reproduce."""
        options = {"route": "r", "capacity": 100.0, "seconds": 20.0}
        calm = generate(TraceKind.CALM, **options)  # type: ignore[arg-type]
        flood = generate(TraceKind.BULK_FLOOD, times=8, **options)  # type: ignore[arg-type]
        assert calm == generate(TraceKind.CALM, **options)  # type: ignore[arg-type]
        assert len(calm) == pytest.approx(1400, rel=0.1)
        bulk = sum(arrival.rank is Rank.BULK for arrival in flood)
        assert bulk == pytest.approx(16000, rel=0.05)
