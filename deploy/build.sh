#!/usr/bin/env bash
# Put the libraries and the product's packages under target/deps.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/deps
if [ ! -f target/deps/.installed ] || [ deploy/requirements.txt -nt target/deps/.installed ]; then
  python3 -m pip install -q --disable-pip-version-check --target target/deps --upgrade \
    -r deploy/requirements.txt
  touch target/deps/.installed
fi
# Packages that are the same stay in place: processes of another build may use them.
rm -rf target/next
mkdir -p target/next
for source in libs/*/src platform/src programs/beryl-host/src; do
  cp -r "$source/berylcleat" target/next/
done
find target/next -name __pycache__ -prune -exec rm -rf {} +
if ! diff -rq -x __pycache__ target/next/berylcleat target/deps/berylcleat > /dev/null 2>&1; then
  rm -rf target/deps/berylcleat
  mv target/next/berylcleat target/deps/berylcleat
fi
rm -rf target/next
