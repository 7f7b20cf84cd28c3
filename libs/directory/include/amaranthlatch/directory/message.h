// Messages with which the nodes of an availability zone share the reads of the register.
//
// One node of each zone, its reader, follows the register and passes changes on to the others, its
// subscribers. Readers are not elected: two of them at once only cost reads, because records and
// configurations are ordered by themselves.

#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/directory/rollout_order.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/membership/member.h"

namespace amaranthlatch::directory {

// Numbers the changes of member records that one process has seen; 0 for none.
struct ChangeNumber {
  std::uint64_t boot_id = 0;
  std::uint64_t sequence = 0;
  bool operator==(const ChangeNumber&) const = default;
};

// From a subscriber to its reader, at regular intervals: what the subscriber has.
struct UpdateRequest {
  // Version of the configuration in force; 0 for none.
  document::Version version = 0;
  ChangeNumber members;
  // The subscriber found no other reader: a receiver that does not read must start to.
  bool insist = false;
  // The rollout orders below this position are known to the subscriber.
  std::uint64_t orders_end = 0;
  bool operator==(const UpdateRequest&) const = default;
};

// From a reader to a subscriber: what the subscriber lacks. Answers each request, also with
// nothing, and follows each change.
struct Update {
  // Whether the reads of the sender succeed.
  bool healthy = false;
  // Version of the configuration in force at the sender.
  document::Version version = 0;
  // Encoded change of the configuration (configuration_change.h); empty for none.
  std::string configuration;
  // The sequence number of the changes that the receiver must have for `members` to be complete; 0
  // if they contain all members.
  std::uint64_t members_since = 0;
  // The latest change included. Without a boot id, `members` are single records, which say nothing
  // about others.
  ChangeNumber members_until;
  std::vector<membership::Member> members;
  // Rollout orders that the receiver lacks.
  std::vector<RolloutOrder> orders;
  bool operator==(const Update&) const = default;
};

// Names the node that the receiver should subscribe to: the sender itself, the reader of a sender
// that does not read, or the successor of a reader that stops. The receiver itself if it is the
// successor.
struct ReaderNotice {
  membership::NodeId reader;
  bool operator==(const ReaderNotice&) const = default;
};

// From a reader to one node of each other zone: a version that has come into force. Subscribers
// forward it to their reader.
struct VersionNotice {
  document::Version version = 0;
  // The node that uses the version.
  membership::NodeId node;
  bool operator==(const VersionNotice&) const = default;
};

// Asks a node that uses a newer version for the configuration. Answered by an update without
// members.
struct ConfigurationRequest {
  // Version of the configuration in force at the sender; 0 for none.
  document::Version version = 0;
  bool operator==(const ConfigurationRequest&) const = default;
};

// The register held no version above `version` this long ago. From a reader to its subscribers, and
// after each of its reads to one node of each other zone; subscribers forward the latter to their
// reader. Builds that do not know this message drop it.
struct Confirmation {
  document::Version version = 0;
  std::uint64_t age_ms = 0;
  // Forwarded by a subscriber to its reader.
  bool forwarded = false;
  bool operator==(const Confirmation&) const = default;
};

using Message = std::variant<UpdateRequest, Update, ReaderNotice, VersionNotice,
                             ConfigurationRequest, Confirmation>;

}  // namespace amaranthlatch::directory
