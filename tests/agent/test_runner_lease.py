"""Tests for RunnerLease, against a model of a runner whose clock drifts."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.agent.const import (
    LEASE_CHECK_INTERVAL_S,
    LEASE_S,
    MAX_CLOCK_DRIFT,
    MAX_LEASE_S,
)
from pistachiohill.agent.runner_lease import RunnerLease
from standins.runner_model import RunnerModel

from ..base import TestCase

ROUNDING_S = 0.002  # the runner's clock is read and set in milliseconds
SUSPENDED_S = 4.0


def lease_end_s(model: RunnerModel, until_clock_s: float | None, now_s: float) -> float:
    """Return when a lease that arrives at once ends."""
    assert until_clock_s is not None
    model.lease_expires_at_s = 0.0
    model.hold(int(until_clock_s * 1000), 1, 0, now_s)
    return model.lease_expires_at_s


def run_until_s(lease: RunnerLease, from_s: float, until_s: float) -> float:
    """Let the agent run without a stall; return the time at which it has run until then."""
    while from_s < until_s:
        lease.tick(from_s)
        from_s += LEASE_CHECK_INTERVAL_S
    lease.tick(until_s)
    return until_s


class RunnerLeaseTest(TestCase):
    @seed(20261205)
    @settings(max_examples=500, deadline=None, database=None)
    @given(
        st.lists(st.tuples(st.floats(0.0, 30.0), st.floats(0.0, 2.0)), min_size=1, max_size=10),
        st.floats(1.0 - MAX_CLOCK_DRIFT, 1.0),
        st.floats(0.0, 30.0),
    )
    def test_no_lease_lasts_longer_than_its_agent_assumes(
        self, readings: list[tuple[float, float]], rate: float, granted_after_s: float
    ) -> None:
        """`readings` has the pauses between the runner's responses and the delay of each."""
        model, lease = RunnerModel(born_ms=1, rate=rate), RunnerLease()
        now_s = received_s = 0.0
        for pause_s, delay_s in readings:
            now_s += pause_s
            received_s = max(received_s, now_s + delay_s)
            lease.record_clock(model.clock_ms(now_s) / 1000, now_s, received_s)
        now_s = received_s + granted_after_s
        end_s = lease_end_s(model, lease.grant(now_s), now_s)
        self.assertLessEqual(end_s, lease.expires_at_s + ROUNDING_S)
        self.assertFalse(lease.runs_have_ended(end_s - ROUNDING_S))

    def test_a_lease_lasts_as_long_as_intended_after_a_response(self) -> None:
        model, lease = RunnerModel(born_ms=1), RunnerLease()
        lease.record_clock(model.clock_ms(5.0) / 1000, 5.0, 5.0)
        end_s = lease_end_s(model, lease.grant(5.1), 5.1)
        self.assertGreater(end_s, 5.1 + LEASE_S - 0.1 * MAX_CLOCK_DRIFT - ROUNDING_S)

    def test_no_lease_is_granted_before_the_clock_of_a_new_incarnation_is_known(self) -> None:
        lease = RunnerLease()
        lease.record_clock(500.0, 5.0, 5.0)
        lease.reset(6.0)
        self.assertIsNone(lease.grant(6.0))

    def test_suspension_does_not_count_for_the_bound_of_the_clock(self) -> None:
        """Guards against leases that are too long by the time that a machine was suspended."""
        model, lease = RunnerModel(born_ms=1), RunnerLease()
        lease.record_clock(model.clock_ms(5.0) / 1000, 5.0, 5.0)
        run_until_s(lease, 5.0, 6.0)
        model.suspend(6.0)
        resumed_s = 6.0 + SUSPENDED_S
        model.resume(resumed_s)
        end_s = lease_end_s(model, lease.grant(resumed_s), resumed_s)
        self.assertLessEqual(end_s, resumed_s + LEASE_S + ROUNDING_S)

    def test_lease_goes_on_after_a_suspension_for_as_long_as_it_had_left(self) -> None:
        """Guards against counting a suspension as time in which a lease ran out."""
        model, lease = RunnerModel(born_ms=1), RunnerLease()
        lease.record_clock(model.clock_ms(5.0) / 1000, 5.0, 5.0)
        lease_end_s(model, lease.grant(5.0), 5.0)
        run_until_s(lease, 5.0, 5.2)
        model.suspend(5.2)
        resumed_s = 5.2 + SUSPENDED_S
        model.resume(resumed_s)
        end_s = model.lease_expires_at_s
        self.assertGreater(end_s, resumed_s)
        self.assertFalse(lease.runs_have_ended(resumed_s))
        self.assertFalse(lease.runs_have_ended(run_until_s(lease, resumed_s, end_s - ROUNDING_S)))
        self.assertTrue(lease.runs_have_ended(run_until_s(lease, end_s, resumed_s + MAX_LEASE_S)))

    def test_reading_that_proves_the_bound_wrong_replaces_it(self) -> None:
        """Guards against a clock that stood still unnoticed: the bound stayed wrong for minutes."""
        model, lease = RunnerModel(born_ms=1), RunnerLease()
        lease.record_clock(model.clock_ms(5.0) / 1000, 5.0, 5.0)
        model.born_s += SUSPENDED_S
        now_s = run_until_s(lease, 5.0, 10.0)
        lease.grant(now_s)
        lease.record_clock(model.clock_ms(now_s) / 1000, now_s, now_s)
        self.assertIsNone(lease.granted_until_clock_s)
        self.assertFalse(lease.runs_have_ended(now_s + MAX_LEASE_S))
        end_s = lease_end_s(model, lease.grant(now_s), now_s)
        self.assertLessEqual(end_s, now_s + LEASE_S + ROUNDING_S)

    def test_response_that_was_overtaken_does_not_prove_the_bound_wrong(self) -> None:
        model, lease = RunnerModel(born_ms=1), RunnerLease()
        early_s = model.clock_ms(5.0) / 1000
        lease.record_clock(model.clock_ms(5.25) / 1000, 5.25, 5.25)
        lease.grant(5.25)
        lease.record_clock(early_s, 5.0, 5.26)
        self.assertIsNotNone(lease.granted_until_clock_s)
