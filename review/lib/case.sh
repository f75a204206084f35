#!/usr/bin/env bash
# Runs the Python program of a case: exit 1 where the rule was broken, 0 where it
# held, 2 where the case could not run. TROUBLE=0 leaves out the disruption.
#
#   case.sh FOLDER TROUBLE
cd "$1" || exit 2
export TROUBLE=$2
timeout --signal=INT --kill-after=8 110 python3 run.py
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
