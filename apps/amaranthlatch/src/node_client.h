// The admin address of a node over HTTP, as in section 10 of docs/design.md.

#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/record.h"
#include "amaranthlatch/utils/result.h"
#include "http_client.h"

namespace amaranthlatch::cli {

// What a node tells about itself. Fields that it leaves out keep their defaults.
struct NodeStatus {
  std::string id;
  std::string zone;
  std::string region;
  std::string state;
  bool ready = false;
  std::string reason;
  acceptance::Offset held_offset = 0;
  acceptance::Offset in_force_offset = 0;
  acceptance::Offset log_head = 0;
  // The offset of a record of an unknown format; 0 for none.
  acceptance::Offset stopped_at = 0;
  // Version in force of each service.
  std::map<std::string, document::Version> services;

  bool operator==(const NodeStatus&) const = default;
};

// All fail with kNodeUnreachable where the node does not answer, and with kHttpFailed for another
// answer than the expected one.
class NodeClient {
 public:
  explicit NodeClient(HttpClient& http) : http(http) {}

  utils::Result<NodeStatus> Status(const std::string& address);
  // Newest last.
  utils::Result<std::vector<acceptance::Verdict>> Audit(const std::string& address,
                                                        const std::string& service);
  // The document in force for the service; null if there is none.
  utils::Result<nlohmann::json> Document(const std::string& address, const std::string& service);
  // The node's answer.
  utils::Result<nlohmann::json> Drain(const std::string& address);

 private:
  HttpClient& http;

  utils::Result<nlohmann::json> Fetch(const std::string& method, const std::string& address,
                                      const std::string& path);
};

}  // namespace amaranthlatch::cli
