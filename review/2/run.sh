#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: no disruption.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
exec java -Xmx512m -cp "$root/review/target/classes" ManyAnswers "$root" "$here"
