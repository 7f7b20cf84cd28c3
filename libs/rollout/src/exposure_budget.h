// Bounds the number of runs that the gates of the new version may start while exposure is limited.
//
// The budget grows with the runs that participants have reported. Since a gate never starts more
// runs than it was granted, lost, duplicated or delayed messages only lower the exposure.

#pragma once

#include <algorithm>
#include <cstdint>

namespace amaranthlatch::rollout::details {

class ExposureBudget {
 public:
  // Shares and numbers of requests: `share` and `slack` bound the exposure; the budget starts with
  // a fifth of the slack and never exceeds 0.9 of the share and half of the slack. The rest is left
  // for the runs of the new version between the last limited phase and a stop.
  ExposureBudget(double share, double slack)
      : share(share), slack(slack), budget(kInitialSlack * slack) {}

  // Adds runs reported by a participant, of which `budget_share` may be granted again.
  void AddRuns(std::uint64_t count, bool is_new, double budget_share) {
    this->total += count;
    this->exposure += is_new ? count : 0;
    this->budget += budget_share * static_cast<double>(count);
  }
  // The allowance of a process that an earlier coordinator granted.
  void AddEarlierGrant(std::uint64_t allowance) { this->earlier_known += allowance; }
  // The sum of the grants of an earlier coordinator, with those to processes that have not reported
  // or are gone.
  void RaiseEarlierSum(std::uint64_t granted) {
    this->earlier_sum = std::max(this->earlier_sum, granted);
  }

  // Takes back runs that a gate was granted and can no longer start.
  void Reclaim(std::uint64_t count) { this->own -= std::min(count, this->own); }

  // Runs to add to the allowance of a gate that has `unspent` runs left, one of `gates`. A gate
  // gets its share of all unspent runs, in steps of at least `chunk`, so that its server runs under
  // the usual load while it has any.
  std::uint64_t Grant(std::uint64_t unspent, std::size_t gates, std::uint64_t chunk) {
    const double limit = this->Limit();
    const auto granted_before = static_cast<double>(this->Granted());
    const double available = limit - granted_before;
    const double unspent_total = limit - static_cast<double>(this->exposure);
    const double target =
        std::max(static_cast<double>(chunk),
                 unspent_total / static_cast<double>(std::max<std::size_t>(gates, 1)));
    const double wanted = std::min(target - static_cast<double>(unspent), available);
    if (wanted < 1.0 || wanted < static_cast<double>(chunk) / 2) {
      return 0;
    }
    const auto count = static_cast<std::uint64_t>(wanted);
    this->own += count;
    return count;
  }

  // Sum of all allowances.
  std::uint64_t Granted() const {
    return std::max(this->earlier_known, this->earlier_sum) + this->own;
  }
  // Runs reported, of all versions and of the new one.
  std::uint64_t Total() const { return this->total; }
  std::uint64_t Exposure() const { return this->exposure; }

 private:
  static constexpr double kInitialSlack = 0.2;
  static constexpr double kMaxShare = 0.9;
  static constexpr double kMaxSlack = 0.5;

  double Limit() const {
    return std::min(this->budget, kMaxShare * this->share * static_cast<double>(this->total) +
                                      kMaxSlack * this->slack);
  }

  double share;
  double slack;
  double budget;
  std::uint64_t total = 0;
  std::uint64_t exposure = 0;
  std::uint64_t earlier_known = 0;
  std::uint64_t earlier_sum = 0;
  std::uint64_t own = 0;
};

}  // namespace amaranthlatch::rollout::details
