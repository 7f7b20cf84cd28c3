// The entry side of permits: fetches them from gates for callers.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "balancer.h"
#include "context.h"

namespace amaranthlatch::calls::details {

class PermitClient {
 public:
  PermitClient(SharedState& shared, Balancer& balancer) : shared(shared), balancer(balancer) {}

  void OnAsked(const Context& context, const PermitAsked& asked, utils::ErrorCode admission);
  void OnReply(const Context& context, const PermitReply& reply);
  void OnPeerUnreachable(const Context& context, const membership::NodeId& id);

  // Asks another gate where one has not answered in time.
  void Advance(const Context& context);

  std::optional<utils::Timestamp> NextWake() const;
  bool IsIdle() const { return this->asks.empty(); }

 private:
  struct Ask {
    std::uint64_t request = 0;
    document::RouteMatch match;
    // Gates asked so far; the last one's answer is awaited.
    std::vector<membership::NodeId> gates;
    utils::Timestamp timeout{};
  };

  void AskGate(const Context& context, Ask ask, utils::ErrorCode last_failure);
  void Answer(const Context& context, std::uint64_t request, utils::ErrorCode code,
              const PermitReply& reply = {});
  // Ends the wait for one gate.
  std::optional<Ask> Take(std::uint64_t number);

  SharedState& shared;
  Balancer& balancer;
  // Number of the last PermitRequest; each is used once.
  std::uint64_t last_number = 0;
  // Open requests by number, with one timer each.
  std::map<std::uint64_t, Ask> asks;
  std::set<std::pair<utils::Timestamp, std::uint64_t>> timers;
};

}  // namespace amaranthlatch::calls::details
