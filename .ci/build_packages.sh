#!/usr/bin/env bash
# Runs the build that deploy/system.toml names in a fresh clone of the last
# commit, without its tests, as an unprivileged user, without the caller's
# environment. Every file that it opens and every program that it runs must come
# from a listed package, from one that apt installs with the listed ones, or from
# a required package of Debian. It must open no network socket and write nothing
# outside target/. A listed package that nothing needs is an error too.
#   .ci/build_packages.sh [FILE]   writes "PACKAGE FILE" of all that was used to FILE
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d /tmp/shallotport-build.XXXXXX)
trap 'rm -rf "$work"' EXIT
clone=$work/clone
settings=$clone/deploy/system.toml
red=0
report() { printf 'build_packages: %s\n' "$*" >&2; red=1; }

# Traces the build to $work/trace.
run_build() {
  local build as=() seconds=$SECONDS
  build=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$settings")
  mkdir "$work/home"
  if [ "$(id -u)" = 0 ]; then
    chown -R 65534:65534 "$work"
    as=(setpriv --reuid=65534 --regid=65534 --clear-groups)
  fi
  touch "$work/start"
  (cd "$clone" && "${as[@]}" strace -f -z -y --seccomp-bpf -e trace=execve,open,openat,openat2,socket -o "$work/trace" \
    env -i PATH=/usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin HOME="$work/home" LC_ALL=C \
    sh -c "$build" >"$work/log" 2>&1) || { tail -n 20 "$work/log" >&2; report "the build fails"; exit 1; }
  echo "built in $((SECONDS - seconds)) s"
}

# Prints "NAME RESOLVED" of each file outside the clone that the build opened or
# ran. Both count: a link and its target may be of different packages.
files_used() {
  sed -nE -e 's/^[0-9]+ +execve\("(\/[^"]*)".* = 0$/\1/p' \
    -e 's/^[0-9]+ +open[a-z0-9]*\((AT_FDCWD<[^>]*>, )?"([^"]*)".* = [0-9]+<([^>]*)>$/\2 \3/p' "$work/trace" | sort -u |
    grep -vE "(^| )($work|/tmp|/proc|/dev|/sys)/[^ ]*$" |
    while read -r name resolved; do
      [ -n "$resolved" ] || resolved=$(realpath -m "$name")
      case $name in
        *..*) name=$(realpath -sm "/$name") ;;
        /*) ;;
        *) name=$resolved ;;
      esac
      [ -d "$resolved" ] || echo "$name $resolved"
    done | sort -u >"$work/opened"
  grep -vxFf <(optional_files) "$work/opened" || true
}

# Prints those of the opened files that the build does without: lists of places,
# locales and caches, which tools read wherever there are some, and LLVM's linker
# plug-in with its libraries, which binutils loads wherever it finds it.
optional_files() {
  local plugin
  grep -E ' (/etc/ld\.so\.cache|/etc/ld\.so\.conf\.d/[^ ]*|/etc/locale\.alias|/usr/lib/[^ ]*/gconv/gconv-modules\.cache)$' "$work/opened"
  plugin=$(sed -nE 's,^/usr/lib/bfd-plugins/[^ ]* (/usr/lib/llvm-[^ ]*)$,\1,p' "$work/opened")
  [ -z "$plugin" ] ||
    grep -Ff <(echo "$plugin"; ldd "$plugin" | sed -nE 's/^\s*([^ ]+) => .*/\/\1 /p') "$work/opened"
}

# Prints "PACKAGE FILE" of each of the files on standard input that has one.
# Packages may list a file below / that is now below /usr.
owners() {
  sed -E 'p; s,^/usr(/(bin|sbin|lib|lib64)/),\1,; t; s,^/(bin|sbin|lib|lib64)/,/usr&,' | sort -u |
    { xargs -r dpkg-query -S 2>/dev/null || true; } |
    sed -nE '/^diversion /d; s/^([^:, ]+)(:[a-z0-9]+)?(, .*)?: (\/.*)$/\1 \4/p'
}

# Prints what a machine with the required packages of Debian holds after an
# installation of the named ones.
installed_with() {
  local required
  mapfile -t required < <(dpkg-query -W -f='${Package} ${Priority} ${Essential}\n' |
    awk '$2 == "required" || $3 == "yes" { print $1 }')
  apt-get -s -q -o Dir::State::status=/dev/null --no-install-recommends install "${required[@]}" "$@" >"$work/apt" 2>&1 ||
    { cat "$work/apt" >&2; return 1; }
  sed -n 's/^Inst \([^ ]*\) .*/\1/p' "$work/apt" | sort -u
}

if ! apt-cache -o Dir::State::status=/dev/null show g++ >/dev/null 2>&1; then
  [ "$(id -u)" = 0 ] || { report "no package lists: run apt-get update"; exit 1; }
  apt-get update -q >/dev/null
fi
git clone -q --no-hardlinks . "$clone"
git -C "$clone" rm -rq -- 'tests/*' '*/tests/*' '*_test.cc' '*_test_util.h'
mapfile -t listed < <(sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$settings" | tr -d '" ' | tr ',' '\n')
[ "${#listed[@]}" -gt 0 ] || { report "deploy/system.toml lists no packages"; exit 1; }
run_build
files_used >"$work/files"
tr ' ' '\n' <"$work/files" | sort -u | owners | sort -u >"$work/owned"
cut -d' ' -f1 "$work/owned" | sort -u >"$work/used"
[ "$#" = 0 ] || cp "$work/owned" "$1"
installed_with >"$work/required"
installed_with "${listed[@]}" >"$work/installed"
awk '{ count[$1]++ } END { for (package in count) printf "%6d files of %s\n", count[package], package }' "$work/owned" | sort -rn

while read -r package; do
  report "the build uses $package, which is not listed: $(awk -v package="$package" '$1 == package { print $2; exit }' "$work/owned")"
done < <(comm -23 "$work/used" "$work/installed")

while read -r file; do
  report "the build uses $file, which is of no package"
done < <(awk 'NR == FNR { owned[$2]; sub("^/usr", "", $2); owned[$2]; next }
  { name = $1; resolved = $2; sub("^/usr", "", name); sub("^/usr", "", resolved) }
  !(name in owned) && !(resolved in owned)' "$work/owned" "$work/files")

grep -m 3 -E ' socket\(AF_INET' "$work/trace" >&2 && report "the build opens network sockets"
stray=$(find "$clone" "$work/home" -newer "$work/start" -type f -not -path "$clone/target/*" -print -quit)
[ -z "$stray" ] || report "the build writes outside target/: $stray"

# What the build would miss without each of the packages.
for package in "${listed[@]}"; do
  mapfile -t others < <(printf '%s\n' "${listed[@]}" | grep -vxF "$package")
  missing=$(comm -23 "$work/used" <(installed_with "${others[@]}") | paste -sd' ')
  if [ -n "$missing" ]; then
    echo "without $package: red, no $missing"
  elif comm -12 "$work/used" <(installed_with "$package" | comm -23 - "$work/required") | grep -q .; then
    echo "without $package: others bring what it brings"
  else
    report "$package is listed, but the build uses nothing of it"
  fi
done
exit "$red"
