"""Plot the scores of the users' bench over the commits.

``make report`` reads the journal and writes a plot of worth and one of prices for
each site to ``build/report``. With ``--site FILE`` it also prints an upper bound on
the worth of each day of the site, which follows from the restarts of all entries::

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

# Times at which callers transmit a packet, in seconds after the first transmission
# (by the platform's protocol). A packet that opens a flow is sent in three tries of
# 1.4 s each; a data packet is retransmitted for longer.
OPENING_TRY_S = 1.4
OPENING_TRANSMISSIONS_S = (0.0, 0.2, 0.6)
OPENING_TRIES = 3
OPENING_SENT_S = tuple(
    attempt * OPENING_TRY_S + transmission
    for attempt in range(OPENING_TRIES)
    for transmission in OPENING_TRANSMISSIONS_S
)
DATA_TRANSMISSIONS_S = (0.0, 0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8)

# Time from the return of a machine to the first forwarded packet: the start of the
# interpreter and of the entry (docs/PLATFORM.md).
START_S = 0.4
SAMPLE_STEP_S = 0.01


def credit(demand: RequestClass, sent_s: float, back_s: float) -> float:
    """Return the credit for a request that was first sent while no entry was up."""
    transmissions = OPENING_SENT_S if demand.opens_flow else DATA_TRANSMISSIONS_S
    served = [wait for wait in transmissions if sent_s + wait >= back_s]
    if not served or served[0] > demand.deadline_s:
        return 0.0
    return 1.0 if served[0] <= demand.aim_s else demand.late_credit


def lost_seconds(demands: tuple[RequestClass, ...], outage_s: float) -> float:
    """Return the credit that an outage costs at least, in seconds of full credit."""
    steps = [
        number * SAMPLE_STEP_S for number in range(round(outage_s / SAMPLE_STEP_S))
    ]
    lost = 0.0
    for demand in demands:
        earned = sum(credit(demand, sent_s, outage_s) for sent_s in steps)
        lost += demand.share * (len(steps) - earned)
    return lost * SAMPLE_STEP_S


def limit(day: SiteDay, demands: tuple[RequestClass, ...]) -> float:
    """Return the maximum share of a day's credit that can be earned."""
    outage_s = day.down_s + START_S if day.down_s else 0.0
    return 1.0 - lost_seconds(demands, outage_s) / day.length_s


def draw_worth(site: str, scores: list) -> Path:
    """Plot the worth of each standard day over the scores of a site."""
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
    """Plot the prices of each day of one score."""
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
    """Draw all plots; with a site file, also print the limits of its days."""
    by_site = defaultdict(list)
    for score in scores_in(Path(journal)):
        by_site[score.site].append(score)
    rows = []
    for name, scores in sorted(by_site.items()):
        draw_worth(name, scores)
        draw_prices(name, scores[-1])
        for day in scores[-1].days:
            prices = sorted(day.prices, key=lambda price: -price.cost)[:3]
            top_prices = ", ".join(
                f"{p.name} {p.cost:.3f}" for p in prices if p.cost > 0
            )
            rows.append(
                (name, scores[-1].commit, day.name, f"{day.worth:.3f}", top_prices)
            )
    print(tabulate(rows, headers=("site", "commit", "day", "worth", "prices")))
    print(f"plots: {OUTPUT}")
    if site:
        days, demands = site_days(Path(site))
        limits = [(d.name, f"{d.down_s:g}", f"{limit(d, demands):.3f}") for d in days]
        print(tabulate(limits, headers=("day", "down s", "whole day at best")))
    return 0


def main() -> None:
    """Run with the command-line arguments."""
    sys.exit(fire.Fire(report, serialize=lambda _: ""))


if __name__ == "__main__":
    main()
