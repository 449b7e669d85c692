#!/usr/bin/env bash
# Installs the build and test dependencies from Debian's packages (needs root).
set -euo pipefail
apt-get update -qq
apt-get install -y -qq --no-install-recommends \
    g++ cmake ninja-build pkg-config clang-format clang-tidy extra-cmake-modules \
    libace-dev libjsonrpccpp-dev libjsoncpp-dev libboost-dev libboost-program-options-dev libboost-test-dev \
    liblog4cplus-dev libmicrohttpd-dev libcurl4-openssl-dev librapidcheck-dev libssl-dev libxxhash-dev libinih-dev zlib1g-dev libhttp-parser-dev libmsgpack-cxx-dev curl \
    > /dev/null
