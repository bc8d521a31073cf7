#!/bin/sh
# Plays one of the further cases that REPORT.md names, by hand: review/play.sh resumed-tags. Writes review/record.txt.
CASE=${1:?a name from REPORT.md}
REVIEW_ROOT=$(dirname "$0")/..
. "$(dirname "$0")/case.sh"
