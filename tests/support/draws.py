"""How hypothesis draws random schedules that take seconds each."""

from hypothesis import Phase, settings

# The same examples in each run, and without shrinking, which would take minutes.
FEW_EXAMPLES = settings(
    max_examples=30,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
)
