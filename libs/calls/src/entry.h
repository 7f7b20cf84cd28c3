// The entry side of calls: routes each call of a caller, makes attempts at gates and answers once.

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
  // Sent; its reply or the answer to a fence decides.
  kOpen,
  // It has not run and never will.
  kNotRun,
  // It may have run; its reply will not come.
  kUnknown,
};

struct Attempt {
  std::uint32_t number = 0;
  membership::NodeId gate;
  std::uint64_t gate_boot_id = 0;
  utils::Timestamp sent{};
  // The backend server has seen the request, or may have.
  bool reached_backend = false;
  AttemptStage stage = AttemptStage::kOpen;
  // When an answer is overdue.
  utils::Timestamp overdue_at{};
  // A fence is repeated at this time until the gate answers it.
  std::optional<utils::Timestamp> next_fence_at;
  // The attempt is given up as unknown at this time.
  std::optional<utils::Timestamp> give_up_at;
};

struct OpenCall {
  std::uint64_t call = 0;
  HttpRequest request;
  // Token as presented, and what it names.
  std::string permit_token;
  std::optional<Permit> permit;
  std::uint64_t request_bytes = 0;
  // Empty only for a call with a permit whose route has gone.
  std::optional<document::RouteMatch> match;
  std::string budget_service;
  std::uint64_t fingerprint = 0;
  std::string fingerprint_service;
  utils::Timestamp deadline{};
  // When the answer is late; the end of time where that makes no difference.
  utils::Timestamp latency_deadline = utils::Timestamp::max();
  bool idempotent = false;
  std::uint32_t max_attempts = 1;
  std::uint32_t redirects = 0;
  // Position in the route's split that this call was given.
  std::optional<std::size_t> target;
  std::vector<Attempt> attempts;
  // Where the next attempt must go; empty for the balancer's choice.
  membership::NodeId redirect;
  std::optional<utils::Timestamp> retry_at;
  // The deadline has passed: open attempts are fenced until this time.
  std::optional<utils::Timestamp> closing_until;
  // Why the call fails if nothing better comes.
  Answer failure;
  // Its entry in the timers.
  utils::Timestamp wake = utils::Timestamp::max();
};

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

  // Acts on all timers that are due.
  void Advance(const Context& context);

  std::optional<utils::Timestamp> NextWake() const;
  bool IsIdle() const { return this->calls.empty(); }
  std::size_t Size() const { return this->calls.size(); }

 private:
  // kOk, or why the call gets no attempt.
  utils::ErrorCode CheckAdmission(const CallReceived& received, const OpenCall& call) const;
  OpenCall MakeCall(const Context& context, const CallReceived& received) const;

  // The gate of the next attempt; null without one.
  const membership::Member* ChooseGate(const Context& context, OpenCall& call);
  void SendAttempt(const Context& context, OpenCall& call);
  CallRequest MakeRequest(const Context& context, const OpenCall& call, const Attempt& attempt,
                          const membership::Member& gate) const;
  utils::Duration AttemptTimeout(const Context& context, const OpenCall& call) const;

  // Fences an attempt now and sets the time of the next fence.
  void Fence(const Context& context, const OpenCall& call, Attempt& attempt, bool abort);
  void OnOverdue(const Context& context, OpenCall& call, Attempt& attempt);
  void BeginClosing(const Context& context, OpenCall& call);
  void AdvanceAttempts(const Context& context, OpenCall& call);
  void AdvanceCall(const Context& context, OpenCall& call);

  // An attempt has ended without the answer: retries, waits for others or finishes.
  void EndAttempt(const Context& context, OpenCall& call, Attempt& attempt, AttemptStage stage,
                  const Answer& failure);
  void RetryOrFail(const Context& context, OpenCall& call);
  // Schedules another attempt if rules, budget and time allow it.
  bool TryRetry(const Context& context, OpenCall& call);
  // Ends the call as failed: not run only if no attempt can have run.
  void Fail(const Context& context, OpenCall& call);
  void Finish(const Context& context, OpenCall& call, Answer answer);

  OpenCall* Find(std::uint64_t call);
  // The open attempt of an id; null for one that is settled or was never made.
  static Attempt* FindOpen(OpenCall& call, std::uint32_t number);
  // The attempt may have run, and the call goes on without it.
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
  std::unordered_map<std::uint64_t, std::unique_ptr<OpenCall>> calls;
  // Sum of the sizes of their requests.
  std::uint64_t open_bytes = 0;
  // One timer for each open call.
  std::set<std::pair<utils::Timestamp, std::uint64_t>> timers;
};

}  // namespace amaranthlatch::calls::details
