// Reducer of a node, composed of the membership, distribution and calls reducers.

#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/node/effect.h"
#include "amaranthlatch/node/event.h"
#include "amaranthlatch/node/options.h"
#include "amaranthlatch/node/status.h"
#include "amaranthlatch/utils/result.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::node {

class Node {
 public:
  // Fails with kSettingsOutOfRange.
  static utils::Result<std::unique_ptr<Node>> Create(const NodeOptions& options);

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node();

  std::vector<Effect> Reduce(const Event& event, utils::Timestamp now);

  // Before the first event this is the clock's epoch, so the host wakes the node immediately.
  std::optional<utils::Timestamp> NextWake() const;

  const document::RouteTable& Routes() const;
  // Configuration state in force, for audit and display.
  const acceptance::State& InForce() const;
  const membership::MemberView& Members() const;

  Status GetStatus() const;
  CounterSnapshot GetCounters() const;

 private:
  struct Impl;
  explicit Node(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace amaranthlatch::node
