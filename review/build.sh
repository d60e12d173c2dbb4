#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. Those that the cases share are in 1/standins.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
rm -rf "$root/target/review"
mkdir -p "$root/target/review"
javac -cp "$root/target/lib/*" -d "$root/target/review" "$root"/review/1/standins/*.java "$root"/review/[1-5]/*.java
