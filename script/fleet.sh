# Functions for other scripts, which source this file. They start stand-ins and instances on the loopback interface, on
# ports chosen by the operating system. All started processes are stopped at exit.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
go build -o bin/ ./cmd/rhubarbwick ./cmd/rhubarbwick-standin
proxy=$PWD/bin/rhubarbwick
standin=$PWD/bin/rhubarbwick-standin
work=$(mktemp -d)
pids=()
key=demo-key-for-clinic
password=demo-operator

stop() {
	[ ${#pids[@]} -gt 0 ] && kill "${pids[@]}" 2>/dev/null
	wait 2>/dev/null
	rm -rf "$work"
}
trap stop EXIT

# start NAME COMMAND… runs a process in the background and waits until it prints its addresses.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids+=($!)
	for _ in $(seq 200); do
		grep -qs "listens on" "$work/$name.out" && return
		sleep 0.05
	done
	echo "$name did not print its addresses within 10 s:" >&2
	cat "$work/$name.log" >&2
	exit 1
}

# stand_in NAME prints the address on which a stand-in listens.
stand_in() { sed -n '1s/.*listens on \([0-9.:]*\).*/\1/p' "$work/$1.out"; }

# socket NAME USERS prints the address of an instance for USERS, which is callers, instances or operators.
socket() { sed -n "1s/.* \([0-9.:]*\) for $2.*/\1/p" "$work/$1.out"; }

# request METHOD URL PATH BODY sends an HTTP request and fails unless the status code is 2xx.
request() {
	local host=${2#http://} status
	exec 3<>"/dev/tcp/${host%:*}/${host#*:}"
	printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' "$1" "$3" "$host" "${#4}" "$4" >&3
	read -r _ status _ <&3
	exec 3>&-
	[ "${status:0:1}" = 2 ]
}

# wait_ready URL waits until the instance is ready to accept clients.
wait_ready() {
	for _ in $(seq 200); do
		request GET "$1" /ready "" && return
		sleep 0.05
	done
	echo "$1 was not ready after 200 attempts:" >&2
	cat "$work"/*.log >&2
	exit 1
}

hash() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# write_settings NAME STORE writes the settings file of an instance and prints its path.
write_settings() {
	cat >"$work/$1.ini" <<INI
[instance]
data_centre = kigali-1
caller_listen = 127.0.0.1:0
peer_listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
[platform]
store_url = $2
[servers]
user = system
password = system
[session]
token_secret = demo-secret-of-at-least-thirty-two-bytes
[console]
password_sha256 = $(hash "$password")
INI
	echo "$work/$1.ini"
}

# start_platform starts the stand-in platform and sets the variable store to its URL.
start_platform() {
	start platform "$standin" platform
	store=http://$(stand_in platform)
}

# start_servers GROUP starts three stand-in servers and sets the variable servers to their JSON in the document.
start_servers() {
	servers=""
	local name
	for name in a b c; do
		start "$1-$name" "$standin" server --name "$name"
		servers+="${servers:+,}{\"name\":\"$name\",\"address\":\"$(stand_in "$1-$name")\",\"data_centre\":\"kigali-1\",\"connections\":50,\"departing\":false}"
	done
}

# start_instances NAME… starts entry instances and registers them in the platform's list.
start_instances() {
	local name list=""
	for name in "$@"; do
		start "$name" "$proxy" serve --settings "$(write_settings "$name" "$store")" --incarnation "demo-$name"
		list+="${list:+,}{\"id\":\"demo-$name\",\"address\":\"$(socket "$name" instances)\",\"data_centre\":\"kigali-1\",\"state\":\"live\"}"
	done
	request PUT "$store" /admin/instances "[$list]"
	export RHUBARBWICK_PASSWORD=$password
	export RHUBARBWICK_INSTANCE=http://$(socket "$1" operators)
}
