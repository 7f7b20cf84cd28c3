// State of the directory reducer.

#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/directory/directory.h"
#include "amaranthlatch/membership/member_table.h"
#include "own_entry.h"
#include "reader_selection.h"
#include "register_era.h"
#include "rollout_orders.h"
#include "stream_follower.h"
#include "subscribers.h"

namespace amaranthlatch::directory {

// Several requests of a subscriber may be lost.
inline constexpr utils::Duration kSubscriberLease = utils::Seconds(4);

struct Directory::Impl {
  explicit Impl(const Options& from)
      : options(from),
        random(from.seed),
        own_entry(options),
        members(own_entry.Record()),
        followers{
            details::StreamFollower(Stream::kConfiguration, from.configuration_read_delay, options),
            details::StreamFollower(Stream::kMembers, from.members_read_delay, options)},
        selection(options),
        subscribers(from.boot_id, kSubscriberLease) {}

  void Handle(const WakeUp& /*event*/) {}
  void Handle(const StreamReadSucceeded& event);
  void Handle(const StreamReadFailed& event);
  void Handle(const MemberWriteCompleted& event);
  void Handle(const BackendServerReady& event);
  void Handle(const BackendServerUnavailable& event);
  void Handle(const NewerVersionObserved& event);
  void Handle(const PeerMessageReceived& event);
  void Handle(const PeerUnreachable& event);
  void Handle(const DrainStarted& event);

  // Messages of other nodes of the zone.
  void HandleMessage(const membership::NodeId& from, const UpdateRequest& request);
  void HandleMessage(const membership::NodeId& from, const Update& update);
  void HandleMessage(const membership::NodeId& from, const ReaderNotice& notice);
  // Messages of nodes of other zones.
  void HandleMessage(const membership::NodeId& from, const VersionNotice& notice);
  void HandleMessage(const membership::NodeId& from, const ConfigurationRequest& request);
  // Messages of the reader, or of nodes of other zones.
  void HandleMessage(const membership::NodeId& from, const Confirmation& confirmation);

  // Returns false if the configuration in force is not older.
  bool ApplyConfiguration(MeshConfiguration::Pointer read);
  // Applies the changes that a reader passed on.
  void ApplyConfigurationChange(const membership::NodeId& from, const Update& update);
  // Applies rollout orders that were read or passed on; the first time also reports that there are
  // none.
  void ApplyOrders(const std::vector<RolloutOrder>& next);
  // Recovery from a register that came back from an older copy (register_restore.cc).
  // Judges the era that an answer states. Makes listings of both streams due if it has risen.
  details::EraVerdict ObserveEra(details::RegisterEra::Request request,
                                 const std::optional<Era>& stated);
  // Compares a record that the register holds with what is known of its owner.
  void NoteStoredRecord(const membership::Member& stored);
  // Finds the records of this zone that a listing lacks.
  void FindMissingRecords(const std::vector<membership::Member>& listed);
  // The register holds no record of this node, though it had acknowledged one.
  void HandleOwnRecordMissing();
  // Tells other nodes what the register holds of them: owners of outdated records, and subscribers
  // after the register was restored, as only the owner knows all that was acknowledged. Repeated at
  // growing intervals, because a message may be lost.
  void TellOwners();
  void TellOwnerIfDue(const membership::NodeId& id);
  // Applies the record that the register holds for this node.
  void ApplyOwnRecord(const membership::Member& stored);
  // Applies a record of this or another node.
  void ApplyMember(const membership::Member& member);
  void UpdateOwnState();
  // Tells of each change of the withdrawal that the register is known to hold.
  void ReportStoredWithdrawal();
  // When the waiting read counts as lost; none if nothing newer than the configuration in force is
  // known.
  std::optional<utils::Timestamp> StalledReadTimeout() const;
  void HandleStalledRead();
  // Abandons the read of the configuration if its response is overdue.
  void HandleOverdueRead();
  // `reason` completes "read abandoned: ".
  void AbandonConfigurationRead(const std::string& reason);
  // Asks the node that uses a newer version for it.
  void RequestNewerConfiguration();
  // Sends a message to a ready node of each other zone.
  void SendToOtherZones(const Message& message);
  // Tells a node of each other zone the version in force.
  void NotifyOtherZones();
  // Confirmation of the configuration by the register (confirmation.cc).
  void Confirm(utils::Timestamp at);
  // Notices that this process was suspended or delayed: what it receives then may be old.
  void TrackDelays();
  bool WasDelayed() const { return this->now < this->delayed_until; }
  // The earliest time at which an event that arrives now may have been sent.
  utils::Timestamp EventTime() const {
    return this->WasDelayed() ? this->delayed_since : this->now;
  }
  void HandleConfirmingRead(const StreamReadSucceeded& event, utils::Timestamp answered_at);
  void SendConfirmation(const membership::NodeId& to);
  // Position of the own zone in the order in which readers confirm this version.
  utils::Duration::rep ConfirmationRank() const;
  bool IsZoneAlone() const;
  // When to read because the configuration is unconfirmed; none if that is not up to this node.
  std::optional<utils::Timestamp> UnconfirmedDeadline() const;
  void HandleUnconfirmed();
  // The wait by the number of zones, and the wait of the next read.
  utils::Duration PlainReadWait() const;
  utils::Duration ConfigurationReadWait() const;
  utils::Duration ReadWait(Stream stream) const;
  // Emits the reads and writes that are due.
  void Poll();
  bool IsReading() const { return this->selection.Mode() == details::ReadMode::kReading; }
  // Whether the node reads this stream itself now.
  bool Reads(Stream stream) const;
  // Whether both streams have been read since this node began to read.
  bool IsCurrent() const;
  // Whether the records that the register holds for earlier processes of this node are known.
  bool IsPredecessorKnown() const;

