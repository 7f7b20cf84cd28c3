// Read access to the known members.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "amaranthlatch/membership/member.h"

namespace amaranthlatch::membership {

using MemberList = std::shared_ptr<const std::vector<Member>>;

class MemberView {
 public:
  virtual ~MemberView() = default;

  virtual const Member& Self() const = 0;

  // Null for an unknown id. The pointer is valid until the next event.
  virtual const Member* Find(std::string_view id) const = 0;

  // Lists hold members of every state but kLeft and kDead, in ascending order of id; never null.
  virtual MemberList ServiceMembers(std::string_view service) const = 0;
  virtual MemberList ZoneMembers(std::string_view zone) const = 0;
  virtual MemberList RegionMembers(std::string_view region) const = 0;

  // Names of all zones with listed members, in ascending order.
  virtual std::vector<std::string> Zones() const = 0;
  virtual std::vector<std::string> Regions() const = 0;

  // Rises whenever a list changes.
  virtual std::uint64_t Generation() const = 0;
  virtual std::size_t Size() const = 0;
};

}  // namespace amaranthlatch::membership
