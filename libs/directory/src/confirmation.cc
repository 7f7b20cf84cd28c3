// Confirmation of the configuration in force by the register. Every node knows since when its
// configuration is unconfirmed, and reads by itself before that has lasted for too long, whatever
// became of its reader, of other nodes and of the links between them.

#include <algorithm>

#include "directory_impl.h"

namespace amaranthlatch::directory {

using details::ReadMode;
using membership::Member;
using membership::NodeId;
using utils::Duration;
using utils::Timestamp;

namespace {
// Subscribers learn of confirmations with the updates; of late ones at once.
constexpr Duration kLateConfirmation = utils::Seconds(1);
// A check that lasts longer shows that the register is slow.
constexpr Duration kSlowCheck = utils::Milliseconds(400);
// Time without confirmation by other zones after which they seem cut off.
constexpr Duration kZoneTimeout = utils::Seconds(3);
// A read that ends so soon is not replaced.
constexpr Duration kMinTimeSaved = utils::Milliseconds(100);
// A process that did not run for their sum at most is not found to have been delayed.
constexpr Duration kDelayProbeInterval = utils::Milliseconds(150);
constexpr Duration kMaxProbeDelay = utils::Milliseconds(150);
// Time for messages that arrived while this node was delayed.
constexpr Duration kDelayTolerance = utils::Milliseconds(250);
}  // namespace

void Directory::Impl::HandleMessage(const NodeId& from, const Confirmation& confirmation) {
  if (this->configuration == nullptr) {
    return;
  }
  const Member* const sender = this->members.Find(from);
  const bool is_other_zone = sender != nullptr && sender->zone != this->options.zone;
  const NodeId& reader = this->selection.Reader();
  if (from == reader) {
    this->updates_without_confirmation = 0;
  }
  if (is_other_zone && !this->WasDelayed() && this->selection.Mode() == ReadMode::kSubscribed &&
      !reader.empty()) {
    this->effects.emplace_back(
        SendToPeer{reader, Confirmation{confirmation.version, confirmation.age_ms, true}});
  }
  if (confirmation.version > this->configuration->GetVersion()) {
    this->Handle(NewerVersionObserved{confirmation.version, from});
  } else if (confirmation.version == this->configuration->GetVersion() &&
             (is_other_zone || confirmation.forwarded || !this->IsReading())) {
    // Two readers of a zone that subscribe to each other must not confirm each other.
    const auto age = std::min<std::uint64_t>(confirmation.age_ms, INT32_MAX);
    this->Confirm(this->EventTime() - utils::Milliseconds(static_cast<std::int64_t>(age)));
    if (is_other_zone || confirmation.forwarded) {
      this->other_zone_confirmed_at = this->now;
    }
  }
}

void Directory::Impl::HandleConfirmingRead(const StreamReadSucceeded& event,
                                           Timestamp answered_at) {
  if (this->checking) {
    this->checking = false;
    if (this->now - answered_at > kSlowCheck) {
      this->next_check = this->now + this->options.slow_check_pause;
    } else {
      this->selection.OnCheckSucceeded(this->MakeSituation());
    }
  }
  // The response may precede a configuration that another node passed on.
  if (this->configuration == nullptr ||
      (event.configuration != nullptr &&
       event.configuration->GetVersion() < this->configuration->GetVersion())) {
    return;
  }
  this->Confirm(answered_at);
  if (this->IsReading()) {
    this->SendToOtherZones(
        Confirmation{this->configuration->GetVersion(),
                     static_cast<std::uint64_t>(utils::ToMilliseconds(this->now - answered_at))});
  }
}

void Directory::Impl::TrackDelays() {
  if (this->next_delay_probe != Timestamp{} &&
      this->now - this->next_delay_probe > kMaxProbeDelay) {
    this->delayed_since = this->WasDelayed() ? this->delayed_since : this->last_event;
    this->delayed_until = this->now + kDelayTolerance;
  }
  if (this->now >= this->next_delay_probe) {
    this->next_delay_probe = this->now + kDelayProbeInterval;
  }
  this->last_event = this->now;
}

void Directory::Impl::Confirm(Timestamp at) {
  const std::optional<Timestamp> previous = this->confirmed_at;
  if (previous && at <= *previous) {
    return;
  }
  this->confirmed_at = at;
  if (this->IsReading() && previous && this->now - *previous >= kLateConfirmation) {
    for (const NodeId& id : this->subscribers.Ids()) {
      this->SendConfirmation(id);
    }
  }
}

void Directory::Impl::SendConfirmation(const NodeId& to) {
  if (!this->confirmed_at || this->configuration == nullptr) {
    return;
  }
  const std::int64_t age = utils::ToMilliseconds(this->now - *this->confirmed_at);
  this->effects.emplace_back(SendToPeer{
      to, Confirmation{this->configuration->GetVersion(), static_cast<std::uint64_t>(age)}});
}

bool Directory::Impl::IsZoneAlone() const {
  return !this->other_zone_confirmed_at ||
         this->now - *this->other_zone_confirmed_at > kZoneTimeout;
}

Duration::rep Directory::Impl::ConfirmationRank() const {
  const std::vector<std::string> zones = this->members.Zones();
  const auto own = std::find(zones.begin(), zones.end(), this->options.zone);
  const auto position = static_cast<std::uint64_t>(own - zones.begin());
  const std::uint64_t turn = this->configuration == nullptr ? 0 : this->configuration->GetVersion();
  return static_cast<Duration::rep>((position + turn) % std::max<std::size_t>(zones.size(), 1));
}

Duration Directory::Impl::PlainReadWait() const {
  const auto zones = static_cast<Duration::rep>(this->members.Zones().size());
  return std::clamp(this->options.configuration_read_wait_per_zone * zones,
                    this->options.min_configuration_read_wait,
                    this->options.max_configuration_read_wait);
}

Duration Directory::Impl::ConfigurationReadWait() const {
  const Duration wait = this->PlainReadWait();
  if (!this->confirmed_at || !this->options.share_reads) {
    return wait;
  }
  const Duration unconfirmed = this->now - *this->confirmed_at;
  if (unconfirmed >= this->options.confirmation_limit) {
    return {};
  }
  const bool alone = this->IsZoneAlone();
  if (unconfirmed < this->options.min_confirmed_wait) {
    // While other zones confirm as well, readers may wait for longer than the interval.
    const Duration planned = this->options.confirmation_interval - unconfirmed;
    return std::min(wait + this->saved_wait, alone ? planned : std::max(wait, planned));
  }
  const Duration::rep rank = alone ? 0 : this->ConfirmationRank();
  const Duration planned = this->options.confirmation_interval +
                           this->options.confirmation_interval_step * rank - unconfirmed;
  return std::clamp(planned, Duration{}, wait);
}

std::optional<Timestamp> Directory::Impl::UnconfirmedDeadline() const {
  if (!this->options.share_reads || !this->confirmed_at) {
    return std::nullopt;
  }
  if (this->IsReading()) {
    const details::StreamFollower& follower = this->GetFollower(Stream::kConfiguration);
    const Timestamp deadline = *this->confirmed_at + this->options.confirmation_limit +
                               this->options.confirmation_limit_step *
                                   std::min<Duration::rep>(this->ConfirmationRank(), 5);
    const std::optional<Timestamp> waiting_since = follower.WaitingSince();
    if (!waiting_since || *waiting_since >= deadline ||
        follower.ReadEnd() <= std::max(deadline, this->now) + kMinTimeSaved) {
      return std::nullopt;
    }
    return deadline;
  }
  if (this->checking) {
    return std::nullopt;
  }
  const Timestamp takeover = *this->confirmed_at + this->options.takeover_time;
  const Timestamp check =
      std::max(*this->confirmed_at + this->options.check_time, this->next_check);
  for (Timestamp turn = takeover; turn < check; turn += this->options.takeover_step) {
    if (turn > this->now) {
      return turn;
    }
  }
  return check;
}

void Directory::Impl::HandleUnconfirmed() {
  const std::optional<Timestamp> deadline = this->UnconfirmedDeadline();
  if (this->IsReading()) {
    if (deadline && this->now >= *deadline) {
      this->GetFollower(Stream::kConfiguration).RestartRead(this->now);
    }
    return;
  }
  if (!this->confirmed_at || !this->options.share_reads) {
    return;
  }
  const Duration unconfirmed = this->now - *this->confirmed_at;
  if (unconfirmed < this->options.takeover_time) {
    return;
  }
  if (deadline && this->now - *deadline > this->options.max_wake_delay &&
      this->next_check < this->now) {
    // The node itself was delayed; what it awaits may have been received meanwhile.
    this->next_check = this->now + kDelayTolerance;
    return;
  }
  this->selection.OnConfirmed(this->confirmed_at);
  this->selection.OnUnconfirmed(this->MakeSituation());
  if (!this->IsReading() && deadline && this->now >= *deadline) {
    ++this->counters.checks;
    this->checking = true;
    this->GetFollower(Stream::kConfiguration).Resume(this->now);
  }
}

}  // namespace amaranthlatch::directory
