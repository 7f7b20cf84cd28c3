// Budgets that limit the retries of each service to a share of its calls.
//
// Load condition: servers of a service refuse or fail many calls. Without a bound over all nodes,
// retries would multiply their load just then.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "amaranthlatch/calls/options.h"
#include "amaranthlatch/document/service_document.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

// Each call earns a share of a token, a retry costs one. Without a shared slack, a node keeps up to
// `retry_burst` tokens of a service and starts with them. With one, a node keeps its part of the
// slack and otherwise only what it has earned lately, and starts with none, so that the retries of
// all nodes are bounded however many there are and however often they restart.
class RetryBudget {
 public:
  explicit RetryBudget(const EntryOptions& options) : options(options) {}

  // A call of the service, which earns `percent` hundredths of a token, at one of `nodes` nodes.
  void OnCall(const std::string& service, document::Priority priority, std::uint32_t percent,
              std::size_t nodes, utils::Timestamp now);
  // Takes a token for a retry and returns what it cost; nothing if the retry is not allowed. With a
  // shared slack, a part of a token allows a retry with that probability: at an entry that sees few
  // calls of a service, tokens are spent or expire before there is a whole one.
  std::optional<double> TrySpend(const std::string& service, document::Priority priority,
                                 std::size_t nodes, utils::Timestamp now, utils::Random& random);
  // Returns the cost of a retry that was not made.
  void Refund(const std::string& service, double cost);

 private:
  struct Bucket {
    double tokens = 0.0;
    // The tokens if none had been spent.
    double unspent = 0.0;
    utils::Timestamp updated_at{};
    // Time until which tokens are reserved for calls of class internal.
    utils::Timestamp reserved_until{};
  };

  Bucket& Find(const std::string& service);
  // The bucket at this time; tokens above `kept` expire.
  Bucket& Advance(const std::string& service, double kept, utils::Timestamp now);
  // Part of the slack of a node.
  double Kept(std::size_t nodes) const;

  const EntryOptions& options;
  // One bucket per service; the number of services is bounded by the service documents.
  std::unordered_map<std::string, Bucket> buckets;
};

}  // namespace amaranthlatch::calls::details
