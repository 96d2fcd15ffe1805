import asyncio
import signal
import time
import uuid
from dataclasses import dataclass, field

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.processes.world import BOOKING_MS, HOST

scenarios("../features/idempotency_keys.feature")

PATH = f"/bookings?service_ms={BOOKING_MS}"


@dataclass(kw_only=True)
class Booking:
    incarnation: str
    not_after_ms: int
    key: str = field(default_factory=lambda: uuid.uuid4().hex)

    @property
    def headers(self):
        return {
            "Host": HOST,
            "Idempotency-Key": self.key,
            "Knapweed-Incarnation": self.incarnation,
            "Knapweed-Not-After": str(self.not_after_ms),
        }


@pytest.fixture
def scene():
    """The booking of the scenario and the last answer."""
    return {}


async def post(world, vm, path, booking, body=b"one"):
    url = world.deployment.vms[vm].entry_url + path
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=booking.headers, data=body) as reply,
    ):
        names = ("Outcome", "Result", "Ask")
        return (*(reply.headers.get(f"Knapweed-{name}") for name in names), await reply.read())


@given(parsers.re(r"booking A was made out to (?P<vm>\S+)( for (?P<seconds>\d+) s)?"))
def _(world, scene, vm, seconds):
    not_after_ms = int((time.time() + float(seconds or 60)) * 1000)
    incarnation = world.incarnations[vm]
    scene["booking"] = Booking(incarnation=incarnation, not_after_ms=not_after_ms)


@when(parsers.re(r"booking A is sent (?P<other>with another body )?to (?P<vm>[\w-]+)"))
def _(world, scene, vm, other):
    body = b"two" if other else b"one"
    scene["answer"] = world.do(post(world, vm, PATH, scene["booking"], body))


@when(parsers.parse("booking A is sent {count:d} times at once to {vm}"))
def _(world, scene, count, vm):
    async def send_all():
        sends = [post(world, vm, PATH, scene["booking"]) for _ in range(count)]
        return await asyncio.gather(*sends)

    answers = world.do(send_all())
    scene["answer"] = answers[0]
    assert answers == [answers[0]] * count


@when(parsers.parse("booking A is sent to {vm}, which is paused for {seconds:d} s"))
def _(world, scene, vm, seconds):
    async def send_to_paused():
        entry = world.deployment.vms[vm].entry
        entry.send(signal.SIGSTOP)
        sending = asyncio.create_task(post(world, vm, PATH, scene["booking"]))
        await asyncio.sleep(seconds)
        entry.send(signal.SIGCONT)
        return await sending

    scene["answer"] = world.do(send_to_paused())


@when(parsers.parse("the outcome of booking A is asked at {vm}"))
def _(world, scene, vm):
    scene["answer"] = world.do(post(world, vm, "/knapweed/v1/outcome", scene["booking"]))


@when(parsers.parse("the entry process of {vm} serves again"))
def _(world, vm):
    world.do(world.restore())


@then(parsers.parse("the answer is {outcome} with code {code:d}"))
def _(scene, outcome, code):
    assert scene["answer"][:2] == (outcome, str(code)), scene["answer"]


@then(parsers.parse("the answer names {vm}"))
def _(world, scene, vm):
    assert scene["answer"][2] == world.deployment.vms[vm].entry_url


@then(parsers.parse("booking A ran {count:d} times"))
def _(world, scene, count):
    logs = world.do(world.server_logs()).values()
    runs = [run for log in logs for run in log["runs"] if run["key"] == scene["booking"].key]
    assert len(runs) == count
