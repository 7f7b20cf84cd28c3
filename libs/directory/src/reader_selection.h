// Decides whether this node reads the register itself or subscribes to another node of its zone.
//
// The nodes of a zone rank each other by a hash. A node that has no reader asks the best ranked
// candidate; a node that reads for others keeps doing so. A candidate that does not answer, or
// whose reads fail, is avoided for some time, and a node without a candidate reads for itself. So
// every node has a source without any agreement, and a zone usually has one reader.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "amaranthlatch/directory/message.h"
#include "amaranthlatch/directory/options.h"
#include "amaranthlatch/membership/member_view.h"
#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::directory::details {

enum class ReadMode : std::uint8_t {
  // Just started; waits for a notice of a reader.
  kDiscovering,
  kReading,
  kSubscribed,
};

// A message to another node.
struct OutgoingMessage {
  membership::NodeId to;
  Message message;
  bool operator==(const OutgoingMessage&) const = default;
};

class ReaderSelection {
 public:
  // What the decisions are based on, at one moment.
  struct Situation {
    utils::Timestamp now{};
    // Members known to this node.
    const membership::MemberView* view = nullptr;
    // Whether this node has subscribers, and whether one of them insisted.
    bool has_subscribers = false;
    bool has_insistent_subscribers = false;
    // Whether the reads of this node fail, or have not succeeded yet.
    bool reads_fail = false;
    // Sent with each request, but for `insist`.
    UpdateRequest request;
  };

  explicit ReaderSelection(const Options& options)
      : options(options), mode(options.share_reads ? ReadMode::kDiscovering : ReadMode::kReading) {}

  ReadMode Mode() const { return this->mode; }
  // The node subscribed to; empty without one.
  const membership::NodeId& Reader() const { return this->reader; }

  // Handles what is due.
  void Poll(const Situation& situation, std::vector<OutgoingMessage>& out);
  // The register was listed for the first time.
  void OnListed(const Situation& situation, std::vector<OutgoingMessage>& out);
  void OnUpdate(const membership::NodeId& from, bool healthy, const Situation& situation);
  void OnNotice(const membership::NodeId& from, const ReaderNotice& notice,
                const Situation& situation, std::vector<OutgoingMessage>& out);
  // A node that found no other reader asked this one.
  void OnInsistentRequest();
  void OnPeerUnreachable(const membership::NodeId& id, const Situation& situation,
                         std::vector<OutgoingMessage>& out);
  // The register confirmed the configuration at this time; none if that is unknown.
  void OnConfirmed(std::optional<utils::Timestamp> at) { this->confirmed_at = at; }
  // The configuration of this subscriber is unconfirmed for so long that its reader seems lost:
  // reads in place of the reader if this node is one of the best other candidates and its turn has
  // come.
  void OnUnconfirmed(const Situation& situation);
  // A read of this subscriber was answered soon.
  void OnCheckSucceeded(const Situation& situation);
  // The reader did not deliver a version that other nodes use.
  void OnReaderStale(const Situation& situation, std::vector<OutgoingMessage>& out);

  // The best candidate to take over the subscribers of this node; empty without one.
  membership::NodeId Successor(const Situation& situation);
  // Whether this node is the best candidate of its zone.
  bool IsBest(const Situation& situation);

  std::optional<utils::Timestamp> NextWake(const membership::MemberView& view) const;

 private:
  // An unanswered request to a node that is not the reader yet.
  struct Trial {
    membership::NodeId peer;
    utils::Timestamp since{};
    bool insist = false;
    std::uint32_t redirects = 0;
  };

  void StartReading();
  void StartTrial(const membership::NodeId& peer, bool insist, std::uint32_t redirects,
                  const Situation& situation, std::vector<OutgoingMessage>& out);
  void SendRequest(const membership::NodeId& to, bool insist, const Situation& situation,
                   std::vector<OutgoingMessage>& out);
  void OnTrialTimeout(const Situation& situation, std::vector<OutgoingMessage>& out);
  // Avoids the reader and turns to the next candidate.
  void LeaveReader(utils::Duration avoid_for, const Situation& situation,
                   std::vector<OutgoingMessage>& out);
  bool IsAvoided(const membership::NodeId& id, utils::Timestamp now) const;
  // Candidates of the zone that are not avoided, with this node, best first.
  std::vector<membership::NodeId> Candidates(const Situation& situation);
  bool RanksAbove(const membership::NodeId& left, const membership::NodeId& right) const;
  utils::Duration DiscoveryTime() const;
  // How many other candidates of the zone precede this node, without its reader.
  std::size_t OwnRank(const Situation& situation);
  bool IsRequestDue(const Situation& situation) const;
  utils::Duration RequestInterval(const membership::MemberView& view) const;
  utils::Duration SilenceTimeout(const membership::MemberView& view) const;

  const Options& options;
  ReadMode mode;
  membership::NodeId reader;
  // Of the reader; valid while there is one.
  utils::Timestamp subscribed_at{};
  utils::Timestamp last_update{};
  utils::Timestamp last_request{};
  std::optional<utils::Timestamp> confirmed_at;
  // When to try own reads because those of the reader fail; none while they succeed.
  std::optional<utils::Timestamp> failover_time;
  std::optional<Trial> trial;
  // When to ask the best candidate whether it reads as well; only while reading.
  utils::Timestamp next_search{};
  std::optional<utils::Timestamp> discovery_deadline;
  std::map<membership::NodeId, utils::Timestamp> avoided_until;
};

}  // namespace amaranthlatch::directory::details
