"""Planted defects of zones."""

from bench.planted_defects.defect import PlantedDefect

DEFECTS = [
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="return zone.spill.bears(self.now, self.limit(name), base)",
        replacement="return math.inf",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="return max(least, health.ramp * base)",
        replacement="return math.inf",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="return max(least, self.bounds.first * base)",
        replacement="return math.inf",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/spill.py",
        original="min(bound, max(self.cap",
        replacement="max(bound, max(self.cap",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/spill.py",
        original="            and self.turned > OVERLOAD * self.ended\n",
        replacement="            and self.turned > 0\n",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="if safe and not owed and health.may_try",
        replacement="if health.may_try",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="if not any(open_to.values()) and all(",
        replacement="if False and all(",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="or not alive and self.was_silent",
        replacement="or self.was_silent",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="elapsed >= SILENT * self.mean",
        replacement="elapsed >= 0",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="if now <= self.now:\n            return",
        replacement="",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/health.py",
        original="recent >= max(1, math.ceil(0.6 * boxes))",
        replacement="recent >= 1",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="waiting = max(",
        replacement="return 1.0\n        waiting = max(",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="OVER_SHARE if over_share else 1.0",
        replacement="1.0",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/health.py",
        original="        return (lost or silent) and recent >= max(1, math.ceil(0.6 * boxes))\n",
        replacement="        return lost and recent >= max(1, math.ceil(0.6 * boxes))\n",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/health.py",
        original="self.ramp = max(self.bounds.first, self.ramp / 2)",
        replacement="pass",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/health.py",
        original="self.relapses += 1",
        replacement="pass",
        tests=("tests/zones/test_policy.py",),
    ),
    PlantedDefect(
        path="stepknot/zones/policy.py",
        original="return None\n        self.shed_parts",
        replacement="pass\n        self.shed_parts",
        tests=("tests/zones/test_policy.py",),
    ),
]
