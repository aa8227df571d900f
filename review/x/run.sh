#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
timeout -k 5 110 python3 -B case.py
case $? in
    40) exit 0 ;;
    41) exit 1 ;;
    *) exit 2 ;;
esac
