#!/usr/bin/env bash
# Compiles the stand-ins and the cases into review/target. Needs the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target
javac --release 17 -d target standins/*.java
