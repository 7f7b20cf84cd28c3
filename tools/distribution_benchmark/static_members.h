// A fixed list of members for the benchmark.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "amaranthlatch/membership/member_view.h"

namespace amaranthlatch::benchmark {

// One zone of `size` members; this node is the root of its tree.
class StaticMembers final : public membership::MemberView {
 public:
  explicit StaticMembers(std::size_t size);

  const membership::Member& Self() const override { return (*this->list)[this->self]; }
  const membership::Member* Find(std::string_view id) const override;
  membership::MemberList ServiceMembers(std::string_view service) const override;
  membership::MemberList ZoneMembers(std::string_view zone) const override;
  membership::MemberList RegionMembers(std::string_view region) const override;
  std::vector<std::string> Zones() const override;
  std::vector<std::string> Regions() const override;
  std::uint64_t Generation() const override { return 1; }
  std::size_t Size() const override { return this->list->size(); }

  const membership::NodeId& IdAt(std::size_t index) const { return (*this->list)[index].id; }

 private:
  std::size_t self = 0;
  membership::MemberList list;
  membership::MemberList empty = std::make_shared<const std::vector<membership::Member>>();
  std::map<std::string, std::size_t, std::less<>> positions;
};

}  // namespace amaranthlatch::benchmark
