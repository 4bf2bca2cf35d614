#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into stand-2/target.
set -eu
cd "$(dirname "$0")/stand-2"
rm -rf target
mkdir -p target
javac -nowarn -d target ./*.java
