// Limits of workspaces over all nodes of the mesh.

#pragma once

#include <map>
#include <memory>
#include <string>

namespace amaranthlatch::quota {

struct Limit {
  // Requests per second; 0 for a workspace without a limit.
  double rate = 0.0;
  // Requests beyond the rate.
  double burst = 0.0;
  bool operator==(const Limit&) const = default;
};

// By workspace. A workspace that is missing has no limit.
using Limits = std::map<std::string, Limit>;
using LimitsPointer = std::shared_ptr<const Limits>;

}  // namespace amaranthlatch::quota
