// What a gate knows of the permits it has issued.

#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amaranthlatch/calls/message.h"
#include "amaranthlatch/calls/options.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::calls::details {

// A permit leaves kUnused once and never returns: each sequence number runs at most once.
enum class PermitState : std::uint8_t {
  kUnused,
  // Its request waits or is in flight.
  kPending,
  kDone,
  // A refusal said that its request was not run; so it never will be.
  kInvalid,
};

struct PermitRecord {
  PermitState state = PermitState::kUnused;
  utils::Timestamp issued{};
  // Hash of the request that used the permit.
  std::uint64_t request_hash = 0;
  // Key of the attempt that used it, while pending.
  std::uint64_t attempt_key = 0;
  // True once the request was handed to the backend server.
  bool ran = false;
  // Copies of the request that wait for the answer of the first.
  std::vector<AttemptId> waiting;
  // Of a done permit; null once it is dropped.
  std::shared_ptr<const Answer> answer;
};

class PermitLedger {
 public:
  explicit PermitLedger(const PermitOptions& options) : options(options) {}

  // The next sequence number, or none while as many permits as can be kept are unused.
  std::optional<std::uint64_t> Issue(utils::Timestamp now);

  // Null for a permit that is no longer known.
  PermitRecord* Find(std::uint64_t sequence);
  bool IsExpired(const PermitRecord& record, utils::Timestamp now) const;

  void Finish(std::uint64_t sequence, const Answer& answer, utils::Timestamp now);
  void Expire(utils::Timestamp now);

  std::size_t Size() const { return this->records.size(); }
  std::uint64_t AnswerBytes() const { return this->answer_bytes; }

 private:
  struct RetainedAnswer {
    utils::Timestamp done{};
    std::uint64_t sequence = 0;
    std::uint64_t bytes = 0;
  };

  void DropOldestAnswer();

  PermitOptions options;
  std::uint64_t last_sequence = 0;
  std::unordered_map<std::uint64_t, PermitRecord> records;
  // Sequence numbers in the order of their issue; every record has one entry.
  std::deque<std::uint64_t> issued;
  // Answers in the order of their completion; `answer_bytes` is the sum of their sizes.
  std::deque<RetainedAnswer> retained_answers;
  std::uint64_t answer_bytes = 0;
  // Done permits without an answer: the first to be forgotten when the ledger is full.
  std::deque<std::uint64_t> without_answer;
};

}  // namespace amaranthlatch::calls::details
