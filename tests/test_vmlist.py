"""VM list: guards against treating a malformed or failed response as an empty list."""

import pytest

from knapweeddock.errors import StoreUnavailable
from knapweeddock.vmlist import HttpVmList, InMemoryVmList, ListedVm, VmKind, VmState
from tests.fake_platform import FakePlatform

LEAVING_SERVER = ListedVm(
    id="s1", kind=VmKind.SERVER, state=VmState.LEAVING, failure_domain="d1", address="127.0.0.1"
)


async def test_list_by_http():
    platform = FakePlatform()
    platform.vms = [
        {"id": "s1", "kind": "server", "state": "leaving"}
        | {"failure_domain": "d1", "address": "127.0.0.1", "later_field": 1}
    ]
    async with platform.serve() as url:
        vms = HttpVmList(url=url)
        assert await vms.fetch() == [LEAVING_SERVER]
        platform.vms = [{"id": "s1"}]
        with pytest.raises(StoreUnavailable, match="malformed"):
            await vms.fetch()
        await vms.close()


async def test_list_in_memory():
    vms = InMemoryVmList(vms=[LEAVING_SERVER])
    assert await vms.fetch() == [LEAVING_SERVER]
    vms.down = True
    with pytest.raises(StoreUnavailable):
        await vms.fetch()
