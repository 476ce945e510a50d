"""How a daemon ends its service to callers: answered, or told why not."""

import asyncio
import logging

from martenjunction import listeners
from martenjunction.callers import service as caller_service
from martenjunction.claims import keeper
from martenjunction.config import settings as daemon_settings

logger = logging.getLogger(__name__)

# Seconds in which requests that a planned stop ended at its limit get their
# answers; one that waits for its claim may wait as long as that takes.
FINAL_ANSWERS = keeper.CLAIM_TIMEOUT + 1.0


async def end_service(
    settings: daemon_settings.DaemonSettings,
    listening: listeners.Listeners,
    callers: caller_service.CallerService,
) -> None:
    """Serves until the last answer is out, or the limit has passed.

    Args:
        settings: Hold the limit, and how long entry answers are kept.
        listening: The daemon's servers.
        callers: Holds the requests.
    """
    listening.end_reuse()
    try:
        async with asyncio.timeout(settings.drain_limit):
            # Callers may keep an old entry answer for this long.
            await asyncio.sleep(settings.entry_ttl)
            await _finish_requests(listening, callers)
    except TimeoutError:
        await _end_requests(listening, callers)


async def _finish_requests(
    listening: listeners.Listeners, callers: caller_service.CallerService
) -> None:
    await listening.finish()
    # A call that may not be repeated goes on when its caller left.
    await callers.wait_idle()


async def _end_requests(
    listening: listeners.Listeners, callers: caller_service.CallerService
) -> None:
    logger.warning("the planned stop took too long")
    callers.stop_all()
    try:
        async with asyncio.timeout(FINAL_ANSWERS):
            await _finish_requests(listening, callers)
    except TimeoutError:
        logger.warning("some callers did not take their last answers")
