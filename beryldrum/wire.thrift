// Messages between the nodes of the system. Times are milliseconds.

struct Call {
  1: string service_name
  2: string route
  3: string method
  4: string path
  5: list<string> headers     // names and values in turn
  6: binary body
  7: string organisation
  8: i32 priority             // importance and cohort, 0 is shed last
  9: i32 remaining_ms         // until the deadline
  10: i32 allowance           // retries that this call may spend
  11: string request_id
  12: string idempotency_key  // empty for none
  13: i32 depth
  14: bool home               // the receiver is asked as the home of the key
  15: bool idempotent
}

struct Reply {
  1: i32 outcome              // 0 answered, 1 not run, 2 unknown
  2: i32 status
  3: list<string> headers
  4: binary body
  5: string reason            // a problem type when not answered
  6: i32 retry_after_ms
  7: i32 allowance            // what is left
  8: i32 level                // the gate admits priorities below it
  9: bool deeper              // the failure lies further down
  10: i32 load_permille       // runs in flight against the limit
  11: i32 path_level          // likewise, of the gates further down
  12: i64 target_us           // the target's time, in microseconds
}

struct Advert {
  1: string node
  2: string incarnation
  3: i64 sequence
  4: string data_centre
  5: string service_name           // empty without a target
  6: string target
  7: string state             // ready, leaving, gone
  8: i32 slots
}

struct Gossip {
  1: string node
  2: i64 offset
  3: list<Advert> adverts
  4: list<string> withdrawn   // key ids withdrawn by operators directly
  5: map<string, string> digests  // of the adverts, by data centre
  6: bool answer              // wants a gossip in return
}

struct NewsAsk {
  1: i64 after
}

struct News {
  1: list<i64> offsets
  2: list<i64> times_ms
  3: list<binary> records
  4: string image             // the whole state, when records do not reach back
  5: i64 age_ms               // since the log was read to its head, -1 for never
  6: i64 offset               // that the sender has reached
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
