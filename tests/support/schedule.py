"""Random schedules of faults and changes on a site, determined by the seed."""

from .site import FEEDS, TILLS, Site

FLOWS = 1000
EVERY_S = 5.0
LIST_LAG_S = 3.0
MIN_GAP_S = 10.0
MEAN_EXTRA_GAP_S = 10.0
PAIR_GAP_S = 0.5
CHANGE_GAP_S = 15.0
LEAVE_SHARE = 0.25


class Schedule:
    """Failures at least 10 s apart, 20 s on average, with target changes in between."""

    def __init__(self, engine, seed, pairs=False, seconds=90, flows=FLOWS, **options):
        self.every_s = options.pop("every_s", EVERY_S)
        self.site = Site(engine, seed, fabric_lag_s=0.5, **options)
        self.rng = self.site.rng
        self.pairs = pairs
        self.seconds = seconds
        self.flows = flows
        self.events = []

    def run(self):
        """Run the whole schedule; return the number of broken flows."""
        site, net = self.site, self.site.net
        site.open(self.flows, over_s=self.every_s, every_s=self.every_s)
        net.run(self.every_s + 5)
        end = net.now + self.seconds
        next_fault, next_change = net.now + 5, net.now + 10
        while net.now < end:
            net.run(0.5)
            if net.now >= next_fault:
                self._fail()
                next_fault = net.now + MIN_GAP_S
                next_fault += self.rng.expovariate(1 / MEAN_EXTRA_GAP_S)
            if net.now >= next_change:
                self._change()
                next_change = net.now + CHANGE_GAP_S
        net.loss = 0.0
        net.run(2 * self.every_s + 10)
        return len(site.broken(within_s=self.every_s + 1))

    def _fail(self):
        """Kill entries and replace them, or make one leave gracefully."""
        net = self.site.net
        victims = self.rng.sample(net.ready_names(), 2 if self.pairs else 1)
        if not self.pairs and self.rng.random() < LEAVE_SHARE:
            self.events.append(("leave", net.now, victims))
            net.leave(victims[0])
            net.at(30, self._replace, victims[0])
            return
        self.events.append(("kill", net.now, victims))
        for number, victim in enumerate(victims):
            delay_s = PAIR_GAP_S * number
            net.at(delay_s, net.kill, victim)
            net.at(delay_s + 2 + self.rng.random() * 3, self._replace, victim)

    def _replace(self, name):
        if name not in self.site.net.engines:
            self.site.net.start(name)

    def _change(self):
        """Admit or retire a target; readers receive the change at different times."""
        service = self.rng.choice((TILLS, FEEDS))
        admitted = self.site.admitted(service)
        if self.rng.random() < 0.5 or len(admitted) <= 4:
            self.site.admit(service, lag_s=LIST_LAG_S)
        else:
            self.site.retire(self.rng.choice(admitted), lag_s=LIST_LAG_S)
