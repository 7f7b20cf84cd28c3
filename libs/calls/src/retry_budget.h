// Token buckets that limit the retries of each service to a share of its calls.

#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace amaranthlatch::calls::details {

class RetryBudget {
 public:
  // `burst` is the initial and maximum number of tokens; if `limited` is false, every retry is
  // allowed.
  RetryBudget(double burst, bool limited) : burst(burst), limited(limited) {}

  // Adds `percent` hundredths of a token to the bucket of the service.
  void OnCall(const std::string& service, std::uint32_t percent);
  // Takes one token; returns false if the bucket has less than one.
  bool TrySpend(const std::string& service);
  // Returns the token of a retry that was not sent.
  void Refund(const std::string& service);

 private:
  double burst;
  bool limited;
  // One bucket per service; the number of services is bounded by the service documents.
  std::unordered_map<std::string, double> tokens;
};

}  // namespace amaranthlatch::calls::details
