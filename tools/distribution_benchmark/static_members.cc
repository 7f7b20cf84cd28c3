// The fixed list of members.

#include "static_members.h"

#include <algorithm>
#include <utility>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::benchmark {

namespace {

constexpr std::size_t kMembersPerSubnet = 250;
constexpr const char* kRegionName = "north-oshana";
constexpr const char* kZoneName = "Ondangwa";

}  // namespace

StaticMembers::StaticMembers(std::size_t size) {
  std::vector<membership::Member> members;
  std::uint64_t highest = 0;
  for (std::size_t i = 0; i < size; ++i) {
    membership::Member member;
    member.id = "10.1." + std::to_string(i / kMembersPerSubnet) + "." +
                std::to_string(1 + i % kMembersPerSubnet) + ":7000";
    member.region = kRegionName;
    member.zone = kZoneName;
    member.state = membership::MemberState::kReady;
    this->positions.emplace(member.id, i);
    const std::uint64_t weight = utils::RendezvousWeight(kZoneName, member.id);
    this->self = weight > highest ? i : this->self;
    highest = std::max(highest, weight);
    members.push_back(std::move(member));
  }
  this->list = std::make_shared<const std::vector<membership::Member>>(std::move(members));
}

const membership::Member* StaticMembers::Find(std::string_view id) const {
  const auto found = this->positions.find(id);
  return found == this->positions.end() ? nullptr : &(*this->list)[found->second];
}

membership::MemberList StaticMembers::ServiceMembers(std::string_view /*service*/) const {
  return this->empty;
}

membership::MemberList StaticMembers::ZoneMembers(std::string_view zone) const {
  return zone == kZoneName ? this->list : this->empty;
}

membership::MemberList StaticMembers::RegionMembers(std::string_view region) const {
  return region == kRegionName ? this->list : this->empty;
}

std::vector<std::string> StaticMembers::Zones() const { return {kZoneName}; }
std::vector<std::string> StaticMembers::Regions() const { return {kRegionName}; }

}  // namespace amaranthlatch::benchmark
