// Messages exchanged by the membership reducers of two nodes.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/membership/member.h"

namespace amaranthlatch::membership {

// Sum of the record hashes of each zone. Equal sums indicate equal records.
using ZoneDigests = std::map<std::string, std::uint64_t>;

// Checks that the receiver is alive and carries the sender's digests.
struct Probe {
  std::uint64_t sequence = 0;
  ZoneDigests digests;
  bool operator==(const Probe&) const = default;
};

// Acknowledges the probe with the same sequence number.
struct ProbeAck {
  std::uint64_t sequence = 0;
  ZoneDigests digests;
  bool operator==(const ProbeAck&) const = default;
};

// Asks the receiver to probe `target` and to relay its acknowledgement under `sequence`.
struct IndirectProbe {
  std::uint64_t sequence = 0;
  NodeId target;
  bool operator==(const IndirectProbe&) const = default;
};

// Pushes changed member records.
struct MemberUpdates {
  std::vector<Member> members;
  // Remaining hops for which receivers in the same zone forward a new record.
  std::uint32_t hops_left = 0;
  bool operator==(const MemberUpdates&) const = default;
};

// Asks a peer for an initial set of member records.
struct JoinRequest {
  Member member;
  bool operator==(const JoinRequest&) const = default;
};

struct JoinReply {
  // Highest known incarnation of an earlier process at the requester's id; 0 if there is none.
  std::uint64_t known_incarnation = 0;
  // Initial records; zone transfers supply the rest.
  std::vector<Member> members;
  std::uint32_t page = 0;
  std::uint32_t page_count = 0;
  bool operator==(const JoinReply&) const = default;
};

// Asks for all listed records of a zone.
struct ZoneRecordsRequest {
  std::string zone;
  bool operator==(const ZoneRecordsRequest&) const = default;
};

// One page of the listed records of a zone; pages are numbered from 0.
struct ZoneRecords {
  std::string zone;
  std::vector<Member> members;
  std::uint32_t page = 0;
  std::uint32_t page_count = 0;
  bool operator==(const ZoneRecords&) const = default;
};

using Message = std::variant<Probe, ProbeAck, IndirectProbe, MemberUpdates, JoinRequest, JoinReply,
                             ZoneRecordsRequest, ZoneRecords>;

}  // namespace amaranthlatch::membership
