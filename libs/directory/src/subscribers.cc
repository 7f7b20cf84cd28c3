// Tracking of subscribers and of the changes that they lack.

#include "subscribers.h"

#include <algorithm>
#include <compare>
#include <utility>

#include "configuration_change.h"

namespace amaranthlatch::directory::details {

namespace {
// Subscribers with an older configuration get the whole one.
constexpr std::size_t kMaxConfigurations = 8;
// Longer than subscribers avoid a reader that did not answer.
constexpr utils::Duration kInsistence = utils::Seconds(12);
}  // namespace

void Subscribers::OnRequest(const membership::NodeId& from, const UpdateRequest& request,
                            utils::Timestamp now) {
  Subscriber& subscriber = this->subscribers[from];
  subscriber.last_request = now;
  if (request.insist) {
    subscriber.insistent_until = now + kInsistence;
  }
  subscriber.version = request.version;
  subscriber.members = request.members;
  subscriber.orders_end = request.orders_end;
}

void Subscribers::OnMemberChanged(const membership::NodeId& id) {
  std::uint64_t& change = this->change_by_member[id];
  this->changes.erase(change);
  change = ++this->last_change;
  this->changes[change] = id;
}

void Subscribers::OnOwnRecordStored(const membership::Member& member) {
  const bool is_newer =
      !this->own_record || std::is_gt(membership::ComparePrecedence(member, *this->own_record));
  if (member.boot_id == this->boot_id && is_newer) {
    this->own_record = member;
    this->OnMemberChanged(member.id);
  }
}

void Subscribers::OnConfiguration(MeshConfiguration::Pointer next) {
  this->encoded_changes.clear();
  this->configurations.push_back(std::move(next));
  if (this->configurations.size() > kMaxConfigurations) {
    this->configurations.pop_front();
  }
}

void Subscribers::Expire(utils::Timestamp now) {
  std::erase_if(this->subscribers, [this, now](const auto& entry) {
    return now - entry.second.last_request >= this->lease;
  });
}

std::vector<membership::NodeId> Subscribers::Ids() const {
  std::vector<membership::NodeId> ids;
  ids.reserve(this->subscribers.size());
  for (const auto& [id, subscriber] : this->subscribers) {
    ids.push_back(id);
  }
  return ids;
}

bool Subscribers::HasInsistent(utils::Timestamp now) const {
  return std::any_of(this->subscribers.begin(), this->subscribers.end(),
                     [now](const auto& entry) { return now < entry.second.insistent_until; });
}

std::optional<utils::Timestamp> Subscribers::NextExpiry() const {
  std::optional<utils::Timestamp> next;
  for (const auto& [id, subscriber] : this->subscribers) {
    const utils::Timestamp expiry = subscriber.last_request + this->lease;
    next = next ? std::min(*next, expiry) : expiry;
  }
  return next;
}

Update Subscribers::MakeUpdate(const membership::NodeId& id, bool healthy,
                               const membership::MemberView& view, const RolloutOrders& orders) {
  Subscriber& subscriber = this->subscribers.at(id);
  Update update;
  update.healthy = healthy;
  if (!this->configurations.empty()) {
    update.version = this->configurations.back()->GetVersion();
    if (subscriber.version < update.version) {
      update.configuration = this->EncodedChangeFrom(subscriber.version);
      subscriber.version = update.version;
    }
  }
  const std::uint64_t known =
      subscriber.members.boot_id == this->boot_id ? subscriber.members.sequence : 0;
  for (auto change = this->changes.upper_bound(known); change != this->changes.end(); ++change) {
    if (this->own_record && change->second == this->own_record->id) {
      update.members.push_back(*this->own_record);
    } else if (const membership::Member* member = view.Find(change->second)) {
      update.members.push_back(*member);
    }
  }
  update.members_since = known;
  update.members_until = {this->boot_id, this->last_change};
  subscriber.members = update.members_until;
  update.orders = orders.Since(subscriber.orders_end);
  subscriber.orders_end = orders.End();
  return update;
}

Update Subscribers::MakeConfigurationUpdate(document::Version base) {
  Update update;
  update.version = this->configurations.back()->GetVersion();
  update.configuration = this->EncodedChangeFrom(base);
  return update;
}

const std::string& Subscribers::EncodedChangeFrom(document::Version base) {
  const auto known =
      std::find_if(this->configurations.begin(), this->configurations.end(),
                   [base](const auto& earlier) { return earlier->GetVersion() == base; });
  const MeshConfiguration::Pointer from = known == this->configurations.end() ? nullptr : *known;
  const document::Version key = from == nullptr ? 0 : base;
  auto [encoded, added] = this->encoded_changes.try_emplace(key);
  if (added) {
    encoded->second = EncodeChange(Difference(from, *this->configurations.back()));
  }
  return encoded->second;
}

}  // namespace amaranthlatch::directory::details
