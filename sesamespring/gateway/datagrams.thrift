/* Datagrams between entry VMs on the platform. */
namespace py sesamespring.gateway.generated

/* What a target last stated about its limit. */
struct TargetLimit {
  1: required string target
  2: required i64 born_ms
  /* Requests per second from all VMs; absent where it names no limit any more. */
  3: optional double per_s
  4: required double age_s
}

/* One lifetime of a target. */
struct TargetLifetime {
  1: required string target
  2: required i64 born_ms
}

/* Which targets crashed while they ran requests that ask for the same. */
struct RequestCrashes {
  1: required string content
  2: required i32 clearances
  3: required list<TargetLifetime> crashed
  4: required i32 trials
  5: required i32 reservations
  /* Seconds since its last change. */
  6: required double age_s
}

struct Heartbeat {
  1: required string vm
  2: required string data_centre
  3: required i64 incarnation
  4: required i64 sequence
  5: required double cores
  6: required bool ready
  7: required bool leaving
  8: required bool store_reached
  9: required i64 operator_version
  10: required i64 targets_version
  /* 0 where the process takes no requests of callers. */
  11: required i32 callers_port
  /* Eras of the store to which the two versions belong; -1 if unknown. */
  12: optional i32 operator_era = -1
  13: optional i32 targets_era = -1
  14: optional list<TargetLimit> limits
  15: optional list<RequestCrashes> crash_records
  /* Services whose targets the VM does not reach over its own links. */
  16: optional list<string> unreachable_services
  /* Targets that state in their responses that they are leaving. */
  17: optional list<TargetLifetime> leaving_targets
  /* Whether it does not reach the targets of any service; field 16 is then empty. */
  18: optional bool reaches_no_target = false
  /* Which heartbeats of other VMs the VM has heard of, see routing/gossip.py; absent
     where the fleet is small, and in heartbeats that tell of news. */
  19: optional binary counters
  /* Number of VMs whose addresses the VM knows. */
  20: optional i32 vms_known
  /* Whether the VM passes heartbeats on, see fields 51 and 52. */
  50: optional bool passes_on
  /* Address of the VM that states this, where another VM has passed it on. */
  51: optional string origin
  /* Asks the receiver to pass it on to the VMs of its data centre. */
  52: optional bool pass_on
}

/* Asks a VM for the states of others of which it has told counters. */
struct StatesWanted {
  1: required list<i64> keys
}

/* The newest heartbeat of a VM, as another one knows it. */
struct MemberState {
  1: required Heartbeat heartbeat
  2: required string address
}

struct MemberStates {
  1: required list<MemberState> states
}

/* Names VMs to one that has just started. */
struct KnownVms {
  1: required list<string> addresses
}

/* Asks the VM that decides for a service for a slot; repeated until it is answered. */
struct SlotWanted {
  1: required i64 request
  2: required string service_name
  3: required string route
  4: required double goal_s
  5: required i32 priority
  6: required double due_in_s
  7: required double deadline_in_s
  8: required bool idempotent
  9: required i32 attempts_left
  10: required i32 round
  11: required list<string> tried
  12: required string data_centre
  /* Whether it has been sent to a target before. */
  13: optional bool extra
  /* Client account that sends it; absent without accounts. */
  14: optional string account
}

/* Says that a request waits in the queue. */
struct SlotQueued {
  1: required i64 request
  2: required i32 round
}

struct SlotGranted {
  1: required i64 request
  2: required i32 round
  3: required i64 attempt
  4: required string target
  5: required i64 born_ms
  6: required bool hedge
  7: required double expected_s
}

struct SlotRefused {
  1: required i64 request
  2: required i32 round
  3: required string reason
  4: required double retry_after_s
  5: required i32 waiting
  6: required double needed_s
  /* Reason that builds before the quotas do not know; it goes before field 3. */
  20: optional string newer_reason
}

/* Says how an attempt under a granted slot ended. */
struct SlotEnded {
  1: required i64 request
  2: required i64 attempt
  3: required string outcome
  4: required double taken_s
  5: optional i32 running
  6: optional i32 waiting
  7: optional i32 slots
  8: optional double slowdown
  9: optional double cold_left_s
  /* The response has begun: only the slot remains taken until the attempt ends. */
  20: optional bool responding
  /* Whether the cause lies with the VM, so that the end says nothing of the target. */
  25: optional bool blameless
}

/* Tells of crashes before the next heartbeat does. */
struct CrashRecords {
  1: required list<RequestCrashes> records
}

/* Says that a request wants no slot any more. */
struct SlotWithdrawn {
  1: required i64 request
}

/* What a VM asks for one account. */
struct TokenAsk {
  1: required string account
  /* Requests that wait for a token. */
  2: required i32 needed
  3: required i32 reserve
  /* Tokens given back. */
  4: required i32 returned
}

/* Asks the lender of accounts for tokens of their quotas. */
struct TokensWanted {
  1: required i64 epoch
  2: required i64 number
  /* Number of the latest ask whose answer was taken. */
  3: required i64 answered
  4: required list<TokenAsk> asks
}

struct TokenGift {
  1: required string account
  2: required i32 tokens
  3: required double due_in_s
}

/* Answers TokensWanted; accounts that the VM does not lend to are left out. */
struct TokensGiven {
  1: required i64 epoch
  2: required i64 number
  3: required list<TokenGift> gifts
}

/* Tells how far a roll-out has come; sent by the VM that decides for the service. */
struct RolloutPhase {
  1: required string service_name
  /* Version and time that the order names. */
  2: required string to_version
  3: required double duration_s
  /* Number of a routing.rollout.Phase. */
  4: required i32 phase
  /* Grows with each change of the phase. */
  5: required i32 step
}

/* Answers RolloutPhase. */
struct RolloutReport {
  1: required string service_name
  2: required string to_version
  /* Newest step that the VM has heard of, by which it chooses targets now. */
  3: required i32 step
  /* Attempts of the VM in progress at targets of other versions. */
  4: required i32 old_in_progress
}

union Datagram {
  1: Heartbeat heartbeat
  2: KnownVms known_vms
  3: SlotWanted slot_wanted
  4: SlotQueued slot_queued
  5: SlotGranted slot_granted
  6: SlotRefused slot_refused
  7: SlotEnded slot_ended
  8: SlotWithdrawn slot_withdrawn
  9: CrashRecords crash_records
  10: StatesWanted states_wanted
  11: MemberStates member_states
  30: TokensWanted tokens_wanted
  31: TokensGiven tokens_given
  20: RolloutPhase rollout_phase
  21: RolloutReport rollout_report
}
