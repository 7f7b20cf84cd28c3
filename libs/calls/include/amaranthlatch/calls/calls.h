// The calls reducer: handles the entry side and the gate side of all calls on this node.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/calls/authorizer.h"
#include "amaranthlatch/calls/balance_policy.h"
#include "amaranthlatch/calls/counters.h"
#include "amaranthlatch/calls/effect.h"
#include "amaranthlatch/calls/event.h"
#include "amaranthlatch/calls/options.h"
#include "amaranthlatch/document/route_table.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/utils/result.h"

namespace amaranthlatch::calls {

// Initially admission is closed and no backend server is known; AdmissionChanged and
// BackendServerChanged events change this.
class Calls {
 public:
  // Fails with kSettingsOutOfRange on invalid options. `policy` selects backend servers; null means
  // PowerOfTwoPolicy.
  static utils::Result<Calls> Create(const Options& options,
                                     std::unique_ptr<BalancePolicy> policy = nullptr);

  Calls(Calls&&) noexcept;
  Calls& operator=(Calls&&) noexcept;
  ~Calls();

  // `members.Self()` must describe this process: its id, incarnation and boot id. `authorizer`
  // judges repeated attempts by the workspaces in force; null if there are none.
  std::vector<Effect> Reduce(const Event& event, utils::Timestamp now,
                             const membership::MemberView& members,
                             const document::RouteTable& routes,
                             const Authorizer* authorizer = nullptr);

  std::optional<utils::Timestamp> NextWake() const;

  const Counters& GetCounters() const;
  Gauges GetGauges() const;

  // Description of the first violated invariant, including the guarantees of docs/design.md
  // section 1.3; empty if there is none.
  const std::string& FirstViolation() const;

 private:
  struct Parts;
  explicit Calls(std::unique_ptr<Parts> parts);

  std::unique_ptr<Parts> parts;
};

}  // namespace amaranthlatch::calls
