// Messages with which nodes and holders move credit.
//
// Times are those of the process that made them. They are compared only by that process, which
// recognises them by its boot id when they are echoed.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota {

// Credit in messages is counted in thousandths of a request.
inline constexpr double kCreditUnits = 1000.0;

struct Stamp {
  std::uint64_t boot_id = 0;
  utils::Timestamp time{};
  bool operator==(const Stamp&) const = default;
};

// Demand of a node for calls of one workspace.
struct Demand {
  std::string workspace;
  // Calls per second that arrive, in thousandths.
  std::uint64_t rate = 0;
  // Calls that wait now.
  std::uint32_t waiting = 0;
  // Calls to grant credit for: those that wait, and those expected until the next request.
  std::uint32_t wanted = 0;
  bool operator==(const Demand&) const = default;
};

// From a node to its holder, or to a candidate.
struct CreditRequest {
  Stamp sent;
  // Number of members that the sender lists.
  std::uint64_t member_count = 0;
  // Echo of a stamp of the receiver: the sender leaves its share to the receiver for one term,
  // which began at that stamp.
  std::optional<Stamp> delegation;
  std::vector<Demand> demands;
  bool operator==(const CreditRequest&) const = default;
};

struct Grant {
  std::string workspace;
  // Calls that the receiver may admit.
  std::uint32_t credit = 0;
  // If not 0: there is no credit for other calls that wait, nor is any expected within this time.
  std::uint32_t retry_ms = 0;
  // Limit under which the credit accrued (LimitTag).
  std::uint32_t limit_tag = 0;
  bool operator==(const Grant&) const = default;
};

// From a holder to a node. Answers each request, also with nothing, and follows when credit for
// calls that wait has come in.
struct CreditGrant {
  // Echo of the latest request.
  Stamp request;
  // Numbers the grants that echo this request.
  std::uint32_t part = 0;
  Stamp sent;
  std::uint64_t member_count = 0;
  std::vector<Grant> grants;
  bool operator==(const CreditGrant&) const = default;
};

// Credit of one workspace that a holder lacks.
struct TransferDemand {
  std::string workspace;
  // In thousandths.
  std::uint64_t amount = 0;
  // Calls wait for it: the receiver keeps nothing back for calls to come.
  bool urgent = false;
  bool operator==(const TransferDemand&) const = default;
};

// From a holder to the holders of other zones.
struct TransferRequest {
  Stamp sent;
  std::uint64_t member_count = 0;
  std::vector<TransferDemand> demands;
  bool operator==(const TransferRequest&) const = default;
};

struct TransferredCredit {
  std::string workspace;
  // Credit given, and surplus that the sender has left, in thousandths.
  std::uint64_t amount = 0;
  std::uint64_t left = 0;
  std::uint32_t limit_tag = 0;
  bool operator==(const TransferredCredit&) const = default;
};

// Answer to a TransferRequest.
struct Transfer {
  // Echo of the request.
  Stamp request;
  std::uint64_t member_count = 0;
  // The holder of the sender, if that is another node; otherwise empty.
  membership::NodeId holder;
  std::vector<TransferredCredit> credits;
  bool operator==(const Transfer&) const = default;
};

using Message = std::variant<CreditRequest, CreditGrant, TransferRequest, Transfer>;

}  // namespace amaranthlatch::quota
