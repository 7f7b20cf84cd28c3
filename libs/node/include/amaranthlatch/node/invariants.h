// Checks of the promises of docs/design.md section 1.3 after every event of a node.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/node/effect.h"

namespace amaranthlatch::node {

class InvariantChecker {
 public:
  // Checks the state in force if it has changed: versions and offset never fall (P1, P9), no
  // reference dangles (P2), and one offset has one state hash, as the fold of a whole prefix has
  // (P3). `held` is the offset that the node has received.
  void CheckState(const acceptance::State& state, acceptance::Offset held,
                  std::vector<InvariantViolated>& violations);

  // Each call is answered exactly once (P4).
  void OnCallOpened(std::uint64_t call, std::vector<InvariantViolated>& violations);
  void OnCallAnswered(std::uint64_t call, std::vector<InvariantViolated>& violations);

  std::uint64_t StateChecks() const { return this->state_checks; }

 private:
  void CheckVersions(const acceptance::State& state, std::vector<InvariantViolated>& violations);

  acceptance::Offset last_held = 0;
  acceptance::Offset last_offset = 0;
  std::uint64_t last_hash = 0;
  bool checked = false;
  // Highest version of each service that was in force. A removed service stays in the map, because
  // a document that is published again has a higher offset.
  std::map<std::string, document::Version, std::less<>> versions;
  std::set<std::string, std::less<>> services;
  std::set<std::uint64_t> open_calls;
  std::uint64_t state_checks = 0;
};

}  // namespace amaranthlatch::node
