// Messages between nodes. Times are in milliseconds unless the name has another unit.

struct Call {
  1: string service_name
  2: string route
  3: string method
  4: string path
  5: list<string> headers     // names and values alternating
  6: binary body
  7: string organisation
  8: i32 priority             // importance and cohort; 0 is shed last
  9: i32 remaining_ms         // until the deadline
  10: i32 allowance           // retries left for this call and those below it
  11: string request_id
  12: string idempotency_key  // empty if none
  13: i32 depth
  14: bool home               // sent to the receiver as home of the idempotency key
  15: bool idempotent
}

struct Reply {
  1: i32 outcome              // 0 answered, 1 not run, 2 unknown
  2: i32 status
  3: list<string> headers
  4: binary body
  5: string reason            // problem type, empty if answered
  6: i32 retry_after_ms
  7: i32 allowance            // retries left
  8: i32 level                // the gate admits priorities below this
  9: bool deeper              // the failure occurred downstream
  10: i32 load_permille       // load of the gate relative to its limit
  11: i32 path_level          // like level, of the gates downstream
  12: i64 target_us           // time taken by the target, in microseconds
}

struct Advert {
  1: string node
  2: string incarnation
  3: i64 sequence
  4: string data_centre
  5: string service_name           // empty if there is no target
  6: string target
  7: string state             // ready, leaving, gone
  8: i32 slots
}

struct Gossip {
  1: string node
  2: i64 offset
  3: list<Advert> adverts
  4: list<string> withdrawn   // ids of keys withdrawn directly at a node
  5: map<string, string> digests  // digests of the adverts, by data centre
  6: bool answer              // whether a Gossip is expected in return
}

struct NewsAsk {
  1: i64 after
}

struct News {
  1: list<i64> offsets
  2: list<i64> times_ms
  3: list<binary> records
  4: string image             // full state, if the records do not reach back to after
  5: i64 age_ms               // since the log was last read to its head, -1 if never
  6: i64 offset               // newest offset applied by the sender
}

struct LoanAsk {
  1: string service_name
  2: string organisation
  3: string loan
  4: double rate_per_s
  5: double burst
}

struct LoanGrant {
  1: string loan
  2: double rate_per_s
  3: double burst
  4: double tokens
}

struct LoanReturn {
  1: string loan
  2: double tokens
}

struct Envelope {
  1: i64 sequence
  2: bool response
  3: optional Call call
  4: optional Reply reply
  5: optional bool cancel
  6: optional Gossip gossip
  7: optional NewsAsk news_ask
  8: optional News news
  9: optional LoanAsk loan_ask
  10: optional LoanGrant loan_grant
  11: optional LoanReturn loan_return
}
