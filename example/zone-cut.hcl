# Nine members in three zones; one zone is cut off for ten seconds while a member of another dies and comes back.
length = 120

members {
  zone   = "north"
  region = "coast"
  count  = 3
}
members {
  zone   = "west"
  region = "coast"
  count  = 3
}
members {
  zone   = "south"
  region = "inland"
  count  = 3
}

cut {
  from    = 20
  to      = 30
  between = ["north", "west"]
}
cut {
  from    = 20
  to      = 30
  between = ["north", "south"]
}
crash {
  at   = 22
  of   = "south-2"
  back = 50
}

# Seconds; each is asserted.
check {
  held_dead = 15
  known     = 30
  agree     = 45
}
