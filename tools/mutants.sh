# For scripts that take guards out of decisions, one at a time, and run the tests that have to
# fail: source it, call `begin FILE...` with the files that are changed, then `mutate` for each.
# Works on a copy; nothing here changes.

begin() {
    copy=$(mktemp -d)
    files=("$@")
    # What was built last is a mutant: have it built anew.
    trap 'rm -rf "$copy"; touch "${files[@]}"' EXIT
    cp -r Cargo.toml Cargo.lock crates docs src tests examples "$copy"
    export CARGO_TARGET_DIR="${CARGO_TARGET_DIR:-$PWD/target}"
}

# mutate WHAT FILE FROM TO TEST...
mutate() {
    local what=$1 file=$2 from=$3 to=$4
    shift 4
    if ! grep -qF -- "$(head -n 1 <<<"$from")" "$file"; then
        echo "$what: NOT APPLICABLE, the line has changed"
        return
    fi
    FROM=$from TO=$to perl -0pe 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$file" >"$copy/$file"
    if cmp -s "$file" "$copy/$file"; then
        echo "$what: NOT APPLICABLE, the lines have changed"
    elif (cd "$copy" && cargo test --quiet --test testsuite -- "$@" >"$copy/log" 2>&1); then
        echo "$what: MISSED"
    elif grep -q "could not compile" "$copy/log"; then
        echo "$what: DOES NOT COMPILE"
        tail -5 "$copy/log"
    else
        echo "$what: caught by $(sed -n 's/^    \([a-z_]*::[a-z_:]*\)$/\1/p' "$copy/log" | sort -u | tr '\n' ' ')"
    fi
    cp "$file" "$copy/$file"
}
