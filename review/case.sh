# Read by each run.sh: plays the case $CASE of the stand-ins and writes record.txt beside run.sh.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# REVIEW_ROOT is the root of the repository where the calling script is not in review/N.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "${REVIEW_ROOT:-$here/../..}" && pwd)
standins="$root/target/review/release/review-standins"
[ -x "$root/target/release/sparbank" ] && [ -x "$standins" ] || { echo "not built: see review/build.sh"; exit 2; }
DEPLOY_RUN=$(sed -n 's/^run = "\(.*\)"[[:space:]]*\(#.*\)\{0,1\}$/\1/p' "$root/deploy/balancer.toml")
CASE_FOLDER=$(mktemp -d) || exit 2
export DEPLOY_RUN CASE_FOLDER
: > "$CASE_FOLDER/pids"
end() {
  # Ends what is left of the processes that this case has started, by their ids.
  [ -n "${standin:-}" ] && kill -9 "$standin" 2>/dev/null
  [ -n "${limit:-}" ] && kill "$limit" 2>/dev/null
  while read -r pid; do
    # A node's command line names the folder: no other process that may have this id by now is ended.
    grep -qs "$CASE_FOLDER" "/proc/$pid/cmdline" && kill -9 "$pid" 2>/dev/null
  done < "$CASE_FOLDER/pids"
  rm -rf "$CASE_FOLDER"
}
trap 'end' EXIT
trap 'exit 2' INT TERM HUP
cd "$root" || exit 2
"$standins" "$CASE" "$here/record.txt" &
standin=$!
( exec sleep 110 ) & limit=$!
# Whichever ends first: the case, or its time.
while kill -0 "$standin" 2>/dev/null && kill -0 "$limit" 2>/dev/null; do sleep 0.1; done
if kill -0 "$limit" 2>/dev/null; then
  wait "$standin"; code=$?
else
  code=2; echo "not ended within 110 s"
fi
standin=
[ "$code" -le 2 ] || code=2
exit "$code"
