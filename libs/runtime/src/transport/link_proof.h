// What proves that the link to one peer works, and when to probe it.
//
// Only the answer to a keep-alive message proves a link, for all that was sent before that message.
// A link is probed an interval after a message whose answer is missing, and some intervals after
// any other. While bulk messages are sent, keep-alive messages go between their fragments as
// markers: an answer to one shows that bytes move, so that no probe is overdue on a link that is
// only busy.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "amaranthlatch/utils/time.h"

namespace amaranthlatch::runtime::details {

class LinkProof {
 public:
  // A keep-alive message under way.
  struct Probe {
    // Rises with every probe and marker.
    std::uint64_t nonce = 0;
    utils::Timestamp sent_at{};
    // Bytes of fragments sent before it.
    std::uint64_t position = 0;
    bool operator==(const Probe&) const = default;
  };
  enum class Verdict : std::uint8_t { kWait, kProbe, kSilent };

  // The link is made now.
  LinkProof(utils::Duration interval, utils::Timestamp now) : interval(interval), proven_at(now) {}

  void OnSent(bool answer_expected, utils::Timestamp now);

  // The peer has sent a message, over a connection of its own.
  void OnHeard() { this->heard_since_probe = true; }

  // The peer has answered some message. It may be older than others that went silent: only the
  // probe that is due for want of an answer is put off.
  void OnMessageAnswered();

  // The peer probes its own link, so that what this node sent may not have arrived.
  void OnPeerProbes(utils::Timestamp now);

  // Whether OnInterval() has to be called.
  bool IsWaiting() const;

  // To be called after each interval. After kProbe, a probe is sent and reported.
  Verdict OnInterval(bool is_up, utils::Timestamp now) const;

  void OnProbeSent(const Probe& probe);
  void OnMarkerSent(const Probe& marker);

  // Returns the probe or marker that was answered; none if it is unknown.
  std::optional<Probe> OnAnswered(std::uint64_t nonce);

 private:
  utils::Duration interval;
  // When to probe because an answer is due; none while none is.
  std::optional<utils::Timestamp> answer_due;
  // When to probe because of any message; none if all were sent before an answered probe.
  std::optional<utils::Timestamp> probe_due;
  // Of the latest message, and of the latest one that is to be answered.
  utils::Timestamp sent_at{};
  utils::Timestamp asked_at{};
  // Unanswered, the oldest first.
  std::vector<Probe> probes;
  std::vector<Probe> markers;
  // Whether the peer has sent a message since the oldest probe.
  bool heard_since_probe = false;
  // When the latest answered probe was sent; at first when the link was made.
  utils::Timestamp proven_at;
};

}  // namespace amaranthlatch::runtime::details
