from tests.entry.support import Caller, backend, config_of, entry, ok


async def test_a_request_is_proxied_end_to_end():
    """Guards against a request or answer that is changed on its way."""
    async with backend(ok) as server, entry(config_of([server.address])) as service:
        async with Caller(service) as caller, caller.request("GET", "/a%20b?x=1") as response:
            assert response.status == 200
            assert await response.read() == b"ok"
            assert response.headers["Knapweed-Result"] == "0"
            assert response.headers["Knapweed-Outcome"] == "complete"
        assert server.heads[0].startswith("GET /a%20b?x=1 HTTP/1.1")
        assert "Host: ledger.test" in server.heads[0]
