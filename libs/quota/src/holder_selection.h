// Chooses the node that grants credit to this one, and delegates the share of this node to it.
//
// The holder is the first node by rank of the own group that responds, or this node itself. The
// share of a node has at most one user at any time: a delegation counts here from when the holder's
// stamp was received and at the holder from when it made that stamp, so it ends at the holder
// first, and until it has ended here the share is not delegated to another node.

#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "amaranthlatch/quota/message.h"
#include "amaranthlatch/quota/options.h"
#include "amaranthlatch/utils/random.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::quota::details {

class HolderSelection {
 public:
  HolderSelection(const Options& options, utils::Random& random)
      : options(options), random(random) {}

  // `ranked`: the candidates, best first.
  void SetCandidates(std::vector<membership::NodeId> ranked, utils::Timestamp now);
  // When this process started. A delegation of the process before it may last for one term.
  void OnStarted(utils::Timestamp now) { this->started_at = now; }
  void OnMembersListed(bool was_listed, utils::Timestamp now);
  // Returns whether this is the first grant of a new holder: the share can be delegated to it.
  bool OnGrant(const membership::NodeId& from, const Stamp& sent, utils::Timestamp now);
  void OnPeerUnreachable(const membership::NodeId& id, utils::Timestamp now);

  // Handles what is due. Returns the nodes to which a request without demands has to be sent, to
  // see whether they respond.
  std::vector<membership::NodeId> Poll(utils::Timestamp now);

  // Empty while no node is known to respond.
  const membership::NodeId& Holder() const { return this->holder; }
  bool HoldsItself() const { return this->holder == this->options.id; }
  std::uint64_t HolderChanges() const { return this->changes; }

  // To be called for each request to the holder. Returns the stamp to echo, if the share of this
  // node is to be delegated with the request.
  std::optional<Stamp> OnRequest(utils::Timestamp now);

  std::optional<utils::Timestamp> NextWake() const;

 private:
  struct ReceivedStamp {
    Stamp stamp;
    utils::Timestamp received_at{};
  };

  void Adopt(const membership::NodeId& id, utils::Timestamp now);
  // Gives the holder up and looks for another one.
  void Leave(utils::Timestamp now);
  void Avoid(const membership::NodeId& id, utils::Timestamp now);
  bool IsAvoided(const membership::NodeId& id, utils::Timestamp now) const;
  // Position of a node in the order of rank; that of the last candidate + 1 if it is none.
  std::size_t RankOf(const membership::NodeId& id) const;
  // Up to `count` nodes that rank above position `rank`, and are neither avoided nor being probed.
  std::vector<membership::NodeId> ToProbe(std::size_t rank, std::size_t count,
                                          utils::Timestamp now);
  void Search(utils::Timestamp now, std::vector<membership::NodeId>& probes);
  void DropUnansweredProbes(utils::Timestamp now);
  bool IsShareBound(utils::Timestamp now) const { return now < this->delegated_until; }

  const Options& options;
  utils::Random& random;
  std::vector<membership::NodeId> candidates;
  membership::NodeId holder;
  // A better holder to which this node moves as soon as its delegation has ended; empty if none.
  membership::NodeId next_holder;
  // The latest stamp of the holder; none from a former one.
  std::optional<ReceivedStamp> received;
  // The first request to the holder since it last answered.
  std::optional<utils::Timestamp> unanswered_since;
  // The node that the share is delegated to; valid until the time below.
  membership::NodeId delegate;
  utils::Timestamp delegated_until{};
  utils::Timestamp started_at{};
  // From when this node owns a share; none before the members were listed.
  std::optional<utils::Timestamp> share_owned_from;
  // Since when there is no holder; none while there is one, and before the first Poll().
  std::optional<utils::Timestamp> search_started;
  utils::Timestamp next_probe{};
  // Nodes that have not answered yet, and when they were probed.
  std::map<membership::NodeId, utils::Timestamp> probed;
  struct Avoidance {
    utils::Timestamp until{};
    // Doubles with each failure, so that a node gets past many dead candidates.
    utils::Duration time{};
  };
  // Candidates that did not respond since they last did.
  std::map<membership::NodeId, Avoidance> avoided;
  std::uint64_t changes = 0;
};

}  // namespace amaranthlatch::quota::details
