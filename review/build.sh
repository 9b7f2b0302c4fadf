#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. Uses the JSON library in the built program.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -proc:none -cp target/waxwinghead-platform.jar -d target/review review/standins/*.java
