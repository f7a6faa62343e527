#!/bin/sh
# Builds the stand-ins of review/lab with the cases and the changes of standin/cases/lab, and the program with one
# change: it announces to its peers the address in REVIEW_ANNOUNCE, so that a relay can stand before it. The build of
# the deploy file comes first.
set -e
cd "$(dirname "$0")/../.."
d=$(mktemp -d)
trap 'rm -rf "$d"' EXIT

mkdir "$d/lab"
cp review/lab/*.go "$d/lab"
(cd "$d/lab" && git apply -p3 "$OLDPWD/standin/cases/lab/review-lab.patch")
cp standin/cases/lab/*.go "$d/lab"
for f in "$d"/lab/*.go; do
	printf '%s"%s/review/lab/%s":"%s"' "${sep:-}" "$PWD" "$(basename "$f")" "$f"
	sep=,
done >"$d/files"
printf '{"Replace":{%s}}' "$(cat "$d/files")" >"$d/lab.json"
go vet -tags caselab -overlay "$d/lab.json" ./review/lab
go build -tags caselab -overlay "$d/lab.json" -o target/review-lab ./review/lab

sed 's/Addr: s\.PeerAddr/Addr: announced(s.PeerAddr)/' cmd/cornelwall/dispatch.go >"$d/dispatch.go"
cat >>"$d/dispatch.go" <<'GO'

func announced(own netip.AddrPort) netip.AddrPort {
	if a, err := netip.ParseAddrPort(os.Getenv("REVIEW_ANNOUNCE")); err == nil {
		return a
	}
	return own
}
GO
printf '{"Replace":{"%s/cmd/cornelwall/dispatch.go":"%s/dispatch.go"}}' "$PWD" "$d" >"$d/overlay.json"
go build -overlay "$d/overlay.json" -ldflags=-linkmode=external -o target/review-cornelwall ./cmd/cornelwall
