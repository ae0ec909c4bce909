"""Plots cost against quality, and exposure over time, into ``docs/design/plots``.

Needs the optional extra ``plots``; run it with ``python -m bench.version_plots``. The
runs and seeds are those of ``bench.versions``, so the output is reproducible.
"""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt

from bench.version_costs import BASELINES, SEEDS, run_seed
from bench.version_exposure import (
    ACCOUNT,
    BAD_VERSIONS,
    CLASS,
    MAX_EXPOSED_REQUESTS,
    NEW,
    SCORED_KINDS,
    start_world,
)
from bench.version_traces import THISTLEDOWN, PolicyResult

PLOT_FOLDER = Path(__file__).resolve().parent.parent / "docs" / "design" / "plots"
WORKER_COUNT = 4
EXPOSURE_SEEDS = (1, 2, 3)
EXPOSURE_DURATION_S = 240.0
REQUESTS_PER_S = 20.0
HOST_COUNT = 6
STYLE = {"svg.hashsalt": "poplarrun", "svg.fonttype": "none", "font.size": 8}
# Pairs of seconds since the offer and requests served by the bad version until then.
ExposureSteps = list[tuple[float, int]]


def run_exposure(kind: str, seed: int) -> ExposureSteps:
    """Return the number of requests that a bad version served, by seconds since its offer."""
    world = start_world(BAD_VERSIONS[kind], seed, HOST_COUNT, REQUESTS_PER_S, kind in SCORED_KINDS)
    offered_at = world.now
    world.run(int(EXPOSURE_DURATION_S * REQUESTS_PER_S), [CLASS], ACCOUNT)
    times = [served.at - offered_at for served in world.served if served.version == NEW]
    return [
        (0.0, 0),
        *((at, count) for count, at in enumerate(times, 1)),
        (EXPOSURE_DURATION_S, len(times)),
    ]


def plot_exposure(runs: dict[str, list[ExposureSteps]]) -> None:
    """Draw one panel for each kind of bad version, one line for each seed."""
    figure, panels = plt.subplots(2, 3, figsize=(9, 4.5), sharex=True, sharey=True)
    for panel, (kind, lines) in zip(panels.flat, runs.items(), strict=True):
        for line in lines:
            panel.step(*zip(*line, strict=True), where="post", linewidth=0.8)
        panel.axhline(MAX_EXPOSED_REQUESTS, color="black", linestyle=":")
        panel.set_title(kind.replace(" for a target of 0.75", ""), fontsize=8)
    figure.supxlabel("seconds since the offer")
    figure.supylabel("requests that it reached")
    _save(figure, "exposure.svg")


def plot_costs(results: list[dict[str, dict[str, PolicyResult]]]) -> None:
    """Draw one panel for each class, with a point of cost and quality for each policy and seed."""
    figure, panels = plt.subplots(1, len(THISTLEDOWN), figsize=(9, 3), sharey=True)
    for panel, plan in zip(panels, THISTLEDOWN, strict=True):
        for policy in ("poplarrun", *BASELINES):
            costs = [a[policy][plan.name].cost / a["oracle"][plan.name].cost for a in results]
            surplus = [a[policy][plan.name].quality - plan.target for a in results]
            marker = "*" if policy == "poplarrun" else "o"
            panel.scatter(
                costs, surplus, s=30 if marker == "*" else 10, marker=marker, label=policy
            )
        panel.axhline(0.0, color="black", linestyle=":")
        panel.set(xscale="log", title=f"{plan.name}, target {plan.target}")
    panels[0].legend(fontsize=6)
    figure.supxlabel("cost against the oracle")
    figure.supylabel("quality less target")
    _save(figure, "cost-quality.svg")


def _save(figure: "plt.Figure", name: str) -> None:
    figure.tight_layout()
    figure.savefig(PLOT_FOLDER / name, metadata={"Date": None})


def main() -> None:
    """Run the simulations and draw both plots."""
    PLOT_FOLDER.mkdir(exist_ok=True)
    plt.rcParams.update(STYLE)
    with ProcessPoolExecutor(WORKER_COUNT) as pool:
        runs = {
            kind: list(pool.map(run_exposure, [kind] * len(EXPOSURE_SEEDS), EXPOSURE_SEEDS))
            for kind in BAD_VERSIONS
        }
        jobs = [("thistledown", seed, "prompt") for seed in SEEDS]
        seed_runs = list(pool.map(run_seed, *zip(*jobs, strict=True)))
    plot_exposure(runs)
    plot_costs([results for results, _ in seed_runs])


if __name__ == "__main__":
    main()
