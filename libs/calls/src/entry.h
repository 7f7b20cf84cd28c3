// Entry side of calls: routes each call, sends attempts to gates and answers the caller once.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer.h"
#include "context.h"
#include "permit_codec.h"
#include "retry_budget.h"

namespace amaranthlatch::calls::details {

enum class AttemptStage : std::uint8_t {
  // Sent; the outcome is decided by its reply or by the reply to a fence.
  kOpen,
  // The attempt has not run and never will.
  kNotRun,
  // The attempt may have run; no reply is expected any more.
  kUnknown,
};

struct Attempt {
  std::uint32_t number = 0;
  membership::NodeId gate;
  std::uint64_t gate_boot_id = 0;
  utils::Timestamp sent{};
  // The backend server has received the request, or may have.
  bool reached_backend = false;
  AttemptStage stage = AttemptStage::kOpen;
  // Time at which the attempt is fenced or another one is made if there is no answer yet.
  utils::Timestamp overdue_at{};
  // Time of the next fence; unset if none was sent or the gate has answered.
  std::optional<utils::Timestamp> next_fence_at;
  // Time at which the attempt is given up and counts as unknown.
  std::optional<utils::Timestamp> give_up_at;
};

struct OpenCall {
  std::uint64_t call = 0;
  HttpRequest request;
  // Permit token as presented, and its decoded form if valid.
  std::string permit_token;
  std::optional<Permit> permit;
  std::uint64_t request_bytes = 0;
  // See CallReceived; judged again before each further attempt.
  Headers credentials;
  bool credentials_forwarded = false;
  std::string key;
  std::string workspace;
  std::optional<document::Priority> priority;
  // After admission empty only for a call with a permit whose route no longer exists.
  std::optional<document::RouteMatch> match;
  std::string budget_service;
  std::uint64_t fingerprint = 0;
  std::string fingerprint_service;
  utils::Timestamp deadline{};
  // Time by which an answer meets the target latency of the route; max() if the route has none.
  utils::Timestamp latency_deadline = utils::Timestamp::max();
  // Time after which a refused attempt is not moved to another gate.
  utils::Timestamp move_deadline = utils::Timestamp::max();
  bool idempotent = false;
  std::uint32_t max_attempts = 1;
  std::uint32_t redirects = 0;
  // Index of the split target of the route that was selected for this call.
  std::optional<std::size_t> target;
  std::vector<Attempt> attempts;
  // Gate of the next attempt; empty to let the balancer choose.
  membership::NodeId redirect;
  std::optional<utils::Timestamp> retry_at;
  // Whether the next attempt is a move, which pauses first if it would ask a gate again.
  bool moving = false;
  // What the next attempt has been charged to the retry budget, if it is a retry.
  std::optional<double> charge;
  // Set once the deadline has passed: open attempts are fenced until this time.
  std::optional<utils::Timestamp> closing_until;
  // The answer if no attempt succeeds.
  Answer failure;
  // Key of this call in Entry::timers.
  utils::Timestamp wake = utils::Timestamp::max();
};

// Time after which an attempt that was refused is not moved. All else of the call must be set.
utils::Timestamp MoveDeadlineOf(const OpenCall& call, utils::Timestamp now);
// Longest expected wait at a gate to which the call moves, if an answer is due within `budget`.
utils::Duration MoveBudget(const OpenCall& call, utils::Duration budget);

// Service to which the split of the route sends the call, which must have a route.
const std::string& TargetServiceOf(const OpenCall& call);

// The priority of its workspace, otherwise that of its route.
document::Priority PriorityOf(const OpenCall& call);

// Key of the route of the call in ServiceTimes; 0 without a route.
RouteKey RouteKeyOf(const OpenCall& call);

class Entry {
 public:
  Entry(SharedState& shared, Balancer& balancer);

  void OnCall(const Context& context, const CallReceived& received);
  void OnCallerGone(const Context& context, std::uint64_t call);
  void OnReply(const Context& context, const CallReply& reply);
  void OnCancelReply(const Context& context, const CallCancelReply& reply);
  void OnNotSent(const Context& context, const AttemptId& id);
  void OnPeerUnreachable(const Context& context, const membership::NodeId& id);
  void SetAdmission(bool open) { this->open = open; }
  void SetDraining() { this->draining = true; }
  // See ShutdownScheduled.
  void OnShutdownScheduled(const Context& context, utils::Duration time_left);

  // Handles all timers that are due.
  void Advance(const Context& context);

  std::optional<utils::Timestamp> NextWake() const;
  bool IsIdle() const { return this->calls.empty(); }
  std::size_t Size() const { return this->calls.size(); }

