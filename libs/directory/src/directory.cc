// Handling of register, backend server and shutdown events.

#include "amaranthlatch/directory/directory.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "amaranthlatch/membership/member_table.h"
#include "own_entry.h"
#include "stream_follower.h"

namespace amaranthlatch::directory {

namespace {
using membership::Member;
using membership::MemberState;
using utils::Timestamp;
}  // namespace

struct Directory::Impl {
  explicit Impl(const Options& from)
      : options(from),
        random(from.seed),
        own_entry(options),
        members(own_entry.Record()),
        followers{
            details::StreamFollower(Stream::kConfiguration, from.configuration_read_delay, options),
            details::StreamFollower(Stream::kMembers, from.members_read_delay, options)} {}

  void Handle(const WakeUp& /*event*/) {}
  void Handle(const StreamReadSucceeded& event);
  void Handle(const StreamReadFailed& event);
  void Handle(const MemberWriteCompleted& event);
  void Handle(const BackendServerReady& event);
  void Handle(const BackendServerUnavailable& event);
  void Handle(const NewerVersionObserved& event);
  void Handle(const DrainStarted& event);

  void ApplyConfiguration(MeshConfiguration::Pointer read);
  void ApplyMember(const Member& member);
  void UpdateOwnState();
  // When the waiting read counts as lost; none if nothing newer than the configuration in force is
  // known.
  std::optional<Timestamp> StalledReadTimeout() const;
  void AbandonStalledRead();
  // Emits the reads and writes that are due.
  void Poll();
  details::StreamFollower& GetFollower(Stream stream) {
    return this->followers.at(static_cast<std::size_t>(stream));
  }

