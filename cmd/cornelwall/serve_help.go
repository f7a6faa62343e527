package main

const serveHelp = `Runs an entry until SIGTERM or SIGINT, then makes a planned stop: it refuses new jobs
as not run, finishes those that it has, hands their outcomes to another entry and ends.
Logs go to stderr, one line of key=value pairs for each event. The callers' listener also
serves /healthz and /readyz, the operators' listener /metrics.

Every flag can be set by the environment variable in brackets; set --secret and --token
so or by a file, as others can read the flags of a process. All problems with the
settings are told at once, with exit code 2; "cornelwall check --settings FILE" tells
them without starting anything.

Examples:
  cornelwall serve --name ikeja-entry-0 --dc ikeja \
      --callers 10.1.0.5:7000 --peers 10.1.0.5:7001 --operators 10.1.0.5:7002 \
      --store http://10.0.0.1:2379 --store http://10.0.0.2:2379 --vms http://10.0.0.1/vms

`
