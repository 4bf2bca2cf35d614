#!/bin/sh
# Runs a case: sh case.sh FOLDER CLASS. See review/REPORT-2.md.
set -u
root="$(cd "$(dirname "$0")/../.." && pwd)"
temp="$(mktemp -d)"
CASE_ROOT="$root" CASE_FOLDER="$1" CASE_TEMP="$temp" java ${CASE_OPTIONS:-} -Xmx256m -cp "$root/review/stand-2/target" "$2"
status=$?
if [ -n "${KEEP:-}" ]; then cp "$temp"/*.log "$KEEP"/; fi
rm -rf "$temp"
exit $status
