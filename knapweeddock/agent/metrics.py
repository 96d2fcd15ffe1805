"""Metrics of an agent and the HTTP server that exports them."""

from aiohttp import web

from knapweeddock.agent.core import AgentCore
from knapweeddock.metrics import ProcessMetrics
from knapweeddock.metricsweb import MetricsHandler
from knapweeddock.settings import AgentSettings


class AgentMetrics:
    """Counters and gauges of one agent."""

    def __init__(self, *, settings: AgentSettings) -> None:
        self.listen = settings.listen
        self.process = ProcessMetrics(process="knapweed-agent", vm=settings.vm)
        self.config_version = self.process.gauge(
            "knapweed_config_version", "Version of the configuration that the agent has."
        )
        self.members = self.process.gauge("knapweed_members", "Members known to the agent.")
        self.suspected = self.process.gauge(
            "knapweed_members_suspected", "Members of the own domain without heartbeats."
        )
        self.chunks_missing = self.process.gauge(
            "knapweed_block_chunks_missing", "Chunks of the block tables that are not here yet."
        )
        self.chunk_bytes = self.process.gauge(
            "knapweed_block_chunk_bytes", "Size of the chunks of the block tables held."
        )
        self.exchanges = self.process.counter(
            "knapweed_comparisons_total", "Comparisons with other agents by result."
        )
        self.platform_errors = self.process.counter(
            "knapweed_platform_errors_total", "Calls of the platform that failed."
        )
        self._runner: web.AppRunner | None = None

    async def start(self, core: AgentCore) -> None:
        """Serve ``/metrics``."""
        self.update(core)
        app = web.Application()
        app.router.add_get("/metrics", MetricsHandler(metrics=self.process).handle)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.listen.host, self.listen.metrics).start()

    async def stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def update(self, core: AgentCore) -> None:
        """Update the metrics from the state of the agent."""
        self.config_version.set({}, core.node.history.version)
        self.members.set({}, len(core.node.members.views))
        self.suspected.set({}, len(core.node.members.overdue_members()))
        self.chunks_missing.set({}, len(core.chunks.missing()))
        self.chunk_bytes.set({}, core.chunks.size_bytes)
        self.exchanges.set({"result": "done"}, core.exchanges_succeeded)
        self.exchanges.set({"result": "failed"}, core.exchanges_failed)

    def count_platform_error(self) -> None:
        """Count a failed platform call."""
        self.platform_errors.inc({})
