"""Targets of fuzzing, and how one input is judged."""

import abc
import random
import time
from typing import ClassVar

from martenjunction import registry

# Processor time in seconds that one input may take.
MAX_INPUT_S = 0.02

# How often an input that seems slow is measured again.
_REPEATED_MEASUREMENTS = 3


class OracleError(Exception):
    """A decoder returned, but its result breaks a rule."""


class Target(abc.ABC):
    """One decoder together with a generator of its inputs.

    Attributes:
        declared: Errors that the decoder may raise for malformed input.
    """

    declared: ClassVar[tuple[type[Exception], ...]] = ()

    @abc.abstractmethod
    def generate(self, rng: random.Random) -> bytes:
        """Returns an input, most often a malformed one."""

    @abc.abstractmethod
    def check(self, data: bytes) -> None:
        """Decodes an input and checks the result.

        Raises:
            OracleError: If the result breaks a rule.
        """


registered: registry.Registry[type[Target]] = registry.Registry("fuzz target")


def judge(target: Target, data: bytes) -> str:
    """Returns the fault that an input shows, or "" if it shows none.

    Equal texts stand for the same fault.

    Args:
        target: The target.
        data: The input.
    """
    spent, fault = _check(target, data)
    if not fault and spent > MAX_INPUT_S and _is_slow(target, data):
        return "slow"
    return fault


def _check(target: Target, data: bytes) -> tuple[float, str]:
    """Returns the processor time in seconds, and the fault or ""."""
    failure: Exception | None = None
    began = time.thread_time()
    try:
        target.check(data)
    except target.declared:
        pass
    except Exception as error:
        failure = error
    spent = time.thread_time() - began
    if failure is None:
        return spent, ""
    if isinstance(failure, OracleError):
        return spent, f"rule: {failure}"
    return spent, f"undeclared: {type(failure).__name__} in {_origin(failure)}"


def _is_slow(target: Target, data: bytes) -> bool:
    """Measures an input again; a collection of garbage takes long as well."""
    again = (_check(target, data) for _ in range(_REPEATED_MEASUREMENTS))
    return min(spent for spent, _ in again) > MAX_INPUT_S


def _origin(error: BaseException) -> str:
    """Returns the function of the product in which an error was raised."""
    found = ""
    step = error.__traceback__
    while step is not None:
        code = step.tb_frame.f_code
        if "/martenjunction/" in code.co_filename:
            found = f"{code.co_filename.rpartition('/')[2]}:{code.co_name}"
        step = step.tb_next
    return found or "the oracle"
