#!/bin/sh
# Builds what the cases start beside the hosts: the stand-ins, which are Python and need no more
# than the libraries of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. python3 -c "import review.harness"
