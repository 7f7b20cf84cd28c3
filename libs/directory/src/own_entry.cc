// Updates and writes of the record of this node.

#include "own_entry.h"

#include <utility>

#include "stream_follower.h"

namespace amaranthlatch::directory::details {

using membership::Member;
using membership::MemberState;

OwnEntry::OwnEntry(const Options& options) : options(options) {
  this->record.id = options.id;
  this->record.region = options.region;
  this->record.zone = options.zone;
  this->record.data_address = options.data_address;
  this->record.boot_id = options.boot_id;
  this->record.incarnation = 1;
  this->record.state = MemberState::kJoining;
}

void OwnEntry::SetBackendServer(std::string service, std::map<std::string, std::string> labels,
                                std::uint32_t slots) {
  if (this->withdrawal) {
    Member labelled;
    labelled.labels = std::move(labels);
    directory::SetWithdrawal(labelled, *this->withdrawal);
    labels = std::move(labelled.labels);
  }
  if (this->record.service == service && this->record.labels == labels &&
      this->record.slots == slots) {
    return;
  }
  this->record.service = std::move(service);
  this->record.labels = std::move(labels);
  this->record.slots = slots;
  ++this->record.incarnation;
  this->dirty = true;
}

void OwnEntry::SetState(MemberState state) {
  if (state == this->record.state) {
    return;
  }
  // Among records of the same incarnation the later state takes precedence, so a return to an
  // earlier state needs a new incarnation.
  if (state < this->record.state) {
    ++this->record.incarnation;
  }
  this->record.state = state;
  this->dirty = true;
}

void OwnEntry::SetWithdrawal(const Withdrawal& next) {
  if (this->withdrawal == next) {
    return;
  }
  this->withdrawal = next;
  directory::SetWithdrawal(this->record, next);
  ++this->record.incarnation;
  this->dirty = true;
}

std::optional<Withdrawal> OwnEntry::OnRecordRead(const Member& stored) {
  const bool is_same_process = stored.boot_id == this->record.boot_id;
  const std::optional<Withdrawal> found = GetWithdrawal(stored);
  this->stored_withdrawal = is_same_process ? found : std::nullopt;
  if (stored == this->record) {
    return std::nullopt;
  }
  if (!is_same_process && stored.incarnation >= this->record.incarnation) {
    this->record.incarnation = stored.incarnation + 1;
  }
  // A write in flight already replaces the older record.
  this->dirty = this->dirty || !this->write_in_flight;
  if (is_same_process || this->withdrawal || !found) {
    return std::nullopt;
  }
  this->SetWithdrawal(*found);
  return found;
}

bool OwnEntry::OnRecordMissing() {
  if (!this->acknowledged || this->dirty || this->write_in_flight) {
    return false;
  }
  this->stored_withdrawal.reset();
  this->dirty = true;
  return true;
}

bool OwnEntry::IsReplacedBy(const Member& stored) const {
  return this->acknowledged && !this->write_in_flight && stored != *this->acknowledged &&
         stored.incarnation <= this->acknowledged->incarnation;
}

void OwnEntry::SpreadWrite(utils::Random& random, utils::Timestamp now) {
  if (!this->withdrawal) {
    this->next_write_time = now + random.Jitter(this->options.lost_record_spread);
  }
}

std::optional<Member> OwnEntry::Poll(utils::Timestamp now) {
  if (!this->IsWriteDue() || now < this->next_write_time) {
    return std::nullopt;
  }
  this->write_in_flight = true;
  this->dirty = false;
  this->written = this->record;
  return this->record;
}

void OwnEntry::OnWriteCompleted(bool is_written, utils::Random& random, utils::Timestamp now) {
  this->write_in_flight = false;
  if (is_written) {
    this->consecutive_failures = 0;
    this->stored_withdrawal = GetWithdrawal(this->written);
    this->acknowledged = this->written;
    this->dirty = this->written != this->record;
    return;
  }
  ++this->consecutive_failures;
  this->dirty = true;
  this->next_write_time = now + RetryDelay(this->options, this->consecutive_failures, random);
}

std::optional<utils::Timestamp> OwnEntry::NextWake() const {
  return this->IsWriteDue() ? std::optional(this->next_write_time) : std::nullopt;
}

}  // namespace amaranthlatch::directory::details