 private:
  // Returns kOk, or the reason why the call is refused.
  utils::ErrorCode CheckAdmission(const CallReceived& received, const OpenCall& call) const;
  OpenCall MakeCall(const Context& context, const CallReceived& received) const;

  // Returns the gate for the next attempt; null if there is none.
  const membership::Member* ChooseGate(const Context& context, OpenCall& call);
  void SendAttempt(const Context& context, OpenCall& call);
  // Judges the call by the configuration in force before a further attempt. Returns false and sets
  // the failure if it may not be attempted.
  bool AuthorizeAgain(const Context& context, OpenCall& call);
  CallRequest MakeRequest(const Context& context, const OpenCall& call, const Attempt& attempt,
                          const membership::Member& gate) const;
  // Time after which an idempotent call is sent to another gate while the first one runs, so that
  // it is still answered within its target latency; max() if that is not worthwhile.
  utils::Duration HedgeDelay(const Context& context, const OpenCall& call) const;
  utils::Duration AttemptTimeout(const Context& context, const OpenCall& call) const;

  // Whether the call may be open when this process ends.
  bool OutlastsProcess(const OpenCall& call) const;
  // Time by which a gate has to answer the call, because this process ends; max() if the call ends
  // before.
  utils::Timestamp AnswerLimit(const OpenCall& call) const;
  // Whether an attempt that starts to run now is expected to end before this process.
  bool HasTimeForAttempt(const Context& context, const OpenCall& call) const;
  // Answers all callers because the process ends.
  void EndAllCalls(const Context& context);

  // Sends a fence for the attempt and schedules the next one.
  void Fence(const Context& context, const OpenCall& call, Attempt& attempt, bool abort);
  void OnOverdue(const Context& context, OpenCall& call, Attempt& attempt);
  void BeginClosing(const Context& context, OpenCall& call);
  void AdvanceAttempts(const Context& context, OpenCall& call);
  void AdvanceCall(const Context& context, OpenCall& call);

  // Records that an attempt ended without an answer, then retries, waits for other attempts or
  // fails the call.
  void EndAttempt(const Context& context, OpenCall& call, Attempt& attempt, AttemptStage stage,
                  const Answer& failure);
  void RetryOrFail(const Context& context, OpenCall& call);
  // Schedules another attempt if the retry rules, the budget and the deadline allow it.
  bool TryRetry(const Context& context, OpenCall& call);
  // Returns the charge of a retry that is not made.
  void RefundRetry(OpenCall& call);
  // Schedules a move to another gate at once, unless it is too late for it.
  bool TryMove(const Context& context, OpenCall& call);
  // Whether the gate just chosen for a move has a queue about as long as the one that refused.
  bool WouldBeRefusedAgain(const Context& context, const OpenCall& call);
  // Whether a move to this gate would ask it again without a pause.
  static bool NeedsPause(const OpenCall& call, const membership::Member& gate);
  // Schedules the attempt after a pause; false if it would be too late then.
  bool TryPause(const Context& context, OpenCall& call);
  // When the caller of a call refused with this code should send it again; empty to leave the
  // advice to the code.
  std::optional<utils::Duration> AdviseRetry(const Context& context, const OpenCall& call,
                                             utils::ErrorCode code);
  // Fails the call; the answer is "not run" only if no attempt can have run.
  void Fail(const Context& context, OpenCall& call);
  void Finish(const Context& context, OpenCall& call, Answer answer);

  // In ascending order: effects must not depend on the order of an unordered map.
  std::vector<std::uint64_t> OpenCallNumbers() const;
  OpenCall* Find(std::uint64_t call);
  // Returns the open attempt with this number; null if it has ended or does not exist.
  static Attempt* FindOpen(OpenCall& call, std::uint32_t number);
  // Whether the attempt was given up and counted as unknown while the call continued.
  static bool IsGivenUp(const OpenCall& call, std::uint32_t number);
  bool IsOwnAttempt(const Context& context, const AttemptId& id) const;
  void Schedule(OpenCall& call);
  static utils::Timestamp ComputeWake(const OpenCall& call);

  SharedState& shared;
  Balancer& balancer;
  PermitCodec codec;
  RetryBudget budget;
  bool open = false;
  bool draining = false;
  // Time by which all callers have an answer, because the process ends then.
  std::optional<utils::Timestamp> answer_limit;
  std::unordered_map<std::uint64_t, std::unique_ptr<OpenCall>> calls;
  // Total size in bytes of the requests in `calls`.
  std::uint64_t open_bytes = 0;
  // One timer per open call, ordered by time.
  std::set<std::pair<utils::Timestamp, std::uint64_t>> timers;
};

}  // namespace amaranthlatch::calls::details
