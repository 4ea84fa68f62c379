/* Messages between entry VMs; compile with thrift --gen py:package_prefix=... */
namespace py sesamespring.peers.generated

struct Hello {
  1: required string vm
  2: required string incarnation
  3: required string data_centre
  4: required binary nonce
  5: required string callers_host
  6: required i32 callers_port
  7: required string peers_host
  8: required i32 peers_port
}

struct Heartbeat {
  1: required i64 sequence
  2: required i64 configuration_version
  3: required string configuration_digest
  4: required i64 in_force_since_ms
  5: required bool platform_reachable
  6: required bool stopping
}

/* Asks the only VM that may send a key's request what became of it. */
struct KeyQuery {
  1: required i64 query_id
  2: required string key
  3: required string fingerprint
  4: required bool refuse_unseen
}

/* An empty state says that the key was never seen. */
struct KeyAnswer {
  1: required i64 query_id
  2: required string state
  3: optional i32 status
  4: optional string content_type
  5: optional binary body
}

/* What one configuration version changed; content is compressed JSON. */
struct ConfigurationChange {
  1: required i64 version
  2: required string digest
  3: required binary content
}

/* Consecutive versions. */
struct ConfigurationChanges {
  1: required list<ConfigurationChange> changes
}

/* Asks for all that follows a version. */
struct ConfigurationWanted {
  1: required i64 after_version
}

/* One piece of a whole configuration; content is a part of compressed JSON. */
struct SnapshotPiece {
  1: required i64 version
  2: required string digest
  3: required i32 piece
  4: required i32 pieces
  5: required binary content
}

/* Asks for what the peer knows of all entry VMs. */
struct KnownVmsWanted {
  1: required i32 limit
}

struct KnownVm {
  1: required string vm
  2: required string data_centre
  3: required i64 version
  4: required string digest
  5: required i64 in_force_since_ms
  6: required bool platform_reachable
  7: required i64 silent_ms
}

struct KnownVms {
  1: required list<KnownVm> vms
}

/* A VM whose word is needed; an empty incarnation is not known. */
struct SessionWitness {
  1: required string vm
  2: required string host
  3: required i32 port
  4: required string incarnation
}

/* Asks a witness not to release a session for a while; asked_s is echoed. */
struct PromiseWanted {
  1: required string session
  2: required i64 counter
  3: required double ttl_s
  4: required double asked_s
}

struct Promise {
  1: required string session
  2: required i64 counter
  3: required double asked_s
}

/* Asks a witness to let go of a session that lapsed at a renewal. */
struct ReleaseWanted {
  1: required string session
  2: required i64 counter
}

struct Release {
  1: required string session
  2: required i64 counter
}

/* The hold of a target is the receiver's; the sender has given it up. */
struct HoldHandover {
  1: required string service_name
  2: required string target_name
  3: required string session
  4: required i64 counter
  5: required double ttl_s
  6: required i64 epoch
  7: required i64 version
  8: required bool warm
  9: required i32 quorum
  10: required list<SessionWitness> witnesses
}

/* How many slots of a service the sender wants now. */
struct SlotsWantedFrame {
  1: required string service_name
  2: required i64 sequence
  3: required i32 count
  4: required double deadline_in_s
}

/* The receiver may send one request to the target now. */
struct SlotLentFrame {
  1: required string service_name
  2: required i64 loan_id
  3: required string target_name
  4: required i64 sequence
}

/* The lent slot is free again; no result says that it was not used. */
struct LoanReturnedFrame {
  1: required string service_name
  2: required i64 loan_id
  3: optional string result
  4: required double taken_s
}

/* One frame carries one message. */
union Message {
  1: Hello hello
  2: Heartbeat heartbeat
  20: SlotsWantedFrame slots_wanted
  21: SlotLentFrame slot_lent
  22: LoanReturnedFrame loan_returned
  50: PromiseWanted promise_wanted
  51: Promise promise
  52: ReleaseWanted release_wanted
  53: Release release
  54: HoldHandover hold_handover
  70: ConfigurationChanges configuration_changes
  71: ConfigurationWanted configuration_wanted
  72: SnapshotPiece snapshot_piece
  73: KnownVmsWanted known_vms_wanted
  74: KnownVms known_vms
  90: KeyQuery key_query
  91: KeyAnswer key_answer
}
