#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins and cases of the second review into target/review-2, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 $(find review/standin-2 review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null)
