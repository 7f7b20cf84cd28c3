// Merging of member records, their indexes and digests.

#include "amaranthlatch/membership/member_table.h"

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::membership::details {

namespace {

// Every other change increases the incarnation, so these fields identify the record's content.
std::uint64_t RecordHash(const Member& member) {
  const std::uint64_t version = utils::CombineHash(member.incarnation, member.boot_id);
  return utils::Hash64(member.id, version + static_cast<std::uint64_t>(member.state));
}

}  // namespace

MemberTable::MemberTable(const Member& self) {
  this->Merge(self, utils::Timestamp{});
  this->self = &this->members.find(self.id)->second;
}

MemberTable::MergeResult MemberTable::Merge(const Member& member, utils::Timestamp now) {
  auto [entry, added] = this->members.try_emplace(member.id, member);
  Member& known = entry->second;
  if (!added) {
    const std::strong_ordering order = ComparePrecedence(member, known);
    if (order == std::strong_ordering::equal) {
      return MergeResult::kUnchanged;
    }
    if (order == std::strong_ordering::less) {
      return MergeResult::kStale;
    }
    if (IsListed(known)) {
      this->RemoveFromIndexes(known);
    }
    known = member;
  }
  if (IsListed(known)) {
    this->AddToIndexes(known);
  } else {
    this->tombstones.emplace_back(now, known.id);
  }
  ++this->generation;
  return MergeResult::kStored;
}

std::size_t MemberTable::ExpireTombstones(utils::Timestamp now, utils::Duration age,
                                          std::size_t limit) {
  std::size_t dropped = 0;
  while (!this->tombstones.empty() && this->tombstones.front().first + age <= now &&
         dropped < limit) {
    const auto found = this->members.find(this->tombstones.front().second);
    this->tombstones.pop_front();
    // If the member was listed again and then lost again, its tombstone has two entries; the record
    // is removed with the later one at the latest.
    if (found != this->members.end() && !IsListed(found->second) && &found->second != this->self) {
      this->members.erase(found);
      ++dropped;
    }
  }
  return dropped;
}

const utils::Timestamp* MemberTable::OldestTombstone() const {
  return this->tombstones.empty() ? nullptr : &this->tombstones.front().first;
}

std::map<MemberState, std::size_t> MemberTable::CountByState() const {
  std::map<MemberState, std::size_t> counts;
  for (const auto& [id, member] : this->members) {
    ++counts[member.state];
  }
  return counts;
}

std::size_t MemberTable::ZoneSize(std::string_view zone) const {
  const auto found = this->zones.find(zone);
  return found == this->zones.end() ? 0 : found->second.members.size();
}

const Member* MemberTable::Find(std::string_view id) const {
  const auto found = this->members.find(id);
  return found == this->members.end() ? nullptr : &found->second;
}

MemberList MemberTable::ServiceMembers(std::string_view service) const {
  return ListMembers(this->services, service);
}

MemberList MemberTable::ZoneMembers(std::string_view zone) const {
  return ListMembers(this->zones, zone);
}

MemberList MemberTable::RegionMembers(std::string_view region) const {
  return ListMembers(this->regions, region);
}

std::vector<std::string> MemberTable::Zones() const { return KeysOf(this->zones); }

std::vector<std::string> MemberTable::Regions() const { return KeysOf(this->regions); }

MemberList MemberTable::ListMembers(const Index& index, std::string_view key) {
  static const MemberList empty = std::make_shared<const std::vector<Member>>();
  const auto found = index.find(key);
  if (found == index.end()) {
    return empty;
  }
  const IndexEntry& index_entry = found->second;
  if (index_entry.list == nullptr) {
    std::vector<Member> list;
    list.reserve(index_entry.members.size());
    for (const Member* member : index_entry.members) {
      list.push_back(*member);
    }
    index_entry.list = std::make_shared<const std::vector<Member>>(std::move(list));
  }
  return index_entry.list;
}

std::vector<std::string> MemberTable::KeysOf(const Index& index) {
  std::vector<std::string> keys;
  keys.reserve(index.size());
  for (const auto& [key, index_entry] : index) {
    keys.push_back(key);
  }
  return keys;
}

void MemberTable::AddTo(Index& index, const std::string& key, const Member* member) {
  IndexEntry& index_entry = index[key];
  index_entry.members.insert(member);
  index_entry.list = nullptr;
}

void MemberTable::RemoveFrom(Index& index, const std::string& key, const Member* member) {
  const auto found = index.find(key);
  found->second.members.erase(member);
  found->second.list = nullptr;
  if (found->second.members.empty()) {
    index.erase(found);
  }
}

void MemberTable::AddToIndexes(const Member& member) {
  if (!member.service.empty()) {
    AddTo(this->services, member.service, &member);
  }
  AddTo(this->zones, member.zone, &member);
  AddTo(this->regions, member.region, &member);
  this->UpdateDigests(member, true);
  ++this->listed_count;
}

void MemberTable::RemoveFromIndexes(const Member& member) {
  if (!member.service.empty()) {
    RemoveFrom(this->services, member.service, &member);
  }
  RemoveFrom(this->zones, member.zone, &member);
  RemoveFrom(this->regions, member.region, &member);
  this->UpdateDigests(member, false);
  --this->listed_count;
}

void MemberTable::UpdateDigests(const Member& member, bool add) {
  const std::uint64_t hash = add ? RecordHash(member) : 0 - RecordHash(member);
  std::uint64_t& sum = this->digests[member.zone];
  sum += hash;
  this->total_digest += hash;
  if (this->ZoneSize(member.zone) == 0) {
    this->digests.erase(member.zone);
  }
}

}  // namespace amaranthlatch::membership::details
