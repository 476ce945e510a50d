"""Steps of a graceful shutdown, none of which may end it."""

from collections.abc import Callable
from collections.abc import Iterable
import logging

logger = logging.getLogger(__name__)

Step = Callable[[], object]


def run(steps: Iterable[Step]) -> None:
    """Runs each step, whatever happened in those before it.

    The requests in flight get their final responses at the end of a shutdown,
    so that an error in what is told to others must not keep it from its end.

    Args:
        steps: Called without arguments; an error is logged.
    """
    for step in steps:
        try:
            step()
        except Exception:
            logger.exception("a step of the shutdown failed")
