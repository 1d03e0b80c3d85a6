#!/usr/bin/env bash
# Plays case 10: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec .venv/bin/python -B review/10/case.py
