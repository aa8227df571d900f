#!/usr/bin/env bash
# The stand-ins need no build: they are Python, with its standard library only.
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
