// Learns the verdict on an appended record and waits until nodes have it in force.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/publish_record.h"
#include "host.h"
#include "log_client.h"
#include "node_client.h"

namespace amaranthlatch::cli {

// A node that does not have an offset in force.
struct LaggingNode {
  std::string address;
  // Of its last answer; 0 for none.
  acceptance::Offset in_force_offset = 0;
  // Why, as far as it is known.
  std::string reason;

  bool operator==(const LaggingNode&) const = default;
};

class Confirmation {
 public:
  Confirmation(LogClient& log, NodeClient& nodes, Host& host)
      : log(log), nodes(nodes), host(host) {}

  // Waits at most `wait`; returns the nodes that lag then.
  std::vector<LaggingNode> AwaitNodes(const std::vector<std::string>& addresses,
                                      acceptance::Offset offset, utils::Duration wait);

  // Asks the nodes first, which is cheap, then folds the log.
  utils::Result<acceptance::Verdict> FindVerdict(const std::vector<std::string>& addresses,
                                                 const acceptance::PublishRecord& record);

  // False where the record at the offset is known to differ from `record` in more than the time of
  // publishing: then its publish id was used before for another record.
  bool IsSameRecord(acceptance::Offset offset, const acceptance::PublishRecord& record);

 private:
  LogClient& log;
  NodeClient& nodes;
  Host& host;

  std::vector<LaggingNode> FindLagging(const std::vector<std::string>& addresses,
                                       acceptance::Offset offset);
};

}  // namespace amaranthlatch::cli
