"""Serves a process's metrics with aiohttp."""

from aiohttp import hdrs, web

from knapweeddock.metrics import METRICS_PATH, ProcessMetrics


class MetricsHandler:
    """Answers requests for the metrics of one process."""

    def __init__(self, *, metrics: ProcessMetrics) -> None:
        self.metrics = metrics

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a request for ``/metrics``."""
        if request.path != METRICS_PATH:
            return web.Response(status=404, text=f"Only {METRICS_PATH} is served here.\n")
        content, headers = self.metrics.render(request.headers.getall(hdrs.ACCEPT, []))
        return web.Response(body=content, headers=headers)
