// Decides which node this participant reports to: the coordinator, or the next candidate for it.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "amaranthlatch/membership/member.h"
#include "amaranthlatch/rollout/options.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::rollout::details {

class CoordinatorLink {
 public:
  explicit CoordinatorLink(const Options& options) : options(options) {}

  // Forgets everything, for another order.
  void Reset();

  // The node to report to; empty if none has been chosen.
  const membership::NodeId& Target() const { return this->target; }
  // Whether the target has sent a directive.
  bool IsEstablished() const { return this->established; }
  // Whether the target has said within `age` that it coordinates or claims the order.
  bool IsAlive(utils::Timestamp now, utils::Duration age) const {
    return this->last_answer && now - *this->last_answer <= age;
  }
  // Whether an earlier coordinator was given up as silent.
  bool HasLostCoordinator() const { return this->has_lost_coordinator; }
  bool IsAvoided(const membership::NodeId& id, utils::Timestamp now) const;
  // Whether the node is avoided because it gave no answer.
  bool IsSilent(const membership::NodeId& id, utils::Timestamp now) const;

  // Chooses the first candidate that is not avoided, unless there is a target. `candidates` are
  // ranked, best first.
  void Choose(const std::vector<membership::NodeId>& candidates, utils::Timestamp now);
  void OnReportSent(utils::Timestamp now);
  void OnDirective(const membership::NodeId& from, utils::Timestamp now);
  // Reports to this node from now on.
  void Follow(const membership::NodeId& id, utils::Timestamp now);
  // A redirect of the target, or a node that `announces` that it coordinates in place of the
  // target. Returns whether to report to another node at once.
  bool OnRedirect(const membership::NodeId& from, const membership::NodeId& coordinator,
                  bool announces, utils::Timestamp now);
  // Returns whether to report at once.
  bool OnUnreachable(const membership::NodeId& id, utils::Timestamp now);
  // Does not report to this node for some time, because it cannot coordinate.
  void Avoid(const membership::NodeId& id, utils::Duration duration, utils::Timestamp now);
  // Gives up a target that is silent. Returns whether it did.
  bool Poll(utils::Timestamp now);
  // The process was paused: answers may have been received meanwhile.
  void OnDelayed(utils::Timestamp now);

  std::optional<utils::Timestamp> NextWake() const;

 private:
  struct Avoidance {
    utils::Timestamp until{};
    bool is_silent = false;
  };

  utils::Duration AnswerTime() const;
  // The target gave no answer.
  void GiveUpTarget(utils::Timestamp now);

  const Options& options;
  membership::NodeId target;
  bool established = false;
  bool has_lost_coordinator = false;
  // The connection to the target was lost after its last answer.
  bool lost_connection = false;
  utils::Timestamp targeted_at{};
  // The last directive of the target, or redirect to itself; none if it has sent neither.
  std::optional<utils::Timestamp> last_answer;
  // When the first report was sent that the target has not answered; none if there is none.
  std::optional<utils::Timestamp> asked_at;
  // Redirects followed without a directive; a loop of outdated ones ends after some.
  std::uint32_t redirects = 0;
  std::map<membership::NodeId, Avoidance> avoided;
};

}  // namespace amaranthlatch::rollout::details
