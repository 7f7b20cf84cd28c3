// The reader's side of shared reads: who subscribes, and what each subscriber lacks.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "amaranthlatch/directory/mesh_configuration.h"
#include "amaranthlatch/directory/message.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/utils/time.h"
#include "rollout_orders.h"

namespace amaranthlatch::directory::details {

class Subscribers {
 public:
  // `lease`: time after the last request of a subscriber until it is forgotten.
  Subscribers(std::uint64_t boot_id, utils::Duration lease) : boot_id(boot_id), lease(lease) {}

  void OnRequest(const membership::NodeId& from, const UpdateRequest& request,
                 utils::Timestamp now);
  void OnMemberChanged(const membership::NodeId& id);
  // The register holds this record of this node. A record is not passed on before: the next process
  // of this node would not know of it and could not replace it.
  void OnOwnRecordStored(const membership::Member& member);
  void OnConfiguration(MeshConfiguration::Pointer next);
  void Expire(utils::Timestamp now);
  void Clear() { this->subscribers.clear(); }

  // Number of the latest change of a member record.
  std::uint64_t LastChange() const { return this->last_change; }
  bool Empty() const { return this->subscribers.empty(); }
  bool Contains(const membership::NodeId& id) const { return this->subscribers.contains(id); }
  std::vector<membership::NodeId> Ids() const;
  // Whether a subscriber has insisted lately: it may be cut off from other readers.
  bool HasInsistent(utils::Timestamp now) const;
  std::optional<utils::Timestamp> NextExpiry() const;

  // Returns what the subscriber lacks and takes it for delivered; the next request of the
  // subscriber corrects that.
  Update MakeUpdate(const membership::NodeId& id, bool healthy, const membership::MemberView& view,
                    const RolloutOrders& orders);
  // Returns an update with the configuration in force, which is newer than `base`, and no members.
  Update MakeConfigurationUpdate(document::Version base);

 private:
  struct Subscriber {
    utils::Timestamp last_request{};
    utils::Timestamp insistent_until{};
    document::Version version = 0;
    ChangeNumber members;
    std::uint64_t orders_end = 0;
  };

  // Returns the encoded change from `base` to the configuration in force.
  const std::string& EncodedChangeFrom(document::Version base);

  const std::uint64_t boot_id;
  const utils::Duration lease;
  std::map<membership::NodeId, Subscriber> subscribers;
  // The latest change of each member, by its number; numbers start at 1.
  std::map<std::uint64_t, membership::NodeId> changes;
  std::unordered_map<membership::NodeId, std::uint64_t> change_by_member;
  std::uint64_t last_change = 0;
  // The record of this node that the register holds, as far as known.
  std::optional<membership::Member> own_record;
  // The latest configurations, the one in force last.
  std::deque<MeshConfiguration::Pointer> configurations;
  // By base version; cleared when another configuration comes into force.
  std::map<document::Version, std::string> encoded_changes;
};

}  // namespace amaranthlatch::directory::details
