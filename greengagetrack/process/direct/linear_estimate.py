"""An online estimate of a time that grows linearly with the work."""

FORGET_FACTOR = 0.99
OUTLIER_FACTOR = 4.0
EXPECTED_POINT_WEIGHT = 4.0
VARIANCE_SHARE_MIN = 1e-6


class LinearEstimate:
    """A fixed time and a time per unit, learned from what was measured.

    It starts from two expected points and forgets them, as all points,
    step by step. Points that are far off are limited to a multiple of the
    prediction, since a stalled server says nothing about the others::

        estimate = new_linear_estimate(40.0, 0.01, 10_000)
        assert round(estimate.predict(1_000)) == 50
    """

    __slots__ = ("_sums", "fixed", "per_unit")

    def __init__(self, sums):
        self._sums = sums
        self.fixed = 0.0
        self.per_unit = 0.0
        self._solve()

    def predict(self, units):
        """Return the time that `units` of work take."""
        return self.fixed + self.per_unit * units

    def record(self, units, spent):
        """Learn from work of `units` that took `spent`."""
        spent = min(spent, OUTLIER_FACTOR * self.predict(units))
        point = (1.0, units, spent, units * units, units * spent)
        self._sums = [
            total * FORGET_FACTOR + value
            for total, value in zip(self._sums, point, strict=True)
        ]
        self._solve()

    def _solve(self):
        """Fit the line of least squares; keep its slope without variance."""
        count, units, spent, squares, products = self._sums
        variance = squares * count - units * units
        if variance > VARIANCE_SHARE_MIN * squares * count:
            slope = (products * count - units * spent) / variance
            self.per_unit = max(slope, 0.0)
        self.fixed = max((spent - self.per_unit * units) / count, 0.0)


def new_linear_estimate(fixed, per_unit, typical_units):
    """Return an estimate that expects a fixed time and a time per unit."""
    end = fixed + per_unit * typical_units
    # One point without work, one with the typical amount.
    sums = [
        2.0,
        typical_units,
        fixed + end,
        typical_units**2,
        typical_units * end,
    ]
    return LinearEstimate([EXPECTED_POINT_WEIGHT * value for value in sums])
