#!/usr/bin/env bash
# Two members of the core lose their disks, catch_up_s and a little apart.
here=$(cd "$(dirname "$0")" && pwd)
# TROUBLE=0 does the same without the disruption.
exec bash "$here/../lib/case.sh" "$here" "${TROUBLE:-1}"
