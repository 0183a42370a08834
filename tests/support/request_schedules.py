"""Hypothesis strategies for schedules of requests and faults."""

from hypothesis import strategies as st

from kumquatshift.measures import request_schedules as schedules
from kumquatshift.measures.request_schedules import Event, Round, Schedule


def fault_events(call, *values):
    args = st.tuples(*(st.sampled_from(each) for each in values))
    return st.builds(Event, st.sampled_from(schedules.PAUSES_S), st.just(call), args)


EVENTS = st.one_of(
    fault_events("restart", schedules.NODES),
    fault_events("kill", schedules.NODES),
    fault_events("start", schedules.NODES),
    fault_events("cut", schedules.ENTRIES, schedules.NODES),
    fault_events("heal"),
    fault_events("restart_targets"),
    st.builds(
        Event,
        st.sampled_from(schedules.PAUSES_S),
        st.just("fault"),
        st.sampled_from(schedules.HOP_FAULTS),
    ),
)
FAULTS = st.lists(EVENTS, max_size=schedules.FAULTS_PER_ROUND_MAX).map(tuple)
ROUNDS = st.one_of(
    st.builds(
        Round,
        st.sampled_from(schedules.CODES),
        st.sampled_from(schedules.TOKENS),
        FAULTS,
    ),
    st.builds(Round, st.none(), st.just(b""), FAULTS),
)
SCHEDULES = st.builds(
    Schedule,
    st.lists(ROUNDS, min_size=schedules.ROUNDS_MIN, max_size=schedules.ROUNDS_MAX).map(
        tuple
    ),
    st.integers(0, 1 << 16),
    st.booleans(),
    st.sampled_from(schedules.FAULT_PROBABILITIES),
)
