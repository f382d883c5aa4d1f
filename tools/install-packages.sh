#!/usr/bin/env bash
# Installs every Debian package that building, checking and testing needs. Run as root on a fresh machine.
set -euo pipefail
packages=(
    g++ make cmake pkg-config ccache clang-format clang-tidy python3 dpkg-dev file
    libsigc++-3.0-dev libevent-dev libjsonrpccpp-dev libjsoncpp-dev rapidjson-dev
    libboost-dev libboost-test-dev libyaml-cpp-dev libgflags-dev libspdlog-dev
    librapidcheck-dev libtins-dev libsodium-dev liblwip-dev libmsgpack-cxx-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
