#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
case "${TROUBLE:-1}" in
    0) disruption=without ;;
    *) disruption=with ;;
esac
exec timeout --preserve-status 115 python3 "$(dirname "$0")/case.py" "$disruption"
