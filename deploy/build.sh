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
rm -rf target/deps/berylcleat
for source in libs/*/src platform/src programs/beryl-host/src; do
  cp -r "$source/berylcleat" target/deps/
done
