#!/bin/sh
# Installs the compiler, tools and libraries required by the build and the tests.
set -e
packages="g++ cmake make clang-format clang-tidy python3 pkg-config libpoco-dev libwebsocketpp-dev
 nlohmann-json3-dev libboost-dev libcxxopts-dev libspdlog-dev libfmt-dev catch2 librapidcheck-dev
 libcoap3-dev libxxhash-dev libopentracing-dev libcbor-dev"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing
