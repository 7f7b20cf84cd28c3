// Entry side: admits the calls of this node with the credit that its holder grants.

#pragma once

#include <bitset>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "amaranthlatch/quota/effect.h"
#include "amaranthlatch/quota/message.h"
#include "amaranthlatch/quota/options.h"
#include "amaranthlatch/quota/quota.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"
#include "credit.h"
#include "demand_rate.h"
#include "limit_table.h"

namespace amaranthlatch::quota::details {

class Client {
 public:
  Client(const Options& options, const LimitTable& limits, utils::Random& random,
         Counters& counters, std::vector<Effect>& effects)
      : options(options), limits(limits), random(random), counters(counters), effects(effects) {}

  // client.cc: calls.
  void OnCallArrived(std::uint64_t call, const std::string& workspace, utils::Timestamp now);
  void OnCallGone(std::uint64_t call);
  void OnCallNotRun(const std::string& workspace, utils::Timestamp admitted_at,
                    utils::Timestamp now);
  // `changed`: the workspaces whose limit changed.
  void OnLimitsChanged(const std::vector<std::string>& changed, utils::Timestamp now);
  // Refuses calls that have waited for too long, and drops state of idle workspaces.
  void Poll(utils::Timestamp now);
  // The part of every limit that this node owns, for the time after which refused calls may be sent
  // again.
  void SetShare(double of_each_limit) { this->share = of_each_limit; }

  // client_requests.cc: requests and grants.
  // Returns the request to send now to the holder, but for its delegation.
  CreditRequest MakeRequest(const membership::NodeId& holder, std::uint64_t member_count,
                            utils::Timestamp now);
  // Returns a request without demands, to a node that is not the holder.
  CreditRequest MakeProbe(const membership::NodeId& to, std::uint64_t member_count,
                          utils::Timestamp now);
  void OnGrant(const membership::NodeId& from, const CreditGrant& grant, utils::Timestamp now);
  // Whether this node is its own holder, which answers at once.
  void SetLocalHolder(bool is_local) { this->has_local_holder = is_local; }
  // Makes the next request due at this time at the latest.
  void RequestBy(utils::Timestamp time) { this->next_request = std::min(this->next_request, time); }
  utils::Timestamp NextRequest() const;

  // When Poll() is due.
  std::optional<utils::Timestamp> NextWake() const;
  std::size_t ActiveWorkspaces() const { return this->workspaces.size(); }
  std::size_t WaitingCalls() const { return this->waiting_calls.size(); }

 private:
  struct Workspace {
    Workspace(std::string name, const Limit& limit, std::size_t max_waiting, utils::Timestamp now)
        : name(std::move(name)),
          limit(limit),
          max_waiting(max_waiting),
          demand(now),
          last_call(now),
          recent_since(now) {}

    std::string name;
    Limit limit;
    Credit credit;
    // Calls that wait, oldest first. While there are any, no credit is valid.
    std::deque<std::uint64_t> waiting;
    std::size_t max_waiting;
    DemandRate demand;
    // The latest request asked for this much credit, and did not get all of it.
    std::uint32_t wanted = 0;
    bool is_short = false;
    // Before this time the holder expects no credit, so that calls are refused at once.
    utils::Timestamp exhausted_until{};
    utils::Timestamp last_call;
    utils::Timestamp last_refusal{};
    // Calls refused and credit granted within about the last second, as of `recent_since`.
    double recent_refused = 0.0;
    double recent_granted = 0.0;
    utils::Timestamp recent_since;
    // Whether LimitStateChanged was reported, and the counts since it was last.
    bool is_limited = false;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
  };
  struct SentRequest {
    utils::Timestamp time{};
    membership::NodeId to;
    // The numbers of the grants that were accepted.
    std::bitset<64> accepted;
  };

  void Admit(Workspace& workspace, std::uint64_t call);
  void Refuse(Workspace& workspace, std::uint64_t call, utils::Timestamp now);
  void Wait(Workspace& workspace, std::uint64_t call, utils::Timestamp now);
  void AdmitWaiting(Workspace& workspace, utils::Timestamp now);
  void RefuseWaiting(Workspace& workspace, utils::Timestamp now);
  utils::Duration RetryAfter(const Workspace& workspace);
  static void UpdateRecent(Workspace& workspace, utils::Timestamp now);
  void ReportState(Workspace& workspace, bool is_limited);
  void DropIdle(utils::Timestamp now);

  void ReplenishIfLow(const Workspace& workspace, utils::Timestamp now);
  // Credit to ask for beyond that for the calls that wait.
  std::uint32_t ExpectedCalls(const Workspace& workspace, utils::Timestamp now) const;
  Stamp MakeStamp(const membership::NodeId& to, utils::Timestamp now);
  // Whether the grant answers a request of this process while its credit is valid, for the first
  // time.
  bool AcceptGrant(const membership::NodeId& from, const CreditGrant& grant, utils::Timestamp now);
  void ApplyGrant(const Grant& grant, utils::Timestamp expires, utils::Timestamp now);

  const Options& options;
  const LimitTable& limits;
  utils::Random& random;
  Counters& counters;
  std::vector<Effect>& effects;
  std::map<std::string, Workspace> workspaces;
  // The workspace of each call that waits.
  std::unordered_map<std::uint64_t, Workspace*> waiting_calls;
  // In the order in which the calls arrived, which is that of their deadlines. Calls that no longer
  // wait stay until they reach the front.
  std::deque<std::pair<utils::Timestamp, std::uint64_t>> deadlines;
  // Requests whose answer may still grant credit, oldest first.
  std::deque<SentRequest> sent;
  utils::Timestamp last_stamp{};
  utils::Timestamp last_request{};
  utils::Timestamp next_request{};
  utils::Timestamp next_cleanup{};
  bool has_local_holder = false;
  double share = 0.0;
};

}  // namespace amaranthlatch::quota::details
