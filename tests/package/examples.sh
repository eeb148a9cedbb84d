#!/usr/bin/env bash
# Installs into a new folder, builds the examples against the installed package and runs them.
# Guards against headers or dependencies that are missing from the package.
set -euo pipefail
source_dir=$1 build=$2 work=$2/package-test
rm -rf "$work"
cmake --install "$build" --prefix "$work/prefix" >"$work.log"
[ -z "$(find "$work/prefix" -name '*.pb.h')" ] || { echo "generated headers are installed"; exit 1; }

# The examples are built from a copy, so that no relative path leads into the source tree.
cp -r "$source_dir/examples" "$work/examples"
launcher=()
command -v ccache >/dev/null && launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
cmake -S "$work/examples" -B "$work/build" -DCMAKE_PREFIX_PATH="$work/prefix" "${launcher[@]}" \
    >>"$work.log"
cmake --build "$work/build" >>"$work.log" || { tail -n 40 "$work.log"; exit 1; }

expect() { # expect OUTPUT LINE: fails unless the output contains the line
    grep -qx "$2" <<<"$1" || { printf 'no line "%s" in:\n%s\n' "$2" "$1"; exit 1; }
}
queue=$("$work/build/example_admission_queue")
echo "$queue"
# The full queue refuses work of the workspace with the larger backlog and serves urgent work first.
expect "$queue" "refused 2"
expect "$(sed -n 2p <<<"$queue")" "serves 4 of cooperative"
tickets=$("$work/build/example_ticket_decisions" "$work/examples/first-ticket.yaml")
echo "$tickets"
expect "$tickets" "status-lookup: 4 stages, urgent"
# A removed object must not appear in the configuration.
cp "$work/examples/first-ticket.yaml" "$work/removal.yaml"
sed -i 's/^pools:/pools:\n  former: null/' "$work/removal.yaml"
[ "$("$work/build/example_ticket_decisions" "$work/removal.yaml")" = "$tickets" ]
