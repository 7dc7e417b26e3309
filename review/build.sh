#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/bin. Needs the build of the deploy file (target/),
# whose libraries it links, and no further package. Usage: review/build.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -pthread -Wall -Wextra -Wno-mismatched-new-delete -Iplatform/include)
for package in base config peer telemetry serving net gateway; do
    flags+=("-Ilibs/$package/include")
done
jobs=()
for source in platform/soak/{client,documents_text,endpoint_standin,exchange,fleet,oracle,process_control,store_standin}.cpp \
    review/[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    object="review/bin/$(basename "$source" .cpp).o"
    [ "$object" -nt "$source" ] && continue
    "${CXX:-g++}" "${flags[@]}" -c "$source" -o "$object" &
    jobs+=("$!")
    if [ "${#jobs[@]}" -ge 4 ]; then
        wait "${jobs[0]}"
        jobs=("${jobs[@]:1}")
    fi
done
for job in "${jobs[@]}"; do
    wait "$job"
done
libraries=(target/platform/libquetzal_platform.a)
for package in gateway net config peer telemetry serving base; do
    libraries+=("target/libs/$package/libquetzal_$package.a")
done
standins=(review/bin/{client,documents_text,endpoint_standin,exchange,fleet,oracle,process_control,store_standin}.o)
for source in review/[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    name="$(basename "$source" .cpp)"
    "${CXX:-g++}" -pthread "review/bin/$name.o" "${standins[@]}" -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
        -lssl -lcrypto -o "review/bin/$name"
done
echo "built: review/bin"
