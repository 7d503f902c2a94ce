#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Writes record.txt beside it. Exit code 1: the rule was broken; 0: it held;
# 2: the case could not run. With TROUBLE=0 there is no disruption.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
exec java -Xmx512m -cp "$root/review/target/classes" HungUpload "$root" "$here"
