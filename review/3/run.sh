#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0: the same without the disruption.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/release/yard-node ] || [ ! -x review/target/case ]; then
    echo "build first: the command of deploy/system.toml, and review/build.sh" >&2
    exit 2
fi
exec review/target/case twice review/3
