// State of the permits issued by a gate.

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

// A permit never returns to kUnused, so each sequence number runs at most once.
enum class PermitState : std::uint8_t {
  kUnused,
  // The request is queued or in flight.
  kPending,
  kDone,
  // The request was refused as not run, so the permit must never be used.
  kInvalid,
};

struct PermitRecord {
  PermitState state = PermitState::kUnused;
  utils::Timestamp issued{};
  // Hash of the request that used the permit.
  std::uint64_t request_hash = 0;
  // Key of the attempt that used the permit, while pending.
  std::uint64_t attempt_key = 0;
  // Whether the request was sent to the backend server.
  bool ran = false;
  // Copies of the request that wait for the answer to the first.
  std::vector<AttemptId> waiting;
  // Answer of a done permit; null after it has been dropped.
  std::shared_ptr<const Answer> answer;
};

class PermitLedger {
 public:
  explicit PermitLedger(const PermitOptions& options) : options(options) {}

  // Returns the next sequence number, or nullopt if the ledger is full and no record can be
  // evicted.
  std::optional<std::uint64_t> Issue(utils::Timestamp now);

  // Returns null if the permit is unknown or has been removed.
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
  // Sequence numbers in order of issue; every record has one entry.
  std::deque<std::uint64_t> issued;
  // Retained answers in order of completion; `answer_bytes` is the sum of their sizes.
  std::deque<RetainedAnswer> retained_answers;
  std::uint64_t answer_bytes = 0;
  // Done permits whose answer was dropped: evicted first when the ledger is full.
  std::deque<std::uint64_t> without_answer;
};

}  // namespace amaranthlatch::calls::details
