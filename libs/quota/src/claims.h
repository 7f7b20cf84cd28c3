// The delegations that a holder has received: how much of every limit it may refill.
//
// A claim ends one term after the stamp that the node echoed, by the clock of the holder. The
// integral of the share over time is kept, so that a bucket is refilled on demand: by its rate
// times the growth of the integral since it was last refilled.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "amaranthlatch/quota/message.h"
#include "amaranthlatch/quota/options.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota::details {

class Claims {
 public:
  explicit Claims(const Options& options) : options(options) {}

  // Accounts for the time until `now`. Returns whether the share became smaller.
  bool Advance(utils::Timestamp now, std::uint64_t member_count);
  // A node echoed `stamp`, which this process made. Advance() must have been called for this time.
  void Renew(const membership::NodeId& node, utils::Timestamp stamp, utils::Timestamp now);

  // The part of every limit that is delegated to this node now.
  double Share() const;
  // The integral of the share, in seconds.
  double Integral() const { return this->integral; }
  // What a bucket holds at least that was not used for the idle time, if it refills at `rate` for a
  // share of 1 and holds up to `max_credit` of that share.
  double RecentRefill(double rate, double max_credit) const;
  std::size_t Count() const { return this->ends.size(); }

 private:
  struct Sample {
    utils::Timestamp time{};
    double integral = 0.0;
    // From this sample to the next one.
    double lowest_share = 0.0;
  };

  const Options& options;
  // When the claim on the share of each node ends.
  std::map<membership::NodeId, utils::Timestamp> ends;
  std::uint64_t member_count = 1;
  double integral = 0.0;
  std::optional<utils::Timestamp> advanced_to;
  // Two samples per second, oldest first; never empty after the first Advance().
  std::deque<Sample> samples;
};

}  // namespace amaranthlatch::quota::details
