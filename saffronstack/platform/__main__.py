"""`python -m saffronstack.platform`: runs one gateway of the platform in the foreground."""

from __future__ import annotations

import gc
import os
import signal
import sys

from saffronstack.platform.config import ConfigError, read_config
from saffronstack.platform.service import Service
from saffronstack.runtime.logs import KeyValueLogger

SIGNALS = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}


def main() -> int:
    """Run until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Returns:
        The exit status: 0 after a shutdown, 2 if the gateway can't start.
    """
    # Threads inherit this mask, so signals interrupt no thread. The main thread receives them by `sigwait`.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    log = KeyValueLogger(os.environ.get("LB_NAME", "gateway"))
    path = os.environ.get("LB_CONFIG", "")
    if not path:
        log.warning("LB_CONFIG is not set")
        return 2
    try:
        service = Service(read_config(path), log=log)
    except (ConfigError, OSError) as error:
        log.warning("can't start", why=str(error))
        return 2
    service.start()
    gc.collect()
    gc.freeze()
    log.info("takes calls", address=service.frontend.address, budget=service.budget)
    while signal.sigwait(SIGNALS) == signal.SIGHUP:
        try:
            service.reload_config(path)
        except Exception:
            log.exception("configuration reload failed")
    log.info("draining")
    clean = service.stop()
    log.info("stopped", clean=clean, **service.summary())
    return 0


if __name__ == "__main__":
    sys.exit(main())
