# SPDX-License-Identifier: Apache-2.0
.PHONY: build test lint format run capacity clean

build:
	mvn -q -DskipTests package

test:
	mvn -B -f reactor/pom.xml verify

lint:
	mvn -q -B -f reactor/pom.xml spotless:check checkstyle:check test -Dtest=ArchitectureTest -Dsurefire.failIfNoSpecifiedTests=false

# Formats all Java sources as verify expects them.
format:
	mvn -q -B -f reactor/pom.xml spotless:apply

# One node by the line of deploy/balancer.toml: make run CONFIG=/path/to/config.json
run: build
	@test -n "$(CONFIG)" || { echo "usage: make run CONFIG=FILE"; exit 2; }
	BALANCER_CONFIG="$(CONFIG)" /bin/sh -c "$$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml)"

# Measures one node at growing sizes, in some ten minutes, and writes the page that docs/CAPACITY.md quotes.
capacity:
	mvn -q -B -f reactor/pom.xml -pl ../capacity -am -DskipTests package
	java -Djdk.attach.allowAttachSelf=true -Djol.magicFieldOffset=true -jar capacity/target/ottergauge-capacity.jar \
		table --root . --out docs/capacity-table.md

clean:
	mvn -q -f reactor/pom.xml clean
