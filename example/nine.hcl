# Nine members, five of them voters, two leases that all want.
length = 45
voters = ["north-1", "north-2", "west-1", "west-2", "south-1"]

members {
  zone  = "north"
  count = 3
}
members {
  zone  = "west"
  count = 3
}
members {
  zone  = "south"
  count = 3
}

lease {
  name = "prober"
  term = 2
}
lease {
  name   = "drain"
  term   = 2
  places = 2
  step   = 0.3
}

# Seconds; each is asserted.
check {
  held_dead = 20
  known     = 30
  agree     = 45
  free      = 8
}
