#!/usr/bin/env bash
# Plays this case. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kqcontrol ] && [ -x target/kqentry ] && [ -x review/bin/standin ] || {
  echo "build the programs with the line build of deploy/system.toml, and run review/build.sh"
  exit 2
}
exec review/bin/standin ends "review/5/record.txt" target
