#!/usr/bin/env bash
# Plays this case, after the build of the deploy file and review/build-2.sh. Exit: 0 the rule held, 1 it was broken, 2 the case
# could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
for program in "$here/../../bin/fernlanding" "$here/../stage2/bin/stage2"; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec "$here/../stage2/bin/stage2" sameid "$here/record.txt"
