#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins of all cases; they need the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -Xlint:all -Werror -d target/classes standin/*.java
