#!/bin/sh
# The stand-ins are Python programs on the dependencies in target/deps. Check
# that they and the project's own stand-in can be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="review:target/deps:." exec python3 -c '
import fakes.platform_store
import stand_ins.case
import stand_ins.client
'
