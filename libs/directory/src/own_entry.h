// The record of this node, and when to write it to the register.

#pragma once

#include <optional>

#include "amaranthlatch/directory/options.h"
#include "amaranthlatch/directory/withdrawal.h"
#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::directory::details {

class OwnEntry {
 public:
  explicit OwnEntry(const Options& options);

  // The record that the register should hold.
  const membership::Member& Record() const { return this->record; }

  // The record of the latest write.
  const membership::Member& Written() const { return this->written; }

  // Update the record. The incarnation is incremented unless the only change is to a later state.
  void SetBackendServer(std::string service, std::map<std::string, std::string> labels,
                        std::uint32_t slots);
  void SetState(membership::MemberState state);
  void SetWithdrawal(const Withdrawal& withdrawal);

  // The withdrawal that the register was last known to hold in a record of this process; none if it
  // holds none.
  const std::optional<Withdrawal>& StoredWithdrawal() const { return this->stored_withdrawal; }

  // The register came back from an older copy: what it holds is unknown until it is read again.
  void OnRegisterRestored() { this->stored_withdrawal.reset(); }

  // The register holds no record of this node. Returns whether it had acknowledged one.
  bool OnRecordMissing();

  // Whether the register has acknowledged a later record than this one, which it holds.
  bool IsReplacedBy(const membership::Member& stored) const;

  // Puts a write off by a random time, unless it withdraws the backend server: many nodes may have
  // lost a record at the same moment.
  void SpreadWrite(utils::Random& random, utils::Timestamp now);

  // Handles the record that the register holds under the id of this node. A record of an earlier
  // process, or an earlier record whose write was delayed, must be overwritten. Returns the
  // withdrawal that an earlier process left, if this process has none.
  std::optional<Withdrawal> OnRecordRead(const membership::Member& stored);

  // Returns the record to write now, if any. Nothing is written before a backend server, or the
  // withdrawal of one, is known.
  std::optional<membership::Member> Poll(utils::Timestamp now);
  void OnWriteCompleted(bool written, utils::Random& random, utils::Timestamp now);
  std::optional<utils::Timestamp> NextWake() const;

 private:
  bool IsWriteDue() const {
    return this->dirty && !this->write_in_flight &&
           (!this->record.service.empty() || this->withdrawal);
  }

  const Options& options;
  membership::Member record;
  std::optional<Withdrawal> withdrawal;
  std::optional<Withdrawal> stored_withdrawal;
  // The register is not known to hold `record`.
  bool dirty = true;
  bool write_in_flight = false;
  // The latest record whose write the register acknowledged.
  std::optional<membership::Member> acknowledged;
  // The record most recently passed to a write; `record` may have changed since.
  membership::Member written;
  std::uint32_t consecutive_failures = 0;
  utils::Timestamp next_write_time{};
};

}  // namespace amaranthlatch::directory::details
