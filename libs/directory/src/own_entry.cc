// Changes and writes of the record of this node.

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
  // Of two records of one incarnation the later state wins.
  if (state < this->record.state) {
    ++this->record.incarnation;
  }
  this->record.state = state;
  this->dirty = true;
}

void OwnEntry::OnStored(const Member& stored) {
  if (stored == this->record) {
    return;
  }
  const bool own_process = stored.boot_id == this->record.boot_id;
  if (!own_process && stored.incarnation >= this->record.incarnation) {
    this->record.incarnation = stored.incarnation + 1;
  }
  // The record under way replaces an older one by itself.
  this->dirty = this->dirty || !this->writing;
}

std::optional<Member> OwnEntry::Poll(utils::Timestamp now) {
  if (!this->IsWriteDue() || now < this->next_write) {
    return std::nullopt;
  }
  this->writing = true;
  this->dirty = false;
  this->written = this->record;
  return this->record;
}

void OwnEntry::OnWriteEnded(bool is_written, utils::Random& random, utils::Timestamp now) {
  this->writing = false;
  if (is_written) {
    this->failures = 0;
    this->dirty = this->written != this->record;
    return;
  }
  ++this->failures;
  this->dirty = true;
  this->next_write = now + RetryDelay(this->options, this->failures, random);
}

std::optional<utils::Timestamp> OwnEntry::NextWake() const {
  return this->IsWriteDue() ? std::optional(this->next_write) : std::nullopt;
}

}  // namespace amaranthlatch::directory::details
