"""Base class of the tests."""

import functools
from collections.abc import Awaitable, Callable
from typing import Any

import testtools
import trio

TEST_TIMEOUT_S = 150.0


class TestCase(testtools.TestCase):
    """Base class of all tests; each asynchronous test method runs in its own trio event loop."""

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        for name, value in list(vars(cls).items()):
            if name.startswith("test_") and _is_coroutine(value):
                setattr(cls, name, _run_in_trio(value))


def _is_coroutine(value: object) -> bool:
    import inspect

    return inspect.iscoroutinefunction(value)


def _run_in_trio(method: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    @functools.wraps(method)
    def run(self: Any) -> None:
        async def async_run_with_timeout() -> None:
            with trio.fail_after(TEST_TIMEOUT_S):
                await method(self)

        trio.run(async_run_with_timeout)

    # functools.wraps exposes the coroutine function, which the test runner must not see.
    del run.__wrapped__  # type: ignore[attr-defined]
    return run
