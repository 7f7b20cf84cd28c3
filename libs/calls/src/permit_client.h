// Client side of permits: requests them from gates on behalf of callers.

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

  // Sends timed-out requests to another gate.
  void Advance(const Context& context);

  std::optional<utils::Timestamp> NextWake() const;
  bool IsIdle() const { return this->open_requests.empty(); }

 private:
  struct OpenRequest {
    std::uint64_t request = 0;
    document::RouteMatch match;
    // Gates tried so far; the last one has not replied yet.
    std::vector<membership::NodeId> gates;
    utils::Timestamp timeout{};
  };

  void SendToNextGate(const Context& context, OpenRequest open, utils::ErrorCode last_failure);
  void Answer(const Context& context, std::uint64_t request, utils::ErrorCode code,
              const PermitReply& reply = {});
  // Removes the open request and its timer; nullopt if it is unknown.
  std::optional<OpenRequest> RemoveRequest(std::uint64_t request_id);

  SharedState& shared;
  Balancer& balancer;
  // Id of the last PermitRequest; ids are not reused.
  std::uint64_t last_request_id = 0;
  // Open requests by id. Every request has one entry in `timers`.
  std::map<std::uint64_t, OpenRequest> open_requests;
  std::set<std::pair<utils::Timestamp, std::uint64_t>> timers;
};

}  // namespace amaranthlatch::calls::details
