# Five members, three of them voters, two leases that all want; a stop, a cut and a crash.
length = 45
voters = ["north-1", "west-1", "south-1"]

members {
  zone  = "north"
  count = 2
}
members {
  zone  = "west"
  count = 2
}
members {
  zone  = "south"
  count = 1
}

lease {
  name = "prober"
  term = 2
}
lease {
  name   = "drain"
  term   = 1
  places = 2
  step   = 0.2
}

stop {
  at   = 5
  of   = "north-1"
  back = 11
}
cut {
  from    = 13
  to      = 18
  between = ["west-1", ""]
}
crash {
  at   = 20
  of   = "south-1"
  back = 22
}

# Seconds; each is asserted.
check {
  held_dead = 15
  known     = 30
  agree     = 45
  free      = 8
}
