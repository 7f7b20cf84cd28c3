// Outputs of the directory reducer.

#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "amaranthlatch/directory/event.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::directory {

// Reads the records starting at position `from`, waiting for up to `wait` if there are none yet.
// Without a position, lists the newest record of every key. A new read cancels the one in flight on
// the same stream, whose result is not reported.
struct ReadStream {
  Stream stream = Stream::kConfiguration;
  std::optional<Position> from;
  utils::Duration wait{};
  bool operator==(const ReadStream&) const = default;
};

// Stores the record of this node under its node id. At most one write is in flight.
struct WriteMember {
  membership::Member member;
  bool operator==(const WriteMember&) const = default;
};

// A newer configuration is in force.
struct ConfigurationActivated {
  document::Version version = 0;
  // 0 for the first configuration.
  document::Version previous_version = 0;
  std::size_t route_count = 0;
  bool operator==(const ConfigurationActivated&) const = default;
};

// A record of another node was added or replaced.
struct MemberChanged {
  membership::Member member;
  bool operator==(const MemberChanged&) const = default;
};

// An order came into force, or the register was first found to hold none. `orders` are all orders
// in force.
struct RolloutOrdersChanged {
  std::vector<RolloutOrder> orders;
  bool operator==(const RolloutOrdersChanged&) const = default;
};

// Reads of a stream started to fail or succeed again. `error` is set if `reachable` is false.
struct RegisterReachabilityChanged {
  Stream stream = Stream::kConfiguration;
  bool reachable = false;
  utils::Error error;
  bool operator==(const RegisterReachabilityChanged&) const = default;
};

struct SendToPeer {
  membership::NodeId to;
  Message message;
  bool operator==(const SendToPeer&) const = default;
};

// Where this node gets configurations and member records from.
struct ReadSourceChanged {
  // The node that reads for this one; empty if this node reads the register itself.
  membership::NodeId reader;
  bool operator==(const ReadSourceChanged&) const = default;
};

// The record of an earlier process of this node holds a withdrawal: announcements that the backend
// server sent before it do not count.
struct EarlierWithdrawalFound {
  Withdrawal withdrawal;
  bool operator==(const EarlierWithdrawalFound&) const = default;
};

// What the register is known to hold for later processes of this node has changed. None if it has
// lost the withdrawal, which is then written again.
struct StoredWithdrawalChanged {
  std::optional<Withdrawal> withdrawal;
  bool operator==(const StoredWithdrawalChanged&) const = default;
};

// The register came back from an older copy. This node reads its streams again from a listing.
struct RegisterEraRisen {
  Era era = 0;
  Era previous_era = 0;
  bool operator==(const RegisterEraRisen&) const = default;
};

// A record of this node that the register had acknowledged is no longer there; it is written again.
struct OwnRecordLost {
  // Whether an earlier record is there in its place.
  bool replaced = false;
  bool operator==(const OwnRecordLost&) const = default;
};

// This node learned of a newer version some time ago and has not got it from its source.
struct ConfigurationOutdated {
  document::Version version = 0;
  document::Version newer_version = 0;
  // The node that uses the newer version.
  membership::NodeId node;
  bool operator==(const ConfigurationOutdated&) const = default;
};

using Effect = std::variant<ReadStream, WriteMember, ConfigurationActivated, MemberChanged,
                            RegisterReachabilityChanged, SendToPeer, ReadSourceChanged,
                            EarlierWithdrawalFound, StoredWithdrawalChanged, RegisterEraRisen,
                            OwnRecordLost, ConfigurationOutdated, RolloutOrdersChanged>;

}  // namespace amaranthlatch::directory
