#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] && [ -x target/bin/pomelopond-entry ] || exit 2
TROUBLE=${TROUBLE:-1} exec target/review/case-3
