// Transfers of credit between holders.

#include <algorithm>
#include <cmath>

#include "holder.h"
#include "seconds.h"

namespace amaranthlatch::quota::details {

namespace {

using membership::NodeId;
using utils::Duration;
using utils::Timestamp;

// A holder asks for the credit that its calls use in this time, beyond what its bucket keeps. With
// 0.33 s more calls wait on a calm day (0.28 in place of 0.26); with 0.48 s more credit expires
// unused, which lacks when demand equals the quota.
constexpr double kLevelSeconds = 0.38;
// A round asks for at least this part of the level, and at least this much credit.
constexpr double kMinMissingPart = 0.1;
constexpr double kMinMissing = 0.1;
// Credit for the own calls of this time is not given to others.
constexpr double kKeptSeconds = 0.15;
// Two rounds that brought less than this part of what was asked for show that the others have no
// surplus; they are not asked again for some time.
constexpr double kMinReceivedPart = 0.05;
// The answers of a round count for this time.
constexpr Duration kKnownTime = utils::Milliseconds(300);
constexpr Duration kExhaustedTime = utils::Milliseconds(300);
constexpr Duration kRequesterMemory = utils::Seconds(10);

std::uint64_t ToUnits(double amount) {
  return amount <= 0.0 ? 0 : static_cast<std::uint64_t>(amount * kCreditUnits);
}

}  // namespace

void Holder::OnTransferRequest(const NodeId& from, const TransferRequest& request,
                               const NodeId& holder, Timestamp now) {
  Transfer transfer;
  transfer.request = request.sent;
  transfer.member_count = this->member_count;
  if (this->claims.Count() == 0) {
    transfer.holder = holder == this->options.id ? NodeId() : holder;
    this->effects.emplace_back(SendMessage{from, std::move(transfer)});
    return;
  }
  for (const TransferDemand& demand : request.demands) {
    Account* const account = this->Find(demand.workspace, now);
    if (account == nullptr) {
      continue;
    }
    const double surplus = account->bucket.Transferable() - this->OwnNeed(*account, demand.urgent);
    const std::uint64_t units = std::min(demand.amount, ToUnits(surplus));
    const double amount = static_cast<double>(units) / kCreditUnits;
    account->bucket.Give(amount, now);
    transfer.credits.push_back(TransferredCredit{demand.workspace, units, ToUnits(surplus - amount),
                                                 LimitTag(account->bucket.GetLimit())});
  }
  this->effects.emplace_back(SendMessage{from, std::move(transfer)});
}

void Holder::OnTransfer(const NodeId& from, const Transfer& transfer, Timestamp now) {
  const std::vector<TransferRounds::Accepted> accepted =
      this->rounds.OnTransfer(from, transfer, now);
  if (accepted.empty() && !transfer.credits.empty()) {
    ++this->counters.transfers_rejected;
  }
  for (const TransferRounds::Accepted& entry : accepted) {
    const std::string& workspace = entry.credit.workspace;
    const auto found = this->accounts.find(workspace);
    if (found == this->accounts.end() ||
        !this->limits.Accepts(workspace, found->second.bucket.GetLimit(), entry.credit.limit_tag,
                              now)) {
      continue;
    }
    Account& account = found->second;
    const double amount = static_cast<double>(entry.credit.amount) / kCreditUnits;
    const double left = static_cast<double>(entry.credit.left) / kCreditUnits;
    account.bucket.Refill(this->claims, now);
    account.bucket.Receive(amount, entry.covered_until);
    account.received += amount;
    account.inflow =
        account.inflow * std::exp(-ToSeconds(now - account.inflow_at) / kInflowSeconds) +
        amount / kInflowSeconds;
    account.inflow_at = now;
    account.surplus.resize(std::max(account.surplus.size(), entry.holder + 1));
    account.surplus[entry.holder] = Surplus{amount + left, left, now};
    if (this->waiting.contains(workspace)) {
      this->next_service = now;
    }
  }
}

void Holder::EndRounds(Timestamp now) {
  for (const std::string& workspace : this->rounds.TakeEnded(now)) {
    const auto found = this->accounts.find(workspace);
    if (found == this->accounts.end() || !found->second.is_round_open) {
      continue;
    }
    Account& account = found->second;
    account.is_round_open = false;
    account.others_known_until = now + kKnownTime;
    const bool is_in_vain = account.received < kMinReceivedPart * account.asked;
    if (is_in_vain && account.was_in_vain) {
      account.next_round = now + kExhaustedTime;
    }
    account.was_in_vain = is_in_vain;
    if (this->waiting.contains(workspace)) {
      this->next_service = now;
    }
  }
}

void Holder::AskOthers(bool only_urgent, Timestamp now) {
  if (this->rounds.HolderCount() == 0) {
    return;
  }
  std::vector<TransferRounds::Need> needs;
  const auto add = [this, now, &needs](const std::string& workspace, Account& account) {
    const std::uint32_t calls = account.Waiting();
    const bool is_urgent = calls > 0 && calls > account.bucket.Available();
    const Duration interval =
        is_urgent ? this->options.urgent_transfer_interval : this->options.transfer_interval / 2;
    if (account.is_round_open || now < account.next_round || now - account.last_round < interval) {
      return;
    }
    const double missing = this->MissingCredit(account);
    if (missing <= 0.0) {
      return;
    }
    account.is_round_open = true;
    account.asked = missing;
    account.received = 0.0;
    account.last_round = now;
    needs.push_back(TransferRounds::Need{workspace, missing, is_urgent, &account.surplus});
  };
  if (only_urgent) {
    for (const std::string& workspace : this->waiting) {
      add(workspace, this->accounts.at(workspace));
    }
  } else {
    for (auto& [workspace, account] : this->accounts) {
      if (!account.demands.empty()) {
        this->Update(account, now);
        add(workspace, account);
      }
    }
  }
  if (!needs.empty()) {
    const std::size_t before = this->effects.size();
    this->rounds.Ask(needs, this->member_count, now, this->effects);
    this->counters.transfer_requests_sent += this->effects.size() - before;
  }
}

double Holder::MissingCredit(const Account& account) const {
  const double rate = account.Rate();
  const double calls = account.Waiting();
  if (rate <= 0.0 && calls <= 0.0) {
    return 0.0;
  }
  const double refill = this->claims.Share() * account.bucket.GetLimit().rate *
                        ToSeconds(this->options.transfer_interval);
  // A whole call, as far as the bucket holds that much when it is not used at once. For calls that
  // wait no more is asked for than they need: the bucket could not keep the rest of it.
  const double whole = std::min(1.0, this->CapacityOf(account));
  const double ahead = calls > 0.0 ? 0.0 : std::max(whole, kFullPart * this->CapacityOf(account));
  const double level = calls + ahead + rate * kLevelSeconds;
  const double missing = level - account.bucket.Available() - (calls > 0.0 ? 0.0 : refill);
  return missing >= std::max(kMinMissing, kMinMissingPart * level) ? missing : 0.0;
}

double Holder::OwnNeed(const Account& account, bool urgent) const {
  const double calls = account.Waiting();
  const double rate = account.Rate();
  if (urgent || rate <= 0.0) {
    return calls;
  }
  const double whole = std::min(1.0, this->CapacityOf(account) / 2.0);
  return calls + std::max(whole, rate * kKeptSeconds);
}

void Holder::DropIdle(Timestamp now) {
  std::erase_if(this->accounts, [this, now](const auto& entry) {
    return now - entry.second.last_used >= this->options.idle_time &&
           !this->waiting.contains(entry.first);
  });
  std::erase_if(this->requesters, [now](const auto& entry) {
    return now - entry.second.seen_at >= kRequesterMemory;
  });
}

}  // namespace amaranthlatch::quota::details
