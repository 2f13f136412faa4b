# Shared by the cases: starts sidecars and stand-ins, and ends each of them by its id. To be sourced from a case's run.sh, which has set
# CASE to its folder and RECORD to its record.txt.
set -uo pipefail
ROOT=$(cd "$CASE/../.." && pwd)
STANDIN=$ROOT/review/bin/standin
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d)
PIDS=()

cleanup() {
	local pid
	for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
	for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
	rm -rf "$DIR"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# cannot MESSAGE ends a case that could not run.
cannot() { note "could not run: $*"; exit 2; }

# note TEXT writes a line to the record.
note() { echo "$(date +%H:%M:%S.%3N) $*" >>"$RECORD"; }

# background NAME COMMAND... starts a process whose output goes to a file of that name, and sets LAST to its id.
background() {
	local name=$1
	shift
	"$@" >>"$DIR/$name.out" 2>>"$DIR/$name.log" &
	LAST=$!
	PIDS+=("$LAST")
}

[ -x "$STANDIN" ] && [ -x "$ROOT/bin/heathgap" ] && [ -x "$ROOT/bin/heathgap-crew" ] || { echo "run the build of deploy/balancer.toml and review/build.sh first" >&2; exit 2; }
mapfile -t PORTS < <("$STANDIN" ports 40)
[ "${#PORTS[@]}" = 40 ] || cannot "no free ports"
at() { echo "127.0.0.1:${PORTS[$1]}"; }

# The crew of a case: sidecars in three zones, of which the first three are keepers. The N-th listens at port N, its crew address is port
# 10+N, its console port 20+N. Discovery is at port 30, endpoints are at ports 31 and on.
NAMES=(${CREW:-a1 b1 c1})
SIDECAR=()

# write_list INDEX STATUS... writes discovery's list: endpoint e-N has the N-th status; "-" leaves it out.
write_list() {
	local index=$1 n=0 sep="" status
	shift
	{
		printf '{"index":%d,"snapshot":true,"endpoints":[' "$index"
		for status in "$@"; do
			n=$((n + 1))
			[ "$status" = - ] && continue
			printf '%s{"name":"e-%d","address":"%s","zone":"a","type":"m1","group":%d,"status":"%s","weight":1.0,"since_ms":0}' "$sep" $n "$(at $((30 + n)))" $n "$status"
			sep=,
		done
		printf ']}\n'
	} >"$DIR/list.new"
	mv "$DIR/list.new" "$DIR/list.json"
}

# write_sidecar N writes the two files of the N-th sidecar. WINDOW and DEADLINE are those of the class "order", in milliseconds; COPIES of
# its holdings, 0 for none.
write_sidecar() {
	local n=$1 name=${NAMES[$1]} i
	mkdir -p "$DIR/$name/data" "$DIR/$name/tmp"
	cat >"$DIR/$name/sidecar.json" <<-END
		{"name":"$name","listen":"$(at "$n")","discovery":"$(at 30)","console":"$(at $((20 + n)))","seed":"$((n + 1))",
		 "limits":{"cores":1.0,"memory_mb":${MEMORY:-192},"sockets":1024},
		 "known":$(cat "$DIR/list.json"),
		 "settings":{"me":$n,"replicas_of_me":${#NAMES[@]},"az":"${name:0:1}","tier":0,"stages":["one"],"tick":2.0,"membership_mode":"subscribe","over_share_worth":0.1,
		  "bounds":{"cancel":true,"retry_after":true,"max_retry_after":1000.0,"max_attempts":5,"connect_timeout":${CONNECT:-75}.0,"conn_idle":10000.0,"most_held":500},
		  "rules":{"answer_slack":50.0,"ask_every":5000.0,"cold":8900.0,"cold_from":0.3,"drain_grace":1000.0,"fall_multiple":3.0,"overload_for":3000.0},
		  "profiles":[
		   {"name":"look","effect":"repeatable","group":"all","aim":${AIM:-800}.0,"deadline":${DEADLINE:-2000}.0,"worth":1.0},
		   {"name":"order","effect":"by_key","group":"all","window":${WINDOW:-5000}.0,"aim":${AIM:-800}.0,"deadline":${DEADLINE:-2000}.0,"worth":3.0}]}}
	END
	{
		printf '[crew]\nname = "small"\naddress = "%s"\ndata = "%s"\n' "$(at $((10 + n)))" "$DIR/$name/data"
		for i in 0 1 2; do printf '[[crew.keeper]]\nname = "%s"\naddress = "%s"\n' "${NAMES[$i]}" "$(at $((10 + i)))"; done
		if [ "${COPIES:-2}" -gt 0 ]; then
			printf '[holdings]\ncopies = %d\n[[holdings.class]]\nname = "order"\n' "${COPIES:-2}"
		fi
	} >"$DIR/$name/operator.toml"
}

# start_sidecar N starts the N-th sidecar as the deploy file does, with its operator's file.
start_sidecar() {
	local name=${NAMES[$1]}
	background "$name" env -C "$ROOT" BALANCER_CONFIG="$DIR/$name/sidecar.json" TMPDIR="$DIR/$name/tmp" \
		/bin/sh -c "exec bin/heathgap serve --operator $DIR/$name/operator.toml"
	SIDECAR[$1]=$LAST
}

# whole FILE reports whether a status says that all shards have all their copies, and that all sidecars are in.
whole() { grep -q '"whole": 64' "$1" && grep -q '"filling": 0' "$1" && [ "$(grep -cE '"[abc][0-9]": [1-9]' "$1")" = ${#NAMES[@]} ]; }

# start_crew starts all of them, and waits until they serve and all shards have all their copies.
start_crew() {
	local n
	background discovery "$STANDIN" discovery --listen "$(at 30)" --list "$DIR/list.json"
	for n in "${!NAMES[@]}"; do write_sidecar "$n"; done
	for n in "${!NAMES[@]}"; do start_sidecar "$n"; done
	"$STANDIN" wait $(for n in "${!NAMES[@]}"; do at "$n"; done) || cannot "the sidecars do not get ready"
	[ "${COPIES:-2}" -gt 0 ] || return 0
	for n in $(seq 100); do
		"$ROOT/bin/heathgap" holdings status --operator "$DIR/a1/operator.toml" --json >"$DIR/status" 2>&1 && whole "$DIR/status" && return 0
		sleep 0.2
	done
	cannot "the copies do not get whole: $(cat "$DIR/status")"
}

# gather appends what the stand-ins and the sidecars' logs of warnings say to the record, in the order of time where they have one.
gather() {
	{
		echo "--- sent, answered and run"
		cat "$DIR"/{orders,send,late,again,endpoints}.out 2>/dev/null | sort
		echo "--- warnings of the sidecars"
		local name
		for name in "${NAMES[@]}"; do
			[ -e "$DIR/$name.log" ] && sed "s/^/$name: /" "$DIR/$name.log" | grep -E 'rules in force|refused|"level":"(warn|error)"' | head -40
		done
	} >>"$RECORD"
}
