"""Draw how the days of the users' bench went over the commits.

``make report`` reads the journal and writes one plot of worth and one of prices
for each site to ``build/report``. With ``--site FILE`` it also prints what the
best reachable worth of the site's days is, as far as restarts of all entries
bound it::

    .venv/bin/python extras/report.py --site sites/rust-be.toml
"""

import sys
from collections import defaultdict
from pathlib import Path

import fire
import pygal
from tabulate import tabulate

from kumquatshift.platform.journal import RequestClass, SiteDay, scores_in, site_days

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "build" / "report"

# When callers send a packet again, in seconds after the first (the platform's
# protocol): opening packets for 1.4 s in each of three tries, data for longer.
OPENING_TRY_S = 1.4
OPENING_COPIES_S = (0.0, 0.2, 0.6)
OPENING_TRIES = 3
OPENING_SENT_S = tuple(
    attempt * OPENING_TRY_S + copy
    for attempt in range(OPENING_TRIES)
    for copy in OPENING_COPIES_S
)
DATA_COPIES_S = (0.0, 0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8)

# From the return of a machine to the first packet forwarded: the interpreter and
# the entry's own start (docs/PLATFORM.md).
START_S = 0.4
STEP_S = 0.01


def credit(demand: RequestClass, sent_s: float, back_s: float) -> float:
    """Return what a request earns that was sent while no entry was there."""
    waits = OPENING_SENT_S if demand.opens_flow else DATA_COPIES_S
    served = [wait for wait in waits if sent_s + wait >= back_s]
    if not served or served[0] > demand.deadline_s:
        return 0.0
    return 1.0 if served[0] <= demand.aim_s else demand.late_credit


def lost_seconds(demands: tuple[RequestClass, ...], outage_s: float) -> float:
    """Return how many seconds' worth of requests an outage costs at least."""
    steps = [number * STEP_S for number in range(round(outage_s / STEP_S))]
    lost = 0.0
    for demand in demands:
        earned = sum(credit(demand, sent_s, outage_s) for sent_s in steps)
        lost += demand.share * (len(steps) - earned)
    return lost * STEP_S


def limit(day: SiteDay, demands: tuple[RequestClass, ...]) -> float:
    """Return the share of a day's credit that can be earned at best."""
    outage_s = day.down_s + START_S if day.down_s else 0.0
    return 1.0 - lost_seconds(demands, outage_s) / day.length_s


def draw_worth(site: str, scores: list) -> Path:
    """Draw the worth of each standard day over the scores of a site."""
    chart = pygal.Line(
        title=f"{site}: worth by day", x_label_rotation=60, range=(0.5, 1.0)
    )
    chart.x_labels = [score.commit for score in scores]
    by_day = defaultdict(lambda: [None] * len(scores))
    for number, score in enumerate(scores):
        for day in score.days:
            by_day[day.name][number] = day.worth
    for name, values in sorted(by_day.items()):
        chart.add(name, values)
    return _write(chart, f"{site}-worth.svg")


def draw_prices(site: str, score) -> Path:
    """Draw the prices of each day of one score."""
    chart = pygal.StackedBar(title=f"{site}: prices by day, {score.commit}")
    chart.x_labels = [day.name for day in score.days]
    names = {p.name for day in score.days for p in day.prices if p.cost >= 0.001}
    for name in sorted(names):
        costs = [{p.name: p.cost for p in day.prices} for day in score.days]
        chart.add(name, [each.get(name, 0.0) for each in costs])
    return _write(chart, f"{site}-prices.svg")


def _write(chart, name: str) -> Path:
    OUTPUT.mkdir(parents=True, exist_ok=True)
    path = OUTPUT / name
    path.write_bytes(chart.render())
    return path


def report(journal: str = str(ROOT / "journal"), site: str = "") -> int:
    """Draw all plots; with a site file, print the limits of its days too."""
    by_site = defaultdict(list)
    for score in scores_in(Path(journal)):
        by_site[score.site].append(score)
    rows = []
    for name, scores in sorted(by_site.items()):
        draw_worth(name, scores)
        draw_prices(name, scores[-1])
        for day in scores[-1].days:
            prices = sorted(day.prices, key=lambda price: -price.cost)[:3]
            told = ", ".join(f"{p.name} {p.cost:.3f}" for p in prices if p.cost > 0)
            rows.append((name, scores[-1].commit, day.name, f"{day.worth:.3f}", told))
    print(tabulate(rows, headers=("site", "commit", "day", "worth", "prices")))
    print(f"plots: {OUTPUT}")
    if site:
        days, demands = site_days(Path(site))
        limits = [(d.name, f"{d.down_s:g}", f"{limit(d, demands):.3f}") for d in days]
        print(tabulate(limits, headers=("day", "down s", "whole day at best")))
    return 0


def main() -> None:
    """Run with the arguments of the process."""
    sys.exit(fire.Fire(report, serialize=lambda _: ""))


if __name__ == "__main__":
    main()