  const Options options;
  utils::Random random;
  details::OwnEntry own_entry;
  membership::details::MemberTable members;
  std::array<details::StreamFollower, kStreamCount> followers;
  MeshConfiguration::Pointer configuration;
  // A version above the one in force that another node uses, and the time since which it is
  // awaited.
  struct NewerVersion {
    document::Version version = 0;
    Timestamp waiting_since{};
  };
  std::optional<NewerVersion> newer_version;
  bool backend_server_ready = false;
  bool draining = false;
  bool started = false;
  Counters counters;
  Timestamp now{};
  std::vector<Effect> effects;
};

void Directory::Impl::Handle(const StreamReadSucceeded& event) {
  details::StreamFollower& follower = this->GetFollower(event.stream);
  ++this->counters.reads;
  if (follower.IsFailing()) {
    this->effects.emplace_back(RegisterReachabilityChanged{event.stream, true, {}});
  }
  follower.OnReadSucceeded(event.next, this->now);
  if (event.configuration != nullptr) {
    this->ApplyConfiguration(event.configuration);
  }
  const Member* own_record = nullptr;
  for (const Member& member : event.members) {
    if (member.id == this->options.id) {
      own_record = &member;
    } else {
      this->ApplyMember(member);
    }
  }
  // Only the last record of this node counts: it replaced the earlier ones.
  if (own_record != nullptr) {
    this->own_entry.OnRecordRead(*own_record);
  }
}

void Directory::Impl::Handle(const StreamReadFailed& event) {
  details::StreamFollower& follower = this->GetFollower(event.stream);
  ++this->counters.reads_failed;
  if (!follower.IsFailing()) {
    this->effects.emplace_back(RegisterReachabilityChanged{event.stream, false, event.error});
  }
  follower.OnReadFailed(event.truncated, this->random, this->now);
}

void Directory::Impl::Handle(const MemberWriteCompleted& event) {
  ++(event.written ? this->counters.writes : this->counters.writes_failed);
  this->own_entry.OnWriteCompleted(event.written, this->random, this->now);
}

void Directory::Impl::Handle(const BackendServerReady& event) {
  this->own_entry.SetBackendServer(event.service, event.labels, event.slots);
  this->backend_server_ready = true;
}

void Directory::Impl::Handle(const BackendServerUnavailable& /*event*/) {
  this->backend_server_ready = false;
}

void Directory::Impl::Handle(const NewerVersionObserved& event) {
  if (!this->newer_version && this->configuration != nullptr &&
      event.version > this->configuration->GetVersion()) {
    this->newer_version = NewerVersion{event.version, this->now};
  }
}

void Directory::Impl::Handle(const DrainStarted& /*event*/) { this->draining = true; }

void Directory::Impl::ApplyConfiguration(MeshConfiguration::Pointer read) {
  const document::Version previous_version =
      this->configuration == nullptr ? 0 : this->configuration->GetVersion();
  if (this->configuration != nullptr && read->GetVersion() <= previous_version) {
    ++this->counters.configurations_stale;
    return;
  }
  ++this->counters.configurations_activated;
  this->configuration = std::move(read);
  if (this->newer_version && this->newer_version->version <= this->configuration->GetVersion()) {
    this->newer_version.reset();
  }
  this->effects.emplace_back(ConfigurationActivated{
      this->configuration->GetVersion(), previous_version, this->configuration->RouteCount()});
}

void Directory::Impl::ApplyMember(const Member& member) {
  if (this->members.Merge(member, this->now) ==
      membership::details::MemberTable::MergeResult::kStored) {
    ++this->counters.members_changed;
    this->effects.emplace_back(MemberChanged{member});
  } else {
    ++this->counters.members_stale;
  }
}

void Directory::Impl::UpdateOwnState() {
  MemberState state = MemberState::kJoining;
  if (this->draining || (!this->backend_server_ready && this->own_entry.Record().slots > 0)) {
    state = MemberState::kDraining;
  } else if (this->backend_server_ready && this->configuration != nullptr) {
    state = MemberState::kReady;
  }
  this->own_entry.SetState(state);
  this->members.Merge(this->own_entry.Record(), this->now);
}

std::optional<Timestamp> Directory::Impl::StalledReadTimeout() const {
  const std::optional<Timestamp> read_start =
      this->followers.at(static_cast<std::size_t>(Stream::kConfiguration)).WaitingSince();
  if (!this->newer_version || !read_start) {
    return std::nullopt;
  }
  return std::max(this->newer_version->waiting_since, *read_start) +
         this->options.stale_configuration_timeout;
}

void Directory::Impl::AbandonStalledRead() {
  const std::optional<Timestamp> timeout = this->StalledReadTimeout();
  if (!timeout || this->now < *timeout) {
    return;
  }
  if (this->now - *timeout > this->options.max_wake_delay) {
    this->newer_version->waiting_since = this->now;
    return;
  }
  if (this->GetFollower(Stream::kConfiguration).AbandonRead(this->now)) {
    ++this->counters.reads_abandoned;
    this->effects.emplace_back(RegisterReachabilityChanged{
        Stream::kConfiguration,
        false,
        {utils::ErrorCode::kLogUnavailable,
         "read abandoned without an answer: version " +
             std::to_string(this->newer_version->version) + " is already in force on another node",
         {}}});
  }
}

void Directory::Impl::Poll() {
  for (details::StreamFollower& follower : this->followers) {
    if (std::optional<ReadStream> read = follower.Poll(this->now)) {
      this->counters.listings += read->from ? 0 : 1;
      this->effects.emplace_back(*read);
    }
  }
  // The incarnation must exceed that of an earlier process of this node, which is only known after
  // the first listing.
  if (!this->GetFollower(Stream::kMembers).IsListed()) {
    return;
  }
  if (std::optional<Member> member = this->own_entry.Poll(this->now)) {
    this->effects.emplace_back(WriteMember{std::move(*member)});
  }
}

utils::Result<Directory> Directory::Create(const Options& options) {
  if (options.id.empty() || options.zone.empty() || options.initial_retry_delay.count() <= 0 ||
      options.max_retry_delay < options.initial_retry_delay) {
    return utils::Fail(
        utils::ErrorCode::kSettingsOutOfRange,
        "the directory needs a node id, a zone, an initial retry delay above 0 and a maximum "
        "retry delay that is not below the initial one");
  }
  return Directory(std::make_unique<Impl>(options));
}

Directory::Directory(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Directory::Directory(Directory&&) noexcept = default;
Directory& Directory::operator=(Directory&&) noexcept = default;
Directory::~Directory() = default;

std::vector<Effect> Directory::Reduce(const Event& event, Timestamp now) {
  Impl& reducer = *this->impl;
  reducer.started = true;
  reducer.now = now;
  std::visit([&reducer](const auto& value) { reducer.Handle(value); }, event);
  reducer.UpdateOwnState();
  reducer.AbandonStalledRead();
  reducer.Poll();
  return std::exchange(reducer.effects, {});
}

std::optional<Timestamp> Directory::NextWake() const {
  const Impl& reducer = *this->impl;
  if (!reducer.started) {
    return Timestamp{};
  }
  std::optional<Timestamp> next;
  const auto keep_earliest = [&next](const std::optional<Timestamp>& candidate) {
    if (candidate && (!next || *candidate < *next)) {
      next = candidate;
    }
  };
  for (const details::StreamFollower& follower : reducer.followers) {
    keep_earliest(follower.NextWake());
  }
  keep_earliest(reducer.StalledReadTimeout());
  if (reducer.followers.at(static_cast<std::size_t>(Stream::kMembers)).IsListed()) {
    keep_earliest(reducer.own_entry.NextWake());
  }
  return next;
}

const membership::MemberView& Directory::Members() const { return this->impl->members; }

MeshConfiguration::Pointer Directory::Configuration() const { return this->impl->configuration; }

const Counters& Directory::GetCounters() const { return this->impl->counters; }

}  // namespace amaranthlatch::directory
