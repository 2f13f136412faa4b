#!/usr/bin/env bash
# One sidecar is stopped as planned, and another one is killed meanwhile. See claim.txt.
CREW="a1 b1 c1 a2 b2 c2 a3 b3"
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt # what was sent, answered and run, and the verdict
echo "case 3, TROUBLE=${TROUBLE:-1}, $(date -u +%FT%TZ)" >"$CASE/record.txt"
source "$CASE/../lib.sh"
WINDOW=5000 DEADLINE=3000 AIM=800
write_list 1 SERVING SERVING
background endpoints "$STANDIN" endpoints --listen "e-1=$(at 31),e-2=$(at 32)" --window 5s --work 100ms --room 8
start_crew
note "the crew is whole; TROUBLE=$TROUBLE"

# The sidecar that is killed is b2, no keeper; the orders' keys are in its part.
KILLED=4 STOPPED=3
keys="" found=0
for i in $(seq 300); do
	primary=$("$ROOT/bin/heathgap" holdings show "k$i" --class order --operator "$DIR/a1/operator.toml" | awk 'NR == 3 {print $1}')
	[ "$primary" = "${NAMES[$KILLED]}" ] || continue
	keys+=${keys:+,}k$i
	found=$((found + 1))
	[ "$found" = 4 ] && break
done
[ "$found" = 4 ] || cannot "no keys of ${NAMES[$KILLED]}"
background late "$STANDIN" late --to "$(at "$STOPPED")" --keys "$keys" --after 3200ms --patience 3s
CLIENTS=$LAST
sleep 1
note "SIGTERM to ${NAMES[$STOPPED]}; its longest deadline is 3 s"
kill -TERM "${SIDECAR[$STOPPED]}"
sleep 1.9
if [ "$TROUBLE" != 0 ]; then
	note "${NAMES[$KILLED]} is killed outright: two of ${#NAMES[@]} restarted (the pages: up to 25% at a time)"
	kill -KILL "${SIDECAR[$KILLED]}"
fi
sleep 2.1
note "SIGKILL to ${NAMES[$STOPPED]}, 4.0 s after SIGTERM, if it is still there (the pages: 3.7 s at the soonest)"
kill -KILL "${SIDECAR[$STOPPED]}" 2>/dev/null
wait "$CLIENTS" || cannot "the clients could not place their first orders"
gather
{
	echo "--- the log of ${NAMES[$STOPPED]} from SIGTERM on"
	sed -n '/signal to stop/,$p' "$DIR/${NAMES[$STOPPED]}.log"
} >>"$RECORD"
[ "$(grep -c 'key=k[0-9]*: order written' "$DIR/late.out")" = 4 ] || cannot "not all orders were written"
lost=$(grep -c 'NO ANSWER' "$DIR/late.out")
if [ "$lost" != 0 ]; then
	note "BROKEN: $lost of 4 orders got no answer"
	tail -1 "$RECORD"
	exit 1
fi
note "held: each order got an answer"
tail -1 "$RECORD"
