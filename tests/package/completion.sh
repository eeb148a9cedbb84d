#!/usr/bin/env bash
# Checks that the completion offers every flag and command, and that every program supports
# --version and suggests the right flag for a misspelled one.
set -euo pipefail
source_dir=$1 build=$2
export PATH="$build:$PATH"
# shellcheck source=/dev/null
source "$source_dir/share/bash-completion/jujubemast"

fail() { echo "$*"; exit 1; }

complete_words() { # complete_words WORD...: completes the last word
    COMP_WORDS=("$@") COMP_CWORD=$(($# - 1))
    _jujubemast "$1" "${COMP_WORDS[COMP_CWORD]}" "${COMP_WORDS[COMP_CWORD - 1]}"
}

offers() { # offers WORD: fails unless the last completion offers the word
    printf '%s\n' "${COMPREPLY[@]}" | grep -qxe "$1" || fail "no $1 in: ${COMPREPLY[*]}"
}

for program in jujubemast-entry jujubemast-sidecar jujubemast-ctl jujubemast-load \
    jujubemast-gateway; do
    complete -p "$program" >/dev/null || fail "$program has no completion"
    flags=$("$program" --help | grep -oE '^  --[a-z_]+' | tr -d ' ')
    [ "$(wc -l <<<"$flags")" -ge 4 ] || fail "$program lists too few flags"
    complete_words "$program" --
    for flag in $flags; do
        offers "$flag"
    done
    "$program" --version | grep -qxE "$program [0-9]+\.[0-9]+\.[0-9]+" || fail "$program --version"
    code=0
    text=$("$program" --versoin 2>&1) || code=$?
    [ "$code" -eq 2 ] || fail "$program ended with $code after an unknown flag"
    [[ $text == *"unknown flag --versoin; did you mean --version?"* ]] || fail "no hint: $text"
done

# Every command in the help text can be completed word by word.
commands=$(jujubemast-ctl --help | sed -nE '/^Commands:/,/^$/ s/^  ([a-z-]+( [a-z-]+)?) .*/\1/p')
[ "$(wc -l <<<"$commands")" -ge 10 ] || fail "too few commands: $commands"
while read -r first second; do
    complete_words jujubemast-ctl ""
    offers "$first"
    if [ -n "$second" ]; then
        complete_words jujubemast-ctl --output = json "$first" ""
        offers "$second"
    fi
done <<<"$commands"
complete_words jujubemast-ctl --output = j
offers json
complete_words jujubemast-ctl ticket create "$source_dir/examples/first-t"
offers "$source_dir/examples/first-ticket.yaml"
