// Division of what is lacking among the other holders, and acceptance of their answers.

#include "transfer_rounds.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace amaranthlatch::quota::details {

namespace {

using membership::NodeId;
using utils::Duration;
using utils::Timestamp;

// Time after which calls do not wait for the answers of further holders.
constexpr Duration kRoundTime = utils::Milliseconds(100);
// A surplus counts as unknown after this time, and at least as this part of what is lacking from
// each: a holder that has just given all it had refills its bucket.
constexpr Duration kSurplusMemory = utils::Seconds(1);
constexpr double kMinGuess = 0.25;
// The surplus of a holder may have become less than it was, so more is asked for in all; yet more
// for calls that wait, which a second round would often come too late for.
constexpr double kExcess = 1.2;
constexpr double kUrgentExcess = 1.6;
// Less than this part of what is lacking is not asked for.
constexpr double kMinPart = 0.01;
// Without calls that wait, only so many holders are asked that together had this multiple of what
// is lacking.
constexpr double kEnough = 1.5;

// Sets the smallest parts to 0 that are not needed for this sum, and returns the sum of the others.
double KeepLargest(std::vector<double>& parts, double enough) {
  std::vector<std::size_t> order(parts.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&parts](std::size_t left, std::size_t right) { return parts[left] > parts[right]; });
  double sum = 0.0;
  for (const std::size_t i : order) {
    if (sum >= enough) {
      parts[i] = 0.0;
    }
    sum += parts[i];
  }
  return sum;
}

}  // namespace

void TransferRounds::SetGroups(const std::vector<std::vector<NodeId>>& changed) {
  std::vector<Group> next;
  for (const std::vector<NodeId>& candidates : changed) {
    const auto known =
        std::find_if(this->groups.begin(), this->groups.end(), [&candidates](const Group& group) {
          return std::find(candidates.begin(), candidates.end(), group.holder) != candidates.end();
        });
    Group group;
    if (known != this->groups.end()) {
      group = *known;
    } else {
      group.holder = candidates.front();
    }
    group.candidates = candidates;
    next.push_back(std::move(group));
  }
  this->groups = std::move(next);
  this->rounds.clear();
}

void TransferRounds::Ask(const std::vector<Need>& needs, std::uint64_t member_count, Timestamp now,
                         std::vector<Effect>& effects) {
  const std::vector<std::size_t> chosen = this->ChooseHolders();
  // Stamps of a process increase, so that each names one round.
  this->last_stamp = std::max(now, this->last_stamp + Duration(1));
  Round round;
  round.stamp = this->last_stamp;
  std::vector<TransferRequest> requests(
      chosen.size(),
      TransferRequest{Stamp{this->options.boot_id, this->last_stamp}, member_count, {}});
  for (const Need& need : needs) {
    const std::vector<double> parts = this->Divide(need, chosen, now);
    for (std::size_t i = 0; i < chosen.size(); ++i) {
      if (parts[i] > 0.0) {
        const auto amount = static_cast<std::uint64_t>(std::ceil(parts[i] * kCreditUnits));
        requests[i].demands.push_back(TransferDemand{need.workspace, amount, need.urgent});
      }
    }
    round.workspaces.push_back(need.workspace);
  }
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    Group& group = this->groups[chosen[i]];
    if (!requests[i].demands.empty()) {
      round.open[group.holder] = chosen[i];
      if (IsResponsive(group, now)) {
        round.awaited.insert(group.holder);
      }
      group.unanswered_since = group.unanswered_since.value_or(now);
      effects.emplace_back(SendMessage{group.holder, std::move(requests[i])});
    }
  }
  this->rounds.push_back(std::move(round));
}

std::vector<TransferRounds::Accepted> TransferRounds::OnTransfer(const NodeId& from,
                                                                 const Transfer& transfer,
                                                                 Timestamp now) {
  std::vector<Accepted> accepted;
  if (transfer.request.boot_id != this->options.boot_id) {
    return accepted;
  }
  for (Group& group : this->groups) {
    if (group.holder == from) {
      group.unanswered_since.reset();
      if (!transfer.holder.empty() && transfer.holder != this->options.id) {
        group.holder = transfer.holder;
      }
    }
  }
  for (Round& round : this->rounds) {
    const auto open = round.open.find(from);
    if (round.stamp != transfer.request.time || open == round.open.end()) {
      continue;
    }
    const Timestamp covered_until = round.stamp + this->options.transfer_lifetime;
    if (now < covered_until) {
      for (const TransferredCredit& credit : transfer.credits) {
        accepted.push_back(Accepted{open->second, credit, covered_until});
      }
    }
    round.open.erase(open);
    round.awaited.erase(from);
  }
  return accepted;
}

