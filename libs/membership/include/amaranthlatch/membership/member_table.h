// Stores all known member records, indexed by service, zone and region.

#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/membership/message.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::membership::details {

// Whether the member appears in lists: it has neither left nor been declared dead.
inline bool IsListed(const Member& member) { return member.state < MemberState::kLeft; }

// Records of members that left or are dead stay as tombstones until they expire, so that an older
// record of the same id cannot replace them.
class MemberTable final : public MemberView {
 public:
  explicit MemberTable(const Member& self);

  enum class MergeResult : std::uint8_t { kStored, kUnchanged, kStale };

  // Stores the record if the id is unknown or the record takes precedence over the known one.
  MergeResult Merge(const Member& member, utils::Timestamp now);

  // Removes at most `limit` tombstones stored at least `age` ago and returns their number.
  std::size_t ExpireTombstones(utils::Timestamp now, utils::Duration age, std::size_t limit);

  // When the oldest tombstone was stored; null if there is none.
  const utils::Timestamp* OldestTombstone() const;
  // Storage time and id of each tombstone, oldest first. An entry remains if its member is listed
  // again.
  const std::deque<std::pair<utils::Timestamp, NodeId>>& Tombstones() const {
    return this->tombstones;
  }

  const ZoneDigests& Digests() const { return this->digests; }
  // Sum of the digests of all zones.
  std::uint64_t TotalDigest() const { return this->total_digest; }
  std::map<MemberState, std::size_t> CountByState() const;
  std::size_t ZoneSize(std::string_view zone) const;

  const Member& Self() const override { return *this->self; }
  const Member* Find(std::string_view id) const override;
  MemberList ServiceMembers(std::string_view service) const override;
  MemberList ZoneMembers(std::string_view zone) const override;
  MemberList RegionMembers(std::string_view region) const override;
  std::vector<std::string> Zones() const override;
  std::vector<std::string> Regions() const override;
  std::uint64_t Generation() const override { return this->generation; }
  std::size_t Size() const override { return this->listed_count; }

 private:
  struct OrderById {
    bool operator()(const Member* left, const Member* right) const { return left->id < right->id; }
  };
  struct IndexEntry {
    std::set<const Member*, OrderById> members;
    // Cached copy of `members`; null after a change until it is next requested.
    mutable MemberList list;
  };
  using Index = std::map<std::string, IndexEntry, std::less<>>;

  static MemberList ListMembers(const Index& index, std::string_view key);
  static std::vector<std::string> KeysOf(const Index& index);
  static void AddTo(Index& index, const std::string& key, const Member* member);
  static void RemoveFrom(Index& index, const std::string& key, const Member* member);
  void AddToIndexes(const Member& member);
  void RemoveFromIndexes(const Member& member);
  void UpdateDigests(const Member& member, bool add);

  std::map<NodeId, Member, std::less<>> members;
  const Member* self = nullptr;
  Index services;
  Index zones;
  Index regions;
  ZoneDigests digests;
  std::uint64_t total_digest = 0;
  std::uint64_t generation = 0;
  std::size_t listed_count = 0;
  std::deque<std::pair<utils::Timestamp, NodeId>> tombstones;
};

}  // namespace amaranthlatch::membership::details
