"""Command line of ``knapweed-lookup``."""

from pathlib import Path

import cyclopts

from knapweeddock.daemon import run_daemon
from knapweeddock.logs import configure_logs
from knapweeddock.lookupd.service import LookupService
from knapweeddock.settings import LookupSettings, load_settings

app = cyclopts.App(name="knapweed-lookup", help="Tells callers which entry VMs to use.")


@app.default
def run(*, settings: Path) -> int:
    """Run the look-up daemon of a VM.

    Args:
        settings: Path of the settings file.
    """
    loaded = load_settings(settings, LookupSettings)
    configure_logs(level=loaded.log_level, vm=loaded.vm, process="knapweed-lookup")
    return run_daemon(lambda: LookupService(settings=loaded))


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
