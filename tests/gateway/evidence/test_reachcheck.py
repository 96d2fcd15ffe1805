"""Checks by connections whether servers are reached."""

import asyncio
import random

import pytest

from knapweeddock.errors import PeerUnavailable
from knapweeddock.gateway.evidence.reach import CHECKED_SERVERS
from knapweeddock.gateway.evidence.reachboard import ReachBoard
from knapweeddock.gateway.evidence.reachcheck import ReachChecker
from knapweeddock.gateway.requests.serverconnector import ServerConnector
from tests.gateway.support import SERVICE, make_fleet, make_server


class FakeConnection:
    def abort(self) -> None:
        """Close nothing."""


def make_checker(open_connection) -> ReachChecker:
    fleet = make_fleet(*(make_server(f"s{index}") for index in range(6)))
    board = ReachBoard(fleet=fleet, rng=random.Random(1))
    connector = ServerConnector(reach_board=board, open_connection=open_connection)
    return ReachChecker(board=board, connector=connector)


async def run_check(checker: ReachChecker) -> None:
    reach = checker.board.of(SERVICE)
    reach.record_failed("s0", asyncio.get_running_loop().time())
    checker.start_due_checks()
    await checker.wait(SERVICE)


async def test_one_connection_is_enough_where_servers_are_reached():
    # Each costs the server time, and checks follow each end of a server at every gateway.
    opened = []

    async def open_connection(address, *, timeout_s):
        opened.append(address)
        return FakeConnection()

    checker = make_checker(open_connection)
    await run_check(checker)
    assert len(opened) == 1
    assert checker.board.of(SERVICE).reaches_servers


@pytest.mark.parametrize("delay_s", [0.0, 0.2], ids=["refused", "hang"])
async def test_all_servers_of_a_check_fail(delay_s):
    opened = []

    async def open_connection(address, *, timeout_s):
        opened.append(address)
        await asyncio.sleep(delay_s)
        raise PeerUnavailable("cut off")

    checker = make_checker(open_connection)
    await run_check(checker)
    assert len(opened) == CHECKED_SERVERS
    assert not checker.board.of(SERVICE).reaches_servers


async def test_servers_that_hang_do_not_hide_one_that_is_reached():
    opened = []

    async def open_connection(address, *, timeout_s):
        opened.append(address)
        if len(opened) < CHECKED_SERVERS:
            await asyncio.sleep(10.0)
        return FakeConnection()

    checker = make_checker(open_connection)
    await run_check(checker)
    assert checker.board.of(SERVICE).reaches_servers
