#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:all --add-modules jdk.incubator.foreign -d target/review-3 review/standins-3/*.java
