#!/bin/sh
# Builds the stand-ins of the scripts. They are Python, so this only checks that all of them compile
# and that the packages which the deploy file's build has put into target/deps can be loaded.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:review:.
python3 -m compileall -q review || exit 1
exec python3 -c "import standins.deployment, standins.flows, standins.wires"
