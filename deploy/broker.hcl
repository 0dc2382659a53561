# One broker of two, as an example. `stepknot check deploy/broker.hcl` tells what is wrong; docs/operators/broker.md
# explains each key. Times are "250ms", "2s" or numbers of seconds, sizes "64kb" or bytes.
name      = "reports"
zone      = "a"
listen    = "127.0.0.1:9200"
instances = 2

fleet {
  cells          = 4
  reach          = 1
  parts_per_call = 16
  list           = "boxes.json"
  list_every     = "100ms"
}

rules {
  drain_grace   = "1s"
  cold_share    = 0.2
  cold_time     = "18s"
  fall_multiple = 4
  fall_time     = "1s"
  extra_window  = "10s"
  extra_floor   = 20
  extra_share   = 0.2
}

limits {
  max_attempts    = 3
  max_retry_after = "2s"
  idle_connection = "10s"
}

# A search over all shards may be answered in part; its hits are fetched in a second step.
class "search" {
  aim           = "1.0s"
  deadline      = "3.0s"
  worth         = 3
  late_value    = 0.1
  floor         = 0.7
  partial_value = 0.9
  steps         = 2
  operations    = ["search", "count"]
}

class "lookup" {
  aim        = "1.0s"
  deadline   = "3.0s"
  operations = ["get", "mget"]
}

# A router's batch of entities may be answered in part: each that is missing says so in its own place.
class "entities" {
  aim           = "1.0s"
  deadline      = "3.0s"
  floor         = 0.5
  partial_value = 0.8
  operations    = ["entities"]
}

# A repeat of what names its document is dropped by the boxes for a while.
class "store" {
  aim           = "1.0s"
  deadline      = "3.0s"
  effect        = "keyed"
  repeat_window = "3.0s"
  operations    = ["index", "delete", "bulk"]
}

class "edit" {
  aim        = "1.0s"
  deadline   = "3.0s"
  effect     = "unsafe"
  operations = ["create", "update"]
}

# Who gets in when not all can. Without this block every connection is taken.
admission {
  per_address = 64
  rate        = 50
  reserve     = 0.2
  listed      = ["10.0.0.0/8"]
  state       = "admission.state"
  # SHA-256 of an API key, of the word "secret" here: printf %s KEY | sha256sum
  key "operators" {
    sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
  }
}

index "reports" {
  shards = 12
  field "title" {
    type = "text"
  }
  field "body" {
    type = "text"
  }
  field "game" {
    type = "keyword"
  }
  field "club" {
    type = "keyword"
  }
  field "player" {
    type = "keyword"
  }
  field "rating" {
    type = "integer"
  }
  field "moves" {
    type = "integer"
  }
  field "played" {
    type = "date"
  }
  field "ranked" {
    type = "boolean"
  }
}

# The second front: a subgraph of a federated graph, on the same core. Its schema: `stepknot schema`.
graphql {
  listen = "127.0.0.1:9300"
  type "Report" {
    index  = "reports"
    keys   = ["id", "player played"]
    writes = true
    reference "home" {
      entity = "Club"
      from   = { name = "club" }
    }
  }
  # Another subgraph owns clubs; this one adds what it knows of each.
  entity "Club" {
    index = "reports"
    keys  = ["name"]
    field "name" {
      from = "club"
    }
    field "founded" {
      type     = "date"
      external = true
    }
    count "reportCount" {}
    count "reportsSinceFounded" {
      at_least = { played = "founded" }
    }
    metric "bestRating" {
      kind  = "max"
      field = "rating"
    }
  }
}
