#!/bin/sh
# Builds the stand-ins of the cases into review/target.
set -eu
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -nowarn -d target stand/*.java
