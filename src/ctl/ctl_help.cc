#include "ctl/ctl_options.h"

namespace rosemaryreach {

const char* const kHelpText = R"(NAME
  rosemaryreachctl - prepare patches and inspect running instances

SYNOPSIS
  rosemaryreachctl [OPTION]... COMMAND [ARGUMENT]...

CONFIGURATION
  config check FILE       check a configuration against schema and rules
  config show             print the configuration in force at an instance
  snapshot new DIR SEQUENCE FILE
                          write FILE as snapshot SEQUENCE of the log in DIR
  log check DIR           print the verdict on every entry of the log in DIR

PATCHES
  The base configuration comes from --config FILE, from --log DIR, or from
  the first instance that responds. A patch is written to standard output.
  patch new zone-out DATA_CENTRE
  patch new zone-in DATA_CENTRE
  patch new drain SERVICE TARGET
  patch new undrain SERVICE TARGET
  patch new add-target SERVICE TARGET ADDRESS DATA_CENTRE
                          with --weight, --slots and --probe
  patch new remove-target SERVICE TARGET
  patch new share SERVICE PERCENT
                          share of new work taken from the legacy next hop
  patch check FILE        print the verdict that every instance will reach;
                          with --base N, also require that N is in force
  patch diff FROM TO      print the patch from one configuration to another

INSTANCES
  status                  number, digest, readiness, peers, data centres
  verdicts                the latest verdicts on published entries
  targets                 targets, their state, and whether they get new work
  flows explain [SERVICE PROTOCOL] SOURCE DESTINATION
                          where a packet goes, by which rule and owner
  requests explain SERVICE METHOD PATH
                          where a request goes; with --caller and --key
  metrics                 metrics in Prometheus text
  wait --number N         wait until every responding instance has number N

OPTIONS
  -a, --admin ADDR:PORT   admin endpoint, repeatable; default 127.0.0.1:7200
      --token-file FILE   file with the admin token, mode 0600
  -t, --timeout MS        total time to wait; default 5000
  -j, --json              print one JSON document
  -c, --config FILE       configuration file
  -l, --log DIR           directory with the platform's documents
  -b, --base N            number that must be in force for patch check
  -n, --number N          configuration number to wait for
      --author TEXT       who made the patch and why
      --weight N          weight of a new target; default 100
      --slots N           slots of a new target; default 1
      --probe ADDR:PORT   probe endpoint of a new target
      --caller TEXT       caller of the request to explain
      --key TEXT          idempotency key of the request to explain
  -V, --version           print the version
  -h, --help              print this text

EXIT STATUS
  0  done: accepted, ready, or in force everywhere
  1  failure: refused, not found, no answer, or timeout
  2  invalid command line, or a file can't be read

EXAMPLES
  Take a data centre out, check, publish, and wait:
    rosemaryreachctl --author "rack work" patch new zone-out almaty-b > p.json
    rosemaryreachctl patch check p.json
    (publish p.json as the next entry of the platform's log)
    rosemaryreachctl -a 10.0.0.1:7200 -a 10.0.0.2:7200 wait --number 12
)";

}  // namespace rosemaryreach
