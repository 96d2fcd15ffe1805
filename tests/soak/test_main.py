import asyncio
import os
import signal

import pytest

from soak.__main__ import parse_arguments, recorded_seeds, seeds_of, stopped_by_signal


def test_seeds_follow_the_first_one():
    seeds = seeds_of(parse_arguments(["--seed", "5", "--seeds", "3"]))
    assert [seed.number for seed in seeds] == [5, 6, 7]


def test_recorded_seeds_are_those_of_the_file():
    """A seed that failed once must be run again."""
    assert recorded_seeds()
    assert list(seeds_of(parse_arguments(["--recorded"]))) == recorded_seeds()


@pytest.mark.parametrize("arguments", [[], ["--seed", "1", "--recorded"], ["--seed", "x"]])
def test_unclear_options_are_refused(arguments):
    with pytest.raises(SystemExit):
        parse_arguments(arguments)


async def test_signal_ends_a_run_with_its_clean_up():
    """Gateways that outlive their soak send requests to the ports of later tests."""
    cleaned = []

    async def run():
        try:
            await asyncio.Event().wait()
        finally:
            cleaned.append(True)

    task = asyncio.ensure_future(stopped_by_signal(run()))
    await asyncio.sleep(0)
    os.kill(os.getpid(), signal.SIGTERM)
    with pytest.raises(asyncio.CancelledError):
        await task
    assert cleaned
