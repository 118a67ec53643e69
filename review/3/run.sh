#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it does the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec sh "$(dirname "$0")/../run-case.sh" 3 silent_store
