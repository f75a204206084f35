#!/bin/sh
# TROUBLE=0 does the same without the disruption.
exec python3 "$(dirname "$0")/case.py" "${TROUBLE:-1}"
