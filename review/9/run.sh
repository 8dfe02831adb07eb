#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x review/target/case-2 || exit 2
exec timeout -k 5 110 review/target/case-2 leave review/9/record.txt
