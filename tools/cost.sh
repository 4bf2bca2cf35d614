#!/bin/sh
# What one request costs a sidecar: processor time in its own code (user, by the system's count) and in the system's,
# in microseconds, and what it allocates, in bytes, over a steady open-loop load.
# sh tools/cost.sh RATE SECONDS JAR [JAR ...]: the jars in turn, three rounds, a line each.
# World, sidecar and load each on cores of their own (0-1, 2, 3-4). Build first: mvn -q package -DskipTests
set -eu
rate=$1 seconds=$2
shift 2
here=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
world= sidecar=
trap 'kill $world $sidecar 2>/dev/null || true; rm -r "$dir"' EXIT
tools="java -XX:+UseSerialGC -Xms512m -Xmx512m -Xmn400m -XX:+AlwaysPreTouch -jar $here/tools/target/martenlatch-tools.jar"
cat > "$dir/world.toml" <<END
endpoints = 4
zones = ["a"]
service = "constant 1"
slots = 256
queue = 256
discovery-port = 19100
END
cat > "$dir/config.json" <<END
{"name":"n0","listen":"127.0.0.1:19200","discovery":"127.0.0.1:19100","seed":"1",
"limits":{"cores":1.0,"memory_mb":192,"sockets":4096},"known":{"version":0,"full":true,"servers":[]},
"settings":{"azs":["a"],"models":["stand-in"],"replicas-of-me":1,"slot-no":0,"tier":0,"zone":0,
"membership-mode":"on_request","classes":[{"name":"look-up","effect":"repeatable","group":"all",
"hard-limit-ms":1000,"slo-ms":1000,"worth":1}],"limits":{"cancel":true,"dial-timeout-ms":1000,"idle-close-ms":15000,
"max-retry-after-ms":2000,"parallel-tries":true,"retry-after":true,"try-limit":3},"rules":{"cold-share":0.5,
"cold-ms":1000,"tip-multiple":3,"fall-ms":1000,"drain-grace-ms":500,"ask-within-ms":100}}}
END
cat > "$dir/load.toml" <<END
targets = ["127.0.0.1:19200"]
connections = 128
warm-seconds = 8
shapes = ["ramp 100 $rate 6", "constant $rate $((seconds + 2))"]
[[class]]
name = "look-up"
effect = "repeatable"
deadline-ms = 1000
END
# User time, system's time, and the kilobytes that young collections have cleared so far.
spent() {
    cut -d' ' -f14,15 "/proc/$1/stat" | awk -v hz="$(getconf CLK_TCK)" '{printf "%d %d ", $1 * 1000000 / hz, $2 * 1000000 / hz}'
    sed -n 's/.*DefNew: \([0-9]*\)K([0-9]*K)->\([0-9]*\)K.*/\1 \2/p' "$dir/gc.log" \
        | awk '{kb += $1 - last; last = $2} END {print kb + 0}'
}
taskset -c 0-1 $tools world "$dir/world.toml" > "$dir/world.log" 2>&1 &
world=$!
sleep 3
for round in 1 2 3; do
    for jar in "$@"; do
        GW_CONFIG=$dir/config.json taskset -c 2 java -XX:+UseSerialGC -Xmx64m -Xmn8m -Xss512k \
            -XX:MaxDirectMemorySize=24m -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m \
            -XX:TieredStopAtLevel=1 -XX:-UsePerfData "-Xlog:gc+heap=info:file=$dir/gc.log" -jar "$jar" serve > "$dir/sidecar.log" 2>&1 &
        sidecar=$!
        sleep 3
        taskset -c 3-4 $tools load "$dir/load.toml" > "$dir/load.log" 2>&1 &
        load=$!
        sleep 9
        before=$(spent $sidecar)
        sleep "$seconds"
        after=$(spent $sidecar)
        wait $load || true
        echo "$round $jar $(echo "$before $after $rate $seconds" | awk '{n = $7 * $8
            printf "%.1f us user, %.1f us system, %d bytes;", ($4 - $1) / n, ($5 - $2) / n, ($6 - $3) * 1024 / n}')" \
            "$(grep -A1 -m1 'look-up' "$dir/load.log" | tr -s ' ' | tr '\n' ' ')"
        kill $sidecar
        wait $sidecar 2>/dev/null || true
    done
done
