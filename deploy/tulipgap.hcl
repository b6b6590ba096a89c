# The product's own configuration: tulipgapd --settings deploy/tulipgap.hcl. What is left out is off.
# tulipgap config check deploy/tulipgap.hcl tells what is wrong. docs/recording.md explains each name.

trace {
  enabled      = false
  folder       = "/var/lib/tulipgap/trace"
  format       = 2
  seal_after   = "5s"
  rotate_size  = "64 MiB"
  rotate_after = "1h"
  keep_size    = "2 GiB"
}

admission {
  enabled    = false
  when_full  = "refuse"
  known_part = 0.5
}
