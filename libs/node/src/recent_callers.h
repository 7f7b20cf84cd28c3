// The nodes that lately sent calls to this one: they hear first that it drains.

#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::node::details {

class RecentCallers {
 public:
  void Heard(const membership::NodeId& from, utils::Timestamp now);
  std::vector<membership::NodeId> List(utils::Timestamp now) const;

 private:
  void Prune(utils::Timestamp now);

  std::map<membership::NodeId, utils::Timestamp> heard;
};

}  // namespace amaranthlatch::node::details
