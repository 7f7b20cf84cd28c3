// Holder side: refills the credit of the workspaces from the shares that nodes delegate, and grants
// it where calls arrive.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "amaranthlatch/quota/effect.h"
#include "amaranthlatch/quota/message.h"
#include "amaranthlatch/quota/options.h"
#include "amaranthlatch/quota/quota.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"
#include "bucket.h"
#include "claims.h"
#include "limit_table.h"
#include "transfer_rounds.h"

namespace amaranthlatch::quota::details {

// Credit is granted ahead of calls that are not sure to come while a bucket is filled to this part,
// and a holder asks others for credit up to this level. With a lower one, credit that expires
// unused lacks when demand comes near to the quota.
inline constexpr double kFullPart = 0.5;
// Time constant of the average of the credit that others give.
inline constexpr double kInflowSeconds = 0.5;

class Holder {
 public:
  Holder(const Options& options, const LimitTable& limits, utils::Random& random,
         Counters& counters, std::vector<Effect>& effects)
      : options(options),
        limits(limits),
        counters(counters),
        effects(effects),
        claims(options),
        rounds(options, random) {}

  // Accounts for the time until `now`; to be called before all other functions.
  void Advance(utils::Timestamp now, std::uint64_t member_count);
  void OnLimitsChanged(const std::vector<std::string>& changed, utils::Timestamp now);
  // The candidates of the other groups, best first.
  void SetGroups(const std::vector<std::vector<membership::NodeId>>& groups);
  void OnRequest(const membership::NodeId& from, const CreditRequest& request,
                 utils::Timestamp now);
  // `holder`: the holder of this node, which answers in its place if this one refills nothing.
  void OnTransferRequest(const membership::NodeId& from, const TransferRequest& request,
                         const membership::NodeId& holder, utils::Timestamp now);
  void OnTransfer(const membership::NodeId& from, const Transfer& transfer, utils::Timestamp now);
  void OnPeerUnreachable(const membership::NodeId& id, utils::Timestamp now) {
    this->rounds.OnPeerUnreachable(id, now);
  }
  // Grants credit that has become available to calls that wait, and asks for what is lacking.
  void Poll(utils::Timestamp now);

  std::optional<utils::Timestamp> NextWake() const;
  std::size_t AccountCount() const { return this->accounts.size(); }
  std::size_t DelegationCount() const { return this->claims.Count(); }

 private:
  // A node that sent a request, to which grants are addressed.
  struct Requester {
    Stamp latest;
    std::uint32_t next_part = 0;
    utils::Timestamp seen_at{};
  };
  struct NodeDemand {
    membership::NodeId node;
    // Calls per second.
    double rate = 0.0;
    // Calls that wait for credit.
    std::uint32_t waiting = 0;
    utils::Timestamp updated_at{};
  };
  struct Account {
    Account(Bucket bucket, utils::Timestamp now) : bucket(std::move(bucket)), last_used(now) {}

    double Rate() const;
    std::uint32_t Waiting() const;

    Bucket bucket;
    // In the order in which the nodes began to ask.
    std::vector<NodeDemand> demands;
    utils::Timestamp last_used;
    // The latest round that asked for credit, how much it asked for, and what it brought.
    bool is_round_open = false;
    utils::Timestamp last_round{};
    // No round begins before.
    utils::Timestamp next_round{};
    double asked = 0.0;
    double received = 0.0;
    // Whether the round before brought next to nothing.
    bool was_in_vain = false;
    // Until then, the answers of the latest round are taken for the present state of the others.
    utils::Timestamp others_known_until{};
    // Credit per second received lately, as of `inflow_at`.
    double inflow = 0.0;
    utils::Timestamp inflow_at{};
    // By index of the holder.
    std::vector<Surplus> surplus;
  };
  using Accounts = std::map<std::string, Account>;
  using GrantsByNode = std::map<membership::NodeId, std::vector<Grant>>;

  // Returns null if the workspace has no limit. The bucket is refilled.
  Account* Find(const std::string& workspace, utils::Timestamp now);
  // Refills the bucket, and drops the demand of nodes that did not repeat it.
  void Update(Account& account, utils::Timestamp now);
  Grant Serve(Account& account, const membership::NodeId& node, const Demand& demand,
              utils::Timestamp now);
  double CapacityOf(const Account& account) const { return account.bucket.Capacity(this->claims); }
  // The part of `wanted` that is granted when others want credit as well.
  std::uint32_t Divide(const Account& account, const NodeDemand& demand,
                       std::uint32_t wanted) const;
  // Credit that is not needed soon, so that it may be granted ahead of calls.
  double SpareCredit(const Account& account) const;
  void ServeWaiting(const std::string& workspace, Account& account, utils::Timestamp now,
                    GrantsByNode& grants);
  // Whether the others may have credit for calls that wait.
  bool MayReceive(const Account& account, double missing, utils::Timestamp now) const;
  // When to retry calls that wait; 0 if credit for them may come in before they are refused.
  std::uint32_t RetryTime(const Account& account, utils::Timestamp now) const;
  // Credit per second that comes in.
  double Inflow(const Account& account, utils::Timestamp now) const;
  void ServeAllWaiting(utils::Timestamp now);
  void SendGrants(const membership::NodeId& node, std::vector<Grant> grants, utils::Timestamp now);

  // holder_transfers.cc
  void EndRounds(utils::Timestamp now);
  // `only_urgent`: for workspaces with calls that wait.
  void AskOthers(bool only_urgent, utils::Timestamp now);
  // The amount to ask other holders for; 0 for none.
  double MissingCredit(const Account& account) const;
  // What is kept back from other holders.
  double OwnNeed(const Account& account, bool urgent) const;
  void DropIdle(utils::Timestamp now);

  const Options& options;
  const LimitTable& limits;
  Counters& counters;
  std::vector<Effect>& effects;
  Claims claims;
  TransferRounds rounds;
  std::map<membership::NodeId, Requester> requesters;
  Accounts accounts;
  // Workspaces with calls that wait, and when credit for some of them is expected.
  std::set<std::string> waiting;
  utils::Timestamp next_service{};
  // A call began to wait, or calls still wait after the latest attempt to serve them.
  bool is_lacking = false;
  utils::Timestamp next_round{};
  std::uint64_t member_count = 1;
};

}  // namespace amaranthlatch::quota::details
