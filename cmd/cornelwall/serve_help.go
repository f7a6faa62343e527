package main

const serveHelp = `Runs an entry until SIGTERM or SIGINT, then makes a planned stop: it refuses new jobs
as not run, finishes the jobs that it has accepted, hands their outcomes over to another
entry and exits. Logs are written to stderr as key=value pairs, one line per event. The
callers' listener also serves /healthz and /readyz, the operators' listener /metrics.

Every flag can also be set by the environment variable shown in brackets. Pass --secret
and --token by variable or by file, because other users can read the flags of a process.
All problems with the settings are reported at once, with exit code 2; "cornelwall check
--settings FILE" reports them without starting an entry.

Examples:
  cornelwall serve --name ikeja-entry-0 --dc ikeja \
      --callers 10.1.0.5:7000 --peers 10.1.0.5:7001 --operators 10.1.0.5:7002 \
      --store http://10.0.0.1:2379 --store http://10.0.0.2:2379 --vms http://10.0.0.1/vms

`
