// Checks the guarantees of docs/design.md section 1.3 after every event of a node.

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
  // Checks the state in force if it has changed: version numbers and the offset never decrease (P1,
  // P9), every reference resolves (P2), and an offset has exactly one state hash, because the state
  // is the fold of the whole log prefix (P3). `held_offset` is the highest offset that the node has
  // received.
  void CheckState(const acceptance::State& state, acceptance::Offset held_offset,
                  std::vector<InvariantViolated>& violations);

  // Check that each call is answered exactly once (P4).
  void OnCallOpened(std::uint64_t call, std::vector<InvariantViolated>& violations);
  void OnCallAnswered(std::uint64_t call, std::vector<InvariantViolated>& violations);

  // Passes the first violation that the calls reducer found on, once. Empty if there is none.
  void CheckCalls(const std::string& first_violation, std::vector<InvariantViolated>& violations);

  std::uint64_t StateChecks() const { return this->state_checks; }

 private:
  void CheckVersions(const acceptance::State& state, std::vector<InvariantViolated>& violations);

  acceptance::Offset last_held_offset = 0;
  acceptance::Offset last_offset = 0;
  std::uint64_t last_hash = 0;
  bool has_checked_state = false;
  // Highest version in force so far, by service. Removed services stay in the map, because a
  // document that is published again has a higher offset.
  std::map<std::string, document::Version, std::less<>> highest_versions;
  std::set<std::string, std::less<>> previous_services;
  std::set<std::uint64_t> open_calls;
  std::uint64_t state_checks = 0;
  bool calls_violation_reported = false;
};

}  // namespace amaranthlatch::node
