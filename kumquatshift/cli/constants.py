"""Names and limits of kumquat-ctl."""

PROGRAM = "kumquat-ctl"

SETTINGS_VARIABLE = "KUMQUAT_CTL_SETTINGS"
OPERATOR_VARIABLES = ("USER", "LOGNAME")

ADMIN_PORT = 7300
ENTRY_ROLE = "entry"

MAX_WAIT_S = 3600.0
CALL_TIMEOUT_S = 2.0

# Flags without a value, and flags that may appear anywhere on the command line.
SWITCHES = ("--json", "-j", "--dry-run", "--dry_run", "-d")
GLOBAL_FLAGS = ("--settings", "--platform")
STDIN = "/dev/stdin"
