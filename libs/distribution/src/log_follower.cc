// Scheduling of log reads and application of their records.

#include "log_follower.h"

#include <algorithm>

namespace amaranthlatch::distribution::details {

namespace {

// Minimum interval between reads that return no new records.
constexpr utils::Duration kMinEmptyReadInterval = utils::Milliseconds(50);

}  // namespace

utils::Duration Backoff::Next() {
  this->delay = std::clamp(this->delay * 2, this->options.backoff_min, this->options.backoff_max);
  return this->delay / 2 + this->random.Jitter(this->delay / 2);
}

LogFollower::LogFollower(const Options& options, Replica& replica, RequestIdGenerator& request_ids,
                         Counters& counters, utils::Random& random)
    : options(options),
      replica(replica),
      request_ids(request_ids),
      counters(counters),
      backoff(options, random) {}

void LogFollower::Send(const Context& context, Offset from, std::uint32_t limit,
                       utils::Duration wait) {
  this->read = Read{.request_id = this->request_ids.Next(),
                    .from = from,
                    .sent = context.now,
                    .deadline = context.now + wait + this->options.read_timeout};
  if (!this->first_sent) {
    this->first_sent = context.now;
  }
  ++this->counters.log_reads;
  context.effects.emplace_back(ReadLog{.request = this->read->request_id,
                                       .stream = Stream::kConfig,
                                       .from = from,
                                       .limit = limit,
                                       .wait = wait});
}

void LogFollower::Run(const Context& context, Mode mode) {
  this->mode = mode;
  if (this->read && this->read->deadline <= context.now) {
    this->HandleFailure(context);
  }
  const bool finished = this->mode == Mode::kHeadOnly && this->first_head && !this->probe;
  if (this->read || this->next_read > context.now || mode == Mode::kOff || finished) {
    return;
  }
  const bool stopped = this->replica.StoppedAt().has_value();
  if (this->mode == Mode::kFollow && !this->NeedsSnapshot() && !stopped) {
    const utils::Duration wait = this->probe ? utils::Duration{} : this->options.poll_wait;
    this->Send(context, this->replica.HeldOffset() + 1, this->options.poll_records, wait);
  } else if (this->probe || this->mode == Mode::kHeadOnly) {
    // Only the head in the response is used.
    const Offset from = std::max(this->first_kept, this->replica.HeldOffset() + 1);
    this->Send(context, from, 1, {});
  }
}

std::optional<utils::Timestamp> LogFollower::NextWake() const {
  if (this->read) {
    return this->read->deadline;
  }
  const bool stopped = this->replica.StoppedAt().has_value();
  const bool follows = this->mode == Mode::kFollow && !this->NeedsSnapshot() && !stopped;
  const bool probes = this->mode != Mode::kOff && (this->probe || !this->first_head);
  return follows || probes ? std::optional(this->next_read) : std::nullopt;
}

bool LogFollower::ApplyRecords(const Context& context, const LogRead& read) {
  const bool stopped_before = this->replica.StoppedAt().has_value();
  const std::size_t count = std::min<std::size_t>(read.records.size(), this->options.poll_records);
  for (std::size_t i = 0; i < count; ++i) {
    const LogRecord& record = read.records[i];
    const ApplyOutcome outcome = this->replica.ApplyRecord(record.offset, record.value);
    if (outcome == ApplyOutcome::kStopped) {
      break;
    }
    if (outcome == ApplyOutcome::kGap) {
      // If the log no longer retains the next entry this node needs, a head-only read starts at the
      // first retained offset; its records cannot be applied.
      return this->NeedsSnapshot();
    }
  }
  if (!stopped_before && this->replica.StoppedAt()) {
    context.effects.emplace_back(FoldStopped{*this->replica.StoppedAt()});
  }
  return true;
}

bool LogFollower::OnRead(const Context& context, const LogRead& read, bool& applied) {
  if (!this->read || read.request != this->read->request_id) {
    return false;
  }
  const Read sent = *this->read;
  const Offset before = this->replica.HeldOffset();
  this->first_kept = std::max(this->first_kept, read.first_kept);
  this->head = std::max(this->head, read.head);
  if (!this->ApplyRecords(context, read) || read.head + 1 < sent.from) {
    this->HandleFailure(context);
    applied = this->replica.HeldOffset() > before;
    return true;
  }
  this->read.reset();
  ++this->finished_reads;
  if (!this->first_head) {
    this->first_head = read.head;
  }
  this->backoff.Reset();
  this->healthy = true;
  this->probe = false;
  applied = this->replica.HeldOffset() > before;
  this->next_read =
      applied ? context.now : std::max(context.now, sent.sent + kMinEmptyReadInterval);
  return true;
}

bool LogFollower::OnFailed(const Context& context, const LogReadFailed& failure) {
  if (!this->read || failure.request != this->read->request_id) {
    return false;
  }
  if (!failure.first_kept) {
    this->HandleFailure(context);
    return true;
  }
  ++this->counters.log_truncations;
  this->first_kept = std::max(this->first_kept, *failure.first_kept);
  this->read.reset();
  ++this->finished_reads;
  this->probe = true;
  this->next_read = context.now + this->backoff.Next();
  return true;
}

void LogFollower::HandleFailure(const Context& context) {
  ++this->counters.log_failures;
  this->read.reset();
  ++this->finished_reads;
  this->healthy = false;
  this->probe = true;
  this->any_read_failed = true;
  this->next_read = context.now + this->backoff.Next();
}

bool LogFollower::Unresponsive(utils::Timestamp now, utils::Duration limit) const {
  if (this->first_head || !this->first_sent) {
    return false;
  }
  return this->any_read_failed || now - *this->first_sent > limit;
}

}  // namespace amaranthlatch::distribution::details
