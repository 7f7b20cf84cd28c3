// Messages between the membership reducers of two nodes.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/membership/member.h"

namespace amaranthlatch::membership {

// Sum of the record hashes of each zone; equal sums mean equal records.
using ZoneDigests = std::map<std::string, std::uint64_t>;

struct Probe {
  std::uint64_t sequence = 0;
  ZoneDigests digests;
  bool operator==(const Probe&) const = default;
};

struct ProbeAck {
  std::uint64_t sequence = 0;
  ZoneDigests digests;
  bool operator==(const ProbeAck&) const = default;
};

// Asks the receiver to probe `target` and to pass its acknowledgement back under `sequence`.
struct IndirectProbe {
  std::uint64_t sequence = 0;
  NodeId target;
  bool operator==(const IndirectProbe&) const = default;
};

struct MemberUpdates {
  std::vector<Member> members;
  // Further times that a receiver in the same zone passes a new record on.
  std::uint32_t hops_left = 0;
  bool operator==(const MemberUpdates&) const = default;
};

struct JoinRequest {
  Member member;
  bool operator==(const JoinRequest&) const = default;
};

struct JoinReply {
  // Highest incarnation known for the sender of the request; 0 for none.
  std::uint64_t known_incarnation = 0;
  // One page of all known records.
  std::vector<Member> members;
  std::uint32_t page = 0;
  std::uint32_t page_count = 0;
  bool operator==(const JoinReply&) const = default;
};

struct ZoneRecordsRequest {
  std::string zone;
  bool operator==(const ZoneRecordsRequest&) const = default;
};

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
