#!/bin/sh
# Builds the stand-ins of the scripts: Python of the standard library only.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review
