// Permit states and retained answers, bounded by age and size.

#include "permit_ledger.h"

namespace amaranthlatch::calls::details {

namespace {
// Records are kept for this many lifetimes after issue, so that an expired permit is still known to
// be unused.
constexpr int kRetentionLifetimes = 2;
constexpr std::uint64_t kAnswerOverheadBytes = 256;

std::uint64_t SizeOf(const Answer& answer) {
  std::uint64_t bytes = kAnswerOverheadBytes + answer.message.size() + answer.response.body.size();
  for (const auto& [name, value] : answer.response.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}
}  // namespace

std::optional<std::uint64_t> PermitLedger::Issue(utils::Timestamp now) {
  while (this->records.size() >= this->options.capacity && !this->without_answer.empty()) {
    this->records.erase(this->without_answer.front());
    this->without_answer.pop_front();
  }
  if (this->records.size() >= this->options.capacity) {
    return std::nullopt;
  }
  const std::uint64_t sequence = ++this->last_sequence;
  this->records[sequence].issued = now;
  this->issued.push_back(sequence);
  return sequence;
}

PermitRecord* PermitLedger::Find(std::uint64_t sequence) {
  const auto found = this->records.find(sequence);
  return found == this->records.end() ? nullptr : &found->second;
}

bool PermitLedger::IsExpired(const PermitRecord& record, utils::Timestamp now) const {
  return now - record.issued >= this->options.lifetime;
}

void PermitLedger::Finish(std::uint64_t sequence, const Answer& answer, utils::Timestamp now) {
  PermitRecord* record = this->Find(sequence);
  if (record == nullptr) {
    return;
  }
  record->state = PermitState::kDone;
  record->waiting.clear();
  record->answer = std::make_shared<const Answer>(answer);
  const std::uint64_t bytes = SizeOf(answer);
  this->retained_answers.push_back(RetainedAnswer{now, sequence, bytes});
  this->answer_bytes += bytes;
  while (this->answer_bytes > this->options.answer_bytes) {
    this->DropOldestAnswer();
  }
}

void PermitLedger::DropOldestAnswer() {
  const RetainedAnswer oldest = this->retained_answers.front();
  this->retained_answers.pop_front();
  this->answer_bytes -= oldest.bytes;
  if (PermitRecord* record = this->Find(oldest.sequence)) {
    record->answer = nullptr;
    this->without_answer.push_back(oldest.sequence);
  }
}

void PermitLedger::Expire(utils::Timestamp now) {
  while (!this->retained_answers.empty() &&
         now - this->retained_answers.front().done >= this->options.answer_retention) {
    this->DropOldestAnswer();
  }
  const utils::Duration retention = this->options.lifetime * kRetentionLifetimes;
  while (!this->issued.empty()) {
    const std::uint64_t sequence = this->issued.front();
    const PermitRecord* record = this->Find(sequence);
    if (record != nullptr) {
      if (now - record->issued < retention || record->state == PermitState::kPending) {
        break;
      }
      this->records.erase(sequence);
    }
    this->issued.pop_front();
  }
}

}  // namespace amaranthlatch::calls::details