  // Decides on the reader and serves the subscribers.
  void PollSharedReads();
  details::ReaderSelection::Situation MakeSituation() const;
  void SendAll(std::vector<details::OutgoingMessage> messages);
  void ReportSource();
  void TrackFailingReads();
  // When failing reads become known to the subscribers; none if they already are, or succeed.
  std::optional<utils::Timestamp> FailingReadsDeadline() const;
  bool ReadsFail() const;
  // Whether there is something to tell subscribers: success, or failure.
  bool CanAnswer() const {
    return this->IsReading() && (this->IsCurrent() || this->reads_failing_since);
  }
  bool IsHealthy() const { return this->IsCurrent() && !this->ReadsFail(); }
  // Sends each subscriber what it lacks if anything changed.
  void PushUpdates();
  void SendUpdate(const membership::NodeId& to);
  bool Announces() const { return this->IsReading() && this->IsCurrent() && !this->draining; }
  // Tells members that do not subscribe that this node reads.
  void Announce();
  // Names another reader to all subscribers, which this node no longer serves.
  void DismissSubscribers(const membership::NodeId& reader);
  details::StreamFollower& GetFollower(Stream stream) {
    return this->followers.at(static_cast<std::size_t>(stream));
  }
  const details::StreamFollower& GetFollower(Stream stream) const {
    return this->followers.at(static_cast<std::size_t>(stream));
  }

  const Options options;
  utils::Random random;
  details::OwnEntry own_entry;
  details::RegisterEra era;
  membership::details::MemberTable members;
  std::array<details::StreamFollower, kStreamCount> followers;
  // Records that the register holds though a later one of the same member is known, and empty ones
  // for members of this zone of which it holds none: their owners have to write again. Empty while
  // this node does not read.
  std::map<membership::NodeId, membership::Member> outdated_records;
  // When the owners of records were told, since the register was restored or the record was found.
  struct Told {
    std::uint32_t times = 0;
    utils::Timestamp next{};
  };
  std::map<membership::NodeId, Told> told;
  MeshConfiguration::Pointer configuration;
  details::RolloutOrders orders;
  bool orders_known = false;
  // A version above the one in force that another node uses, and the time since which it is
  // awaited.
  struct NewerVersion {
    document::Version version = 0;
    membership::NodeId node;
    utils::Timestamp waiting_since{};
  };
  std::optional<NewerVersion> newer_version;
  details::ReaderSelection selection;
  details::Subscribers subscribers;
  // The latest change of member records received from a reader; none while this node reads.
  ChangeNumber members_until;
  // The source reported last; none before the first report.
  std::optional<membership::NodeId> reported_source;
  // The stored withdrawal reported last.
  std::optional<Withdrawal> reported_withdrawal;
  std::optional<utils::Timestamp> reads_failing_since;
  utils::Timestamp configuration_changed_at{};
  // The latest time at which the register is known to have held no newer configuration; none if
  // that is unknown, also because the reader runs a build that does not tell.
  std::optional<utils::Timestamp> confirmed_at;
  // When a reader of another zone last confirmed it.
  std::optional<utils::Timestamp> other_zone_confirmed_at;
  // Updates of the reader since its last confirmation.
  std::uint32_t updates_without_confirmation = 0;
  // By how much waits since the last change were shorter than by the number of zones. Later waits
  // make up for it.
  utils::Duration saved_wait{};
  utils::Timestamp next_delay_probe{};
  utils::Timestamp last_event{};
  utils::Timestamp delayed_since{};
  utils::Timestamp delayed_until{};
  // A subscriber reads the configuration once.
  bool checking = false;
  utils::Timestamp next_check{};
  // State that the subscribers were told last.
  struct PushedState {
    document::Version version = 0;
    std::uint64_t last_change = 0;
    bool healthy = false;
    std::uint64_t orders_end = 0;
    bool operator==(const PushedState&) const = default;
  };
  PushedState pushed;
  utils::Timestamp next_announcement{};
  std::uint64_t announced_generation = 0;
  // Whether the reads of this node had succeeded, and it could announce itself, at the last event.
  bool could_serve = false;
  bool was_subscribed = false;
  bool backend_server_ready = false;
  bool draining = false;
  bool started = false;
  Counters counters;
  utils::Timestamp now{};
  std::vector<Effect> effects;
};

}  // namespace amaranthlatch::directory
