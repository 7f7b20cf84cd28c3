// Read-only view of the known members.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "amaranthlatch/membership/member.h"

namespace amaranthlatch::membership {

using MemberList = std::shared_ptr<const std::vector<Member>>;

// Indexes the member records of all zones by service, zone and region.
class MemberView {
 public:
  virtual ~MemberView() = default;

  // Record of this node.
  virtual const Member& Self() const = 0;

  // Returns null if the id is unknown. The pointer is valid until the next event.
  virtual const Member* Find(std::string_view id) const = 0;

  // Members in any state but kLeft and kDead, in ascending order of id; never null.
  virtual MemberList ServiceMembers(std::string_view service) const = 0;
  virtual MemberList ZoneMembers(std::string_view zone) const = 0;
  virtual MemberList RegionMembers(std::string_view region) const = 0;

  // Names of the zones and regions that have listed members, in ascending order.
  virtual std::vector<std::string> Zones() const = 0;
  virtual std::vector<std::string> Regions() const = 0;

  // Increases whenever a list changes.
  virtual std::uint64_t Generation() const = 0;
  // Number of listed members.
  virtual std::size_t Size() const = 0;
};

}  // namespace amaranthlatch::membership
