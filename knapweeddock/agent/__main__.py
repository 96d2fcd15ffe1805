"""Command line of ``knapweed-agent``."""

from pathlib import Path

import cyclopts

from knapweeddock.agent.service import AgentService
from knapweeddock.daemon import run_daemon
from knapweeddock.httpstore import HttpObjectStore
from knapweeddock.logs import configure_logs
from knapweeddock.settings import AgentSettings, load_settings
from knapweeddock.vmlist import HttpVmList

app = cyclopts.App(name="knapweed-agent", help="Membership and distribution of configuration.")


@app.default
def run(*, settings: Path) -> int:
    """Run the agent of a VM.

    Args:
        settings: Path of the settings file.
    """
    loaded = load_settings(settings, AgentSettings)
    configure_logs(level=loaded.log_level, vm=loaded.vm, process="knapweed-agent")

    def build() -> AgentService:
        return AgentService(
            settings=loaded,
            store=HttpObjectStore(url=loaded.platform_url),
            vm_list=HttpVmList(url=loaded.platform_url),
        )

    return run_daemon(build, drain=AgentService.drain)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
