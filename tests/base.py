"""Base classes of the tests."""

import functools
from collections.abc import Awaitable, Callable
from typing import Any

import testtools
import trio

TEST_TIMEOUT_S = 150.0


class TestCase(testtools.TestCase):
    """Base of all tests; asynchronous test methods run in a trio loop of their own."""

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        for name, value in list(vars(cls).items()):
            if name.startswith("test_") and _is_coroutine(value):
                setattr(cls, name, _in_trio(value))


def _is_coroutine(value: object) -> bool:
    import inspect

    return inspect.iscoroutinefunction(value)


def _in_trio(method: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    @functools.wraps(method)
    def run(self: Any) -> None:
        async def async_bounded() -> None:
            with trio.fail_after(TEST_TIMEOUT_S):
                await method(self)

        trio.run(async_bounded)

    # The wrapped coroutine function must not be visible to the runner.
    del run.__wrapped__  # type: ignore[attr-defined]
    return run
