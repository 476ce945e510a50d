"""Graceful shutdown of a daemon's service to callers."""

import asyncio
import logging

from martenjunction import listeners
from martenjunction import timers
from martenjunction.callers import service as caller_service
from martenjunction.claims import keeper
from martenjunction.config import settings as daemon_settings

logger = logging.getLogger(__name__)

# Seconds in which the process runs for sending the final responses of requests
# that were ended at the time limit of a graceful shutdown. A request that waits
# for its claim may need the whole claim timeout.
FINAL_RESPONSES_TIMEOUT = keeper.CLAIM_TIMEOUT + 1.0


async def end_service(
    settings: daemon_settings.DaemonSettings,
    listening: listeners.Listeners,
    callers: caller_service.CallerService,
) -> None:
    """Serves until the last response is sent or the time limit has passed.

    Args:
        settings: Provides the time limit and the entry TTL.
        listening: The daemon's servers.
        callers: The service that holds the requests.
    """
    callers.gate.begin(settings.drain_limit)
    listening.disable_keep_alive()
    try:
        async with asyncio.timeout(settings.drain_limit):
            # Callers may cache an entry response for this long.
            await asyncio.sleep(settings.entry_ttl)
            await _finish_requests(listening, callers)
    except TimeoutError:
        await _end_requests(listening, callers)
    logger.info("requests during the shutdown: %s", callers.gate.reasons)


async def _finish_requests(
    listening: listeners.Listeners, callers: caller_service.CallerService
) -> None:
    await listening.finish()
    # A call that must not be repeated continues after its caller
    # disconnects.
    await callers.wait_idle()


async def _end_requests(
    listening: listeners.Listeners, callers: caller_service.CallerService
) -> None:
    logger.warning("graceful shutdown exceeded its time limit")
    callers.stop_all()
    finishing = asyncio.ensure_future(_finish_requests(listening, callers))
    try:
        await timers.wait_while_running([finishing], FINAL_RESPONSES_TIMEOUT)
    finally:
        unfinished = finishing.cancel()
    if unfinished:
        logger.warning("final responses to some callers timed out")
    else:
        finishing.result()
