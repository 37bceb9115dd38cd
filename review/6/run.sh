#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: without the disruption. What was sent, answered and run is in record.txt.
cd "$(dirname "$0")" && exec timeout --signal=TERM --kill-after=3 115 python3 case.py
