// Requests to the holders of other groups and zones for credit that this holder lacks.
//
// A request to several holders is a round. Credit is accepted once from each of them, and only
// within the lifetime of a transfer after the round began.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "amaranthlatch/quota/effect.h"
#include "amaranthlatch/quota/message.h"
#include "amaranthlatch/quota/options.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota::details {

// What a holder is known to have left of a workspace.
struct Surplus {
  // What the holder had when it answered last, and what it kept of that.
  double amount = 0.0;
  double left = 0.0;
  // The epoch of the clock if nothing is known.
  utils::Timestamp known_at{};
};

class TransferRounds {
 public:
  // Credit that is lacking of one workspace.
  struct Need {
    std::string workspace;
    double amount = 0.0;
    bool urgent = false;
    // By holder; shorter than the number of holders if nothing is known of the others.
    const std::vector<Surplus>* surplus = nullptr;
  };
  // Credit that was accepted from one holder.
  struct Accepted {
    std::size_t holder = 0;
    TransferredCredit credit;
    // Until then, the giver counts the credit as its own.
    utils::Timestamp covered_until{};
  };

  TransferRounds(const Options& options, utils::Random& random)
      : options(options), random(random) {}

  // `groups`: the candidates of each group, best first. Their indexes name the holders until the
  // next change, which ends all rounds.
  void SetGroups(const std::vector<std::vector<membership::NodeId>>& groups);
  std::size_t HolderCount() const { return this->groups.size(); }
  // Whether any holder answers, as far as is known.
  bool HasResponsiveHolder(utils::Timestamp now) const;

  void Ask(const std::vector<Need>& needs, std::uint64_t member_count, utils::Timestamp now,
           std::vector<Effect>& effects);
  // Returns nothing if the transfer is rejected.
  std::vector<Accepted> OnTransfer(const membership::NodeId& from, const Transfer& transfer,
                                   utils::Timestamp now);
  void OnPeerUnreachable(const membership::NodeId& id, utils::Timestamp now);
  // Replaces holders that do not respond. Returns the workspaces of the rounds that have ended: all
  // holders answered that usually do, or the time for that is over. Each round is returned once.
  std::vector<std::string> TakeEnded(utils::Timestamp now);
  // When the time of the oldest open round is over.
  std::optional<utils::Timestamp> NextWake() const;

 private:
  struct Group {
    std::vector<membership::NodeId> candidates;
    // Taken for the holder of the group.
    membership::NodeId holder;
    // First request to the holder that it has not answered.
    std::optional<utils::Timestamp> unanswered_since;
    std::map<membership::NodeId, utils::Timestamp> avoided_until;
  };
  struct Round {
    utils::Timestamp stamp{};
    // The holders that have not answered, and their indexes.
    std::map<membership::NodeId, std::size_t> open;
    // Those of them that answered the rounds before, so that calls wait for them.
    std::set<membership::NodeId> awaited;
    std::vector<std::string> workspaces;
    bool is_ended = false;
  };

  static bool IsResponsive(const Group& group, utils::Timestamp now);
  void ReplaceHolder(Group& group, utils::Timestamp now);
  std::vector<std::size_t> ChooseHolders();
  // How much to ask each of the chosen holders for; 0 where that is in vain.
  std::vector<double> Divide(const Need& need, const std::vector<std::size_t>& chosen,
                             utils::Timestamp now) const;

  const Options& options;
  utils::Random& random;
  std::vector<Group> groups;
  // Oldest first.
  std::deque<Round> rounds;
  utils::Timestamp last_stamp{};
};

}  // namespace amaranthlatch::quota::details
