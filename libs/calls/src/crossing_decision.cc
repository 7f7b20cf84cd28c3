// Price of leaving, additive steps of the share, and halving at refusals.

#include "crossing_decision.h"

#include <algorithm>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::calls::details {

namespace {
constexpr std::size_t kMaxStates = 1'024;
constexpr utils::Duration kStepInterval = utils::Milliseconds(100);
constexpr double kStep = 0.1;
// The share rises if more than this part of the calls is better served there, and falls if less
// than the lower part is. Between them it stays.
constexpr double kRisingPart = 0.5;
constexpr double kFallingPart = 0.25;
// Share while the load there is not known: the calls find out.
constexpr double kProbeShare = 0.1;
constexpr double kRefusalFactor = 0.5;
// Time after a refusal in which the share takes no step.
constexpr utils::Duration kRefusalPause = utils::Milliseconds(500);
// The share falls by a step for each such interval without a call.
constexpr utils::Duration kForgetInterval = utils::Seconds(1);

// Whether the far candidate serves the call better. One without a free slot must be better by twice
// the cost of crossing, or zones that both have queues would exchange calls.
bool Gains(const RankedCandidate& near, const RankedCandidate& far) {
  const double gain_us = near.cost_us - far.cost_us;
  return gain_us > (far.has_free_slot ? 0.0 : far.crossing_us);
}

// Whether the near candidate is worse only because of its failures: those are no load that a share
// of the calls would relieve.
bool IsFailing(const RankedCandidate& near, const RankedCandidate& far) {
  return near.failure_us > 0.0 && near.cost_us - near.failure_us <= far.cost_us;
}

// The nearest group from `home` on whose best candidate can be reached; `home` if there is none.
std::size_t FindReachable(const CandidateRanking& ranking, std::size_t home) {
  for (std::size_t i = home; i < kDistanceGroups; ++i) {
    if (!ranking.IsEmpty(i) && !ranking.Best(i).is_unreachable) {
      return i;
    }
  }
  return home;
}
}  // namespace

CrossingDecision::Key CrossingDecision::KeyOf(std::string_view service, RouteKey route) {
  return utils::CombineHash(utils::Hash64(service), route);
}

std::optional<std::size_t> CrossingDecision::FindRescue(const CandidateRanking& ranking,
                                                        std::size_t home, double home_crossing_us,
                                                        double loss_us) {
  std::optional<std::size_t> rescue;
  for (std::size_t i = home + 1; i < kDistanceGroups; ++i) {
    if (ranking.IsEmpty(i) || ranking.Best(i).is_late || ranking.Best(i).is_unreachable) {
      continue;
    }
    if (ranking.Best(i).crossing_us - home_crossing_us >= loss_us) {
      this->too_expensive = true;
    } else if (!rescue || ranking.IsBetterGroup(i, *rescue)) {
      rescue = i;
    }
  }
  this->too_expensive = this->too_expensive && !rescue;
  return rescue;
}

std::optional<std::size_t> CrossingDecision::Choose(Key key, const CandidateRanking& ranking,
                                                    const Stake& stake, utils::Timestamp now,
                                                    utils::Random& random) {
  this->too_expensive = false;
  if (ranking.IsEmpty(stake.home)) {
    const auto rescue = this->FindRescue(ranking, stake.home, 0.0, stake.loss_us);
    return rescue || this->too_expensive ? rescue : ranking.BestGroup();
  }
  // Servers that cannot be reached are as good as none: the call leaves at any price.
  const std::size_t near = FindReachable(ranking, stake.home);
  const RankedCandidate& home = ranking.Best(near);
  if (home.is_late) {
    return this->FindRescue(ranking, near, home.crossing_us, stake.loss_us).value_or(near);
  }
  const std::size_t best = ranking.BestGroup();
  if (best != near && (stake.is_repeated || IsFailing(home, ranking.Best(best)))) {
    return best;
  }
  return this->ChooseByShare(key, ranking, near, now, random);
}

std::size_t CrossingDecision::ChooseByShare(Key key, const CandidateRanking& ranking,
                                            std::size_t near, utils::Timestamp now,
                                            utils::Random& random) {
  const RankedCandidate& home = ranking.Best(near);
  auto found = this->states.find(key);
  if (found == this->states.end()) {
    if (ranking.BestGroup() == near) {
      return near;
    }
    if (this->states.size() >= kMaxStates) {
      this->states.clear();
    }
    Levels levels{};
    for (Level& level : levels) {
      level.share = kProbeShare;
      level.step_at = now;
    }
    found = this->states.emplace(key, levels).first;
  }
  bool is_used = false;
  std::size_t chosen = near;
  for (std::size_t i = near + 1; i < kDistanceGroups; ++i) {
    Level& level = found->second.at(i);
    const bool gains = !ranking.IsEmpty(i) && Gains(home, ranking.Best(i));
    ++level.calls;
    level.gains += gains ? 1 : 0;
    Step(level, now);
    is_used = is_used || level.share > 0.0;
    if (gains && chosen == near) {
      const double share =
          ranking.Best(i).has_report ? level.share : std::min(level.share, kProbeShare);
      chosen = random.Bernoulli(share) ? i : near;
    }
  }
  if (!is_used) {
    this->states.erase(found);
  }
  return chosen;
}

void CrossingDecision::Step(Level& level, utils::Timestamp now) {
  const utils::Duration since = now - level.step_at;
  if (since < kStepInterval) {
    return;
  }
  const double part = static_cast<double>(level.gains) / level.calls;
  double change = part > kRisingPart ? kStep : part < kFallingPart ? -kStep : 0.0;
  // Time without calls says nothing, so that what was learned before it counts less.
  change -= kStep * static_cast<double>(since / kForgetInterval);
  level.share = std::clamp(level.share + change, 0.0, 1.0);
  level.step_at = now;
  level.calls = 0;
  level.gains = 0;
}

void CrossingDecision::OnRefused(Key key, std::size_t group, utils::Timestamp now) {
  const auto found = this->states.find(key);
  if (found != this->states.end()) {
    Level& level = found->second.at(group);
    level.share *= kRefusalFactor;
    level.step_at = now + kRefusalPause;
  }
}

double CrossingDecision::Share(Key key, std::size_t group) const {
  const auto found = this->states.find(key);
  return found == this->states.end() ? 0.0 : found->second.at(group).share;
}

}  // namespace amaranthlatch::calls::details
