// Credit of one workspace at a holder.

#pragma once

#include <deque>

#include "amaranthlatch/quota/limit.h"
#include "amaranthlatch/quota/options.h"
#include "amaranthlatch/utils/time.h"
#include "claims.h"

namespace amaranthlatch::quota::details {

// Buckets of all holders and the credit on its way between them never hold more than the maximum
// credit of the workspace: a bucket holds at most the share of its holder, less what it has given
// away within the lifetime of a transfer, and received credit does not count until that time is
// over.
class Bucket {
 public:
  // The credit is what a bucket holds at least that was not used for some time.
  Bucket(const Limit& limit, const Options& options, const Claims& claims);

  const Limit& GetLimit() const { return this->limit; }
  // Applies to the time from now on; the bucket must have been refilled.
  void SetLimit(const Limit& to, const Claims& claims);
  void Refill(const Claims& claims, utils::Timestamp now);

  // Credit that may be granted.
  double Available() const { return this->own + this->received_sum; }
  // Credit that may be transferred: what was received is not passed on.
  double Transferable() const { return this->own; }
  // What the bucket may hold with the present share.
  double Capacity(const Claims& claims) const;

  // Removes credit, at most what is available.
  void Take(double amount);
  // Removes credit that is transferred to another holder, at most what is transferable.
  void Give(double amount, utils::Timestamp now);
  // Adds credit of another holder, which is covered by that holder until the given time.
  void Receive(double amount, utils::Timestamp covered_until);

 private:
  struct Lot {
    double amount = 0.0;
    utils::Timestamp until{};
  };

  void CutToCapacity(const Claims& claims);

  quota::Limit limit;
  const Options& options;
  double max_credit;
  double own = 0.0;
  // Value of the integral of the share up to which the bucket was refilled.
  double refilled_to = 0.0;
  // Credit given away that may still be accepted, oldest first, and its sum.
  std::deque<Lot> given;
  double given_sum = 0.0;
  // Credit received whose cover has not ended, in the order in which it does, and its sum.
  std::deque<Lot> received;
  double received_sum = 0.0;
};

}  // namespace amaranthlatch::quota::details
