// Expected use of this instance's outbound link by answers to other instances.
//
// The gate admits a call only if the link can move its answer in time. It counts the bytes of
// answers that were sent and that the link has not moved yet, and the bytes that the running and
// queued calls of other instances will probably bring.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/time.h"
#include "route_averages.h"

namespace amaranthlatch::calls::details {

// The transport sends messages up to this size at once and paces larger ones ("bulk").
inline constexpr std::uint64_t kMaxSmallAnswerBytes = 16ULL * 1024;

class LinkBudget {
 public:
  // `bits_per_second`: rate of the link; 0 if it is not known, then no answer waits.
  explicit LinkBudget(std::uint64_t bits_per_second);

  bool IsLimited() const { return this->bytes_per_us > 0.0; }

  // Learns the size of answers of the route.
  void RecordAnswerSize(RouteKey route, std::uint64_t bytes);

  // A call of another instance was admitted; OnEnded must follow with the same route and class.
  void OnAdmitted(RouteKey route, document::Priority priority);
  // The call has ended and `answer_bytes` are handed to the link; 0 if it ended without an answer.
  void OnEnded(RouteKey route, document::Priority priority, std::uint64_t answer_bytes,
               utils::Timestamp now);

  // Time until the link has moved all answers that precede a new one of this route and class.
  utils::Duration Wait(RouteKey route, document::Priority priority, utils::Timestamp now) const;
  // Time for which an answer of the route then occupies the link.
  utils::Duration TransferTime(RouteKey route, document::Priority priority) const;
  // Like Wait(), for a bulk answer.
  utils::Duration BulkWait(document::Priority priority, utils::Timestamp now) const;

 private:
  // Answers leave in the order of lanes: small ones, then bulk by priority class.
  static constexpr std::size_t kLanes = 1 + document::kPriorityCount;
  using LaneBytes = std::array<double, kLanes>;
  // Admitted calls of one route and class.
  struct Expected {
    RouteKey route = 0;
    document::Priority priority = document::Priority::kNormal;
    std::uint32_t calls = 0;
  };

  static std::size_t LaneOf(double bytes, document::Priority priority);
  // Rate that answers of this lane may use.
  double RateOf(std::size_t lane) const;
  double UsualBytes(RouteKey route) const;
  std::vector<Expected>::iterator FindExpected(RouteKey route, document::Priority priority);
  // The sent bytes that the link has not moved by then.
  LaneBytes UnsentAt(utils::Timestamp now) const;
  utils::Duration WaitOfLane(std::size_t lane, utils::Timestamp now) const;

  double bytes_per_us;
  RouteAverages answer_bytes;
  // Routes with admitted calls only, so that the list stays short.
  std::vector<Expected> expected;
  // Bytes not moved at `unsent_at`.
  LaneBytes unsent{};
  utils::Timestamp unsent_at{};
};

}  // namespace amaranthlatch::calls::details
