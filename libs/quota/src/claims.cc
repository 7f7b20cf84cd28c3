// Integration of the share over time.

#include "claims.h"

#include <algorithm>

#include "seconds.h"

namespace amaranthlatch::quota::details {

using utils::Duration;
using utils::Timestamp;

namespace {
constexpr Duration kSampleInterval = utils::Milliseconds(500);
}  // namespace

bool Claims::Advance(Timestamp now, std::uint64_t count) {
  const double share_before = this->Share();
  if (!this->advanced_to) {
    this->advanced_to = now;
  }
  Duration claimed{};
  for (auto claim = this->ends.begin(); claim != this->ends.end();) {
    claimed += std::max(Duration{}, std::min(claim->second, now) - *this->advanced_to);
    claim = claim->second <= now ? this->ends.erase(claim) : std::next(claim);
  }
  const std::uint64_t greatest = std::max(this->member_count, count);
  this->integral += ToSeconds(claimed) / static_cast<double>(greatest);
  this->member_count = count;
  this->advanced_to = now;
  const double share = this->Share();
  if (this->samples.empty() || now - this->samples.back().time >= kSampleInterval) {
    this->samples.push_back(Sample{now, this->integral, share});
    while (now - this->samples.front().time > this->options.idle_time) {
      this->samples.pop_front();
    }
  }
  this->samples.back().lowest_share = std::min(this->samples.back().lowest_share, share);
  return share < share_before;
}

void Claims::Renew(const membership::NodeId& node, Timestamp stamp, Timestamp now) {
  const Timestamp end =
      this->options.guards.claims_expire ? stamp + this->options.delegation_term : Timestamp::max();
  if (end > now) {
    Timestamp& known = this->ends[node];
    known = std::max(known, end);
  }
}

double Claims::Share() const {
  return std::min(1.0,
                  static_cast<double>(this->ends.size()) / static_cast<double>(this->member_count));
}

double Claims::RecentRefill(double rate, double max_credit) const {
  if (this->samples.empty()) {
    return 0.0;
  }
  double credit = (this->integral - this->samples.front().integral) * rate;
  for (std::size_t i = 0; i < this->samples.size(); ++i) {
    // Cut to the lowest share at the latest at the end of the sample, and refilled since.
    const double end =
        i + 1 < this->samples.size() ? this->samples[i + 1].integral : this->integral;
    credit = std::min(credit,
                      this->samples[i].lowest_share * max_credit + (this->integral - end) * rate);
  }
  return std::min(credit, this->Share() * max_credit);
}

}  // namespace amaranthlatch::quota::details
