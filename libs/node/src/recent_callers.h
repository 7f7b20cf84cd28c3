// Nodes that recently sent calls to this node. They are notified first when it starts to drain.

#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::node::details {

class RecentCallers {
 public:
  void RecordCall(const membership::NodeId& from, utils::Timestamp now);
  std::vector<membership::NodeId> List(utils::Timestamp now) const;

 private:
  void RemoveExpired(utils::Timestamp now);

  std::map<membership::NodeId, utils::Timestamp> last_call_times;
};

}  // namespace amaranthlatch::node::details
