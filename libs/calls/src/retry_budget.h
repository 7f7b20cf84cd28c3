// Token bucket that bounds the retries of each service to a share of its calls.

#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace amaranthlatch::calls::details {

class RetryBudget {
 public:
  // `burst` tokens are there at the start and at most; without `limited` every retry is allowed.
  RetryBudget(double burst, bool limited) : burst(burst), limited(limited) {}

  // Every call adds `percent` hundredths of a retry to its service's bucket.
  void OnCall(const std::string& service, std::uint32_t percent);
  // Takes one retry; false if the bucket holds none.
  bool TrySpend(const std::string& service);

 private:
  double burst;
  bool limited;
  // Grows with the number of services, which the documents bound.
  std::unordered_map<std::string, double> tokens;
};

}  // namespace amaranthlatch::calls::details
