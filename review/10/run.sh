#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -f target/review-2/Case10.class ] || exit 2
exec java -Xmx512m -cp target/review-2 Case10 "$folder"
