#!/bin/sh
# Writes record.txt. Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case couldn't
# run. With TROUBLE=0 no gateway is killed.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:src:. exec python3 review/4/case.py
