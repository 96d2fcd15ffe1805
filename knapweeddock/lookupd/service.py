"""The look-up daemon service: its HTTP servers and its background tasks."""

import random

import structlog
from aiohttp import web
from mode import Service

from knapweeddock.ids import new_id
from knapweeddock.lookup import Lookup
from knapweeddock.lookupd.blocktableupdater import BlockTableUpdater
from knapweeddock.lookupd.chunkclient import ChunkClient
from knapweeddock.lookupd.subscription import AddressReporter, StateSubscriber
from knapweeddock.lookupd.web import LookupHandlers
from knapweeddock.metrics import ProcessMetrics
from knapweeddock.settings import LookupSettings

log = structlog.get_logger(__name__)


class LookupService(Service):
    """The look-up daemon of one VM.

    Attributes:
        lookup: State from which look-ups are answered.
        address: ``host:port`` for callers, known after the start.
        metrics_address: ``host:port`` of ``/metrics``, known after the start.
    """

    def __init__(self, *, settings: LookupSettings, rng: random.Random | None = None) -> None:
        super().__init__()
        self.settings = settings
        self.lookup = Lookup(failure_domain=settings.failure_domain)
        self.web = LookupHandlers(
            lookup=self.lookup,
            metrics=ProcessMetrics(process="knapweed-lookup", vm=settings.vm),
        )
        rng = rng or random.Random()
        self.subscriber = StateSubscriber(
            vm=settings.vm,
            agents=list(settings.agents),
            lookup=self.lookup,
            rng=rng,
        )
        self.chunk_client = ChunkClient(vm=settings.vm, subscriber=self.subscriber)
        self.block_updater = BlockTableUpdater(
            lookup=self.lookup, fetch=self.chunk_client.fetch, rng=rng
        )
        self.address = ""
        self.metrics_address = ""
        self._runners: list[web.AppRunner] = []

    async def on_start(self) -> None:
        """Start the HTTP servers for look-ups and metrics."""
        listen = self.settings.listen
        self.address = await self._serve(self.web.build_app(), listen.host, listen.port)
        self.metrics_address = await self._serve(
            self.web.build_metrics_app(), listen.host, listen.metrics
        )
        self.reporter = AddressReporter(
            vm=self.settings.vm,
            agent=self.settings.agents[0],
            feed=self.subscriber,
            incarnation=new_id(),
            address=self.address,
        )
        log.info("look-up daemon listening", address=self.address)

    async def _serve(self, app: web.Application, host: str, port: int) -> str:
        runner = web.AppRunner(app, access_log=None)
        self._runners.append(runner)
        await runner.setup()
        site = web.TCPSite(runner, host, port)
        await site.start()
        return f"{host}:{runner.addresses[0][1]}"

    async def on_shutdown(self) -> None:
        """Stop the HTTP servers and close the connection to the agent."""
        for runner in self._runners:
            await runner.cleanup()
        self.chunk_client.close()

    @Service.task
    async def _subscribe_loop(self) -> None:
        await self.subscriber.run()

    @Service.task
    async def _report_loop(self) -> None:
        await self.reporter.run()

    @Service.task
    async def _block_table_loop(self) -> None:
        await self.block_updater.run()
