"""A scale run's figures as tables for a terminal, the model's beside them."""

from __future__ import annotations

from stepknot.simulation.scale_figures import Cost, Times
from stepknot.simulation.scale_run import Result

STEPS = (
    ("start", "all started, views right"),
    ("owner", "the job has an owner"),
    ("crash", "a crash known to all"),
    ("stall", "after a broker's stall"),
    ("cut", "a cut: those outside agree"),
    ("heal", "the cut healed"),
    ("zone_lost", "a zone's loss known to all"),
    ("zone_back", "the zone back"),
    ("restart", "a broker's restart, the longest"),
    ("owner_again", "the job has an owner again"),
)


def table(result: Result) -> str:
    return "\n".join([*costs(result), "", *times(result), "", *rules(result)])


def costs(result: Result) -> list[str]:
    rows: list[tuple[str, Cost | None]] = [
        (f"{result.real} real brokers", result.broker),
        (f"{result.members} simulated members", result.member),
    ]
    if result.model is not None:
        rows.append((f"model, {result.real + result.members} members", result.model.cost))
    return [
        f"{'control in quiet, of one member':<32} {'% of a core':>12} {'memory, KB':>12} {'sent, B/s':>12}",
        *(f"{name:<32} {cost_row(cost)}" for name, cost in rows),
        f"{'a real broker without members':<32} {100 * result.alone:>12.3f}",
    ]


def cost_row(cost: Cost | None) -> str:
    if cost is None:
        return " ".join([f"{'-':>12}"] * 3)
    return f"{100 * cost.cpu:>12.3f} {cost.memory / 1000:>12.0f} {cost.sent:>12.0f}"


def times(result: Result) -> list[str]:
    model = result.model.times if result.model is not None else Times()
    rows = [
        f"{text:<32} {shown(getattr(result.times, name))} {shown(getattr(model, name))}"
        for name, text in STEPS
    ]
    deaths = f"{result.model.deaths:>12}" if result.model is not None else ""
    return [
        f"{'seconds':<32} {'run':>12} {'model':>12}",
        *rows,
        f"{'held dead though there':<32} {result.false_deaths:>12} {deaths}",
    ]


def shown(value: float | None) -> str:
    return f"{'-':>12}" if value is None else f"{value:>12.2f}"


def rules(result: Result) -> list[str]:
    lines = []
    for each in result.rules:
        near = "-" if each.nearest is None else f"{each.nearest:.3f} {each.unit}"
        verdict = f"BROKEN {each.broken}x" if each.broken else "kept"
        lines += [
            f"{each.rule:<28} {verdict:<12} {each.checks:>8} checks   nearest: {near}",
            *(f"    {breach}" for breach in each.breaches),
        ]
    answers = ", ".join(f"{key} {count}" for key, count in sorted(result.answers.items()))
    return [*lines, f"clients saw: {answers}; {result.seconds:.1f} s"]
