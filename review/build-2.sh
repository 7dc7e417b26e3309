#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
objects=target/review-2/objects
mkdir -p "$objects"
includes=(-Iplatform/include)
for package in libs/*/include; do
    includes+=("-I$package")
done
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -pthread "${includes[@]}")
for number in 7 8 9; do
    g++ "${flags[@]}" "review/$number/case.cpp" review/standins-2/installation.cpp \
        -o "target/review-2/case-$number" target/platform/libquetzal_platform.a
done

# Case 6 uses the project's own stand-ins.
sources=(review/6/case.cpp platform/soak/rolling_stop_scenario.cpp)
for name in caller_link client documents_text directory_caller endpoint_standin engine_model \
    engine_standin exchange fleet fleet_drill fleet_engines log_lines oracle process_control \
    processor_quota report schedule store_standin stream_ends traffic_sheet; do
    sources+=("platform/soak/$name.cpp")
done
compile() {
    local source="$1" object
    shift
    object="target/review-2/objects/$(basename "$source" .cpp).o"
    g++ "$@" -c "$source" -o "$object"
}
export -f compile
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I '{}' bash -c 'compile "$@"' _ '{}' "${flags[@]}"
g++ -pthread "$objects"/*.o -o target/review-2/case-6 target/libs/net/libquetzal_net.a \
    target/libs/config/libquetzal_config.a target/libs/peer/libquetzal_peer.a \
    target/libs/base/libquetzal_base.a -lssl -lcrypto