void TransferRounds::OnPeerUnreachable(const NodeId& id, Timestamp now) {
  for (Group& group : this->groups) {
    if (group.holder == id) {
      this->ReplaceHolder(group, now);
    }
  }
  for (Round& round : this->rounds) {
    round.open.erase(id);
    round.awaited.erase(id);
  }
}

std::vector<std::string> TransferRounds::TakeEnded(Timestamp now) {
  for (Group& group : this->groups) {
    if (group.unanswered_since && now - *group.unanswered_since >= this->options.silence_limit) {
      this->ReplaceHolder(group, now);
    }
  }
  std::vector<std::string> ended;
  for (Round& round : this->rounds) {
    if (!round.is_ended && (round.awaited.empty() || now - round.stamp >= kRoundTime)) {
      round.is_ended = true;
      ended.insert(ended.end(), round.workspaces.begin(), round.workspaces.end());
    }
  }
  while (!this->rounds.empty() &&
         now - this->rounds.front().stamp >= this->options.transfer_lifetime) {
    this->rounds.pop_front();
  }
  return ended;
}

std::optional<Timestamp> TransferRounds::NextWake() const {
  for (const Round& round : this->rounds) {
    if (!round.is_ended) {
      return round.awaited.empty() ? round.stamp : round.stamp + kRoundTime;
    }
  }
  return std::nullopt;
}

bool TransferRounds::HasResponsiveHolder(Timestamp now) const {
  return std::any_of(this->groups.begin(), this->groups.end(),
                     [now](const Group& group) { return IsResponsive(group, now); });
}

bool TransferRounds::IsResponsive(const Group& group, Timestamp now) {
  return !group.unanswered_since || now - *group.unanswered_since < kRoundTime;
}

void TransferRounds::ReplaceHolder(Group& group, Timestamp now) {
  group.avoided_until[group.holder] = now + this->options.avoidance_time;
  group.unanswered_since.reset();
  std::erase_if(group.avoided_until, [now](const auto& entry) { return entry.second <= now; });
  const auto next =
      std::find_if(group.candidates.begin(), group.candidates.end(),
                   [&group](const NodeId& id) { return !group.avoided_until.contains(id); });
  group.holder = next == group.candidates.end() ? group.candidates.front() : *next;
}

std::vector<std::size_t> TransferRounds::ChooseHolders() {
  std::vector<std::size_t> chosen(this->groups.size());
  std::iota(chosen.begin(), chosen.end(), 0);
  if (chosen.size() > this->options.max_transfer_peers) {
    this->random.Shuffle(chosen);
    chosen.resize(this->options.max_transfer_peers);
  }
  return chosen;
}

std::vector<double> TransferRounds::Divide(const Need& need, const std::vector<std::size_t>& chosen,
                                           Timestamp now) const {
  // Holders of which nothing is known count like an equal part of what is lacking.
  std::vector<double> parts(chosen.size(), need.amount / static_cast<double>(chosen.size()));
  double sum = 0.0;
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    if (chosen[i] < need.surplus->size()) {
      const Surplus& known = (*need.surplus)[chosen[i]];
      if (known.known_at != Timestamp{} && now - known.known_at < kSurplusMemory) {
        parts[i] = std::max(known.amount, kMinGuess * parts[i]);
      }
    }
    sum += parts[i];
  }
  if (!need.urgent) {
    sum = KeepLargest(parts, kEnough * need.amount);
  }
  const double excess = need.urgent ? kUrgentExcess : kExcess;
  for (double& part : parts) {
    part = sum > 0.0 ? excess * need.amount * part / sum : 0.0;
    if (part < kMinPart * need.amount) {
      part = 0.0;
    }
  }
  return parts;
}

}  // namespace amaranthlatch::quota::details
