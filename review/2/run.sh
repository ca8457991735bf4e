#!/usr/bin/env bash
# Plays case 2 and writes review/2/record.txt. Exit code: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/myrtleloft ] && [ -x build-review/case_2 ] || exit 2
exec build-review/case_2 review/2/record.txt
