// Events of the register and of the backend server.

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
        own(options),
        members(own.Record()),
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

  void TakeConfiguration(MeshConfiguration::Pointer read);
  void TakeMember(const Member& member);
  void UpdateOwnState();
  void AbandonLostRead();
  // Gives the reads and writes that are due.
  void Poll();
  details::StreamFollower& FollowerOf(Stream stream) {
    return this->followers.at(static_cast<std::size_t>(stream));
  }

  const Options options;
  utils::Random random;
  details::OwnEntry own;
  membership::details::MemberTable members;
  std::array<details::StreamFollower, kStreamCount> followers;
  MeshConfiguration::Pointer configuration;
  // A version above the one in force that another node acts on, and since when it is known.
  struct Behind {
    document::Version version = 0;
    Timestamp since{};
  };
  std::optional<Behind> behind;
  // The backend server takes work.
  bool server_ready = false;
  bool draining = false;
  bool begun = false;
  Counters counters;
  Timestamp now{};
  std::vector<Effect> effects;
};

void Directory::Impl::Handle(const StreamReadSucceeded& event) {
  details::StreamFollower& follower = this->FollowerOf(event.stream);
  ++this->counters.reads;
  if (follower.IsFailing()) {
    this->effects.emplace_back(RegisterReachabilityChanged{event.stream, true, {}});
  }
  follower.OnRead(event.next, this->now);
  if (event.configuration != nullptr) {
    this->TakeConfiguration(event.configuration);
  }
  const Member* own_record = nullptr;
  for (const Member& member : event.members) {
    if (member.id == this->options.id) {
      own_record = &member;
    } else {
      this->TakeMember(member);
    }
  }
  // Earlier records of this node were replaced by the last one.
  if (own_record != nullptr) {
    this->own.OnStored(*own_record);
  }
}

void Directory::Impl::Handle(const StreamReadFailed& event) {
  details::StreamFollower& follower = this->FollowerOf(event.stream);
  ++this->counters.reads_failed;
  if (!follower.IsFailing()) {
    this->effects.emplace_back(RegisterReachabilityChanged{event.stream, false, event.error});
  }
  follower.OnFailed(event.truncated, this->random, this->now);
}

void Directory::Impl::Handle(const MemberWriteCompleted& event) {
  ++(event.written ? this->counters.writes : this->counters.writes_failed);
  this->own.OnWriteEnded(event.written, this->random, this->now);
}

void Directory::Impl::Handle(const BackendServerReady& event) {
  this->own.SetBackendServer(event.service, event.labels, event.slots);
  this->server_ready = true;
}

void Directory::Impl::Handle(const BackendServerUnavailable& /*event*/) {
  this->server_ready = false;
}

void Directory::Impl::Handle(const NewerVersionObserved& event) {
  if (!this->behind && this->configuration != nullptr &&
      event.version > this->configuration->GetVersion()) {
    this->behind = Behind{event.version, this->now};
  }
}

void Directory::Impl::Handle(const DrainStarted& /*event*/) { this->draining = true; }

void Directory::Impl::TakeConfiguration(MeshConfiguration::Pointer read) {
  const document::Version previous_version =
      this->configuration == nullptr ? 0 : this->configuration->GetVersion();
  if (this->configuration != nullptr && read->GetVersion() <= previous_version) {
    ++this->counters.configurations_stale;
    return;
  }
  ++this->counters.configurations_activated;
  this->configuration = std::move(read);
  if (this->behind && this->behind->version <= this->configuration->GetVersion()) {
    this->behind.reset();
  }
  this->effects.emplace_back(ConfigurationActivated{
      this->configuration->GetVersion(), previous_version, this->configuration->RouteCount()});
}

void Directory::Impl::TakeMember(const Member& member) {
  if (this->members.Offer(member, this->now) ==
      membership::details::MemberTable::Outcome::kStored) {
    ++this->counters.members_changed;
    this->effects.emplace_back(MemberChanged{member});
  } else {
    ++this->counters.members_stale;
  }
}

void Directory::Impl::UpdateOwnState() {
  MemberState state = MemberState::kJoining;
  if (this->draining || (!this->server_ready && this->own.Record().slots > 0)) {
    state = MemberState::kDraining;
  } else if (this->server_ready && this->configuration != nullptr) {
    state = MemberState::kReady;
  }
  this->own.SetState(state);
  this->members.Offer(this->own.Record(), this->now);
}

void Directory::Impl::AbandonLostRead() {
  if (this->behind &&
      this->now - this->behind->since >= this->options.stale_configuration_timeout) {
    // The next attempt has as much time.
    this->behind->since = this->now;
    if (this->FollowerOf(Stream::kConfiguration).Abandon(this->now)) {
      ++this->counters.reads_abandoned;
      this->effects.emplace_back(RegisterReachabilityChanged{
          Stream::kConfiguration,
          false,
          {utils::ErrorCode::kLogUnavailable,
           "no answer, and version " + std::to_string(this->behind->version) +
               " is in use elsewhere",
           {}}});
    }
  }
}

void Directory::Impl::Poll() {
  for (details::StreamFollower& follower : this->followers) {
    if (std::optional<ReadStream> read = follower.Poll(this->now)) {
      this->counters.listings += read->from ? 0 : 1;
      this->effects.emplace_back(*read);
    }
  }
  // The incarnation must exceed that of a predecessor, which the first listing tells.
  if (!this->FollowerOf(Stream::kMembers).IsListed()) {
    return;
  }
  if (std::optional<Member> member = this->own.Poll(this->now)) {
    this->effects.emplace_back(WriteMember{std::move(*member)});
  }
}

utils::Result<Directory> Directory::Create(const Options& options) {
  if (options.id.empty() || options.zone.empty() || options.initial_retry_delay.count() <= 0 ||
      options.max_retry_delay < options.initial_retry_delay) {
    return utils::Fail(utils::ErrorCode::kSettingsOutOfRange,
                       "the directory needs an id, a zone and retry times above 0");
  }
  return Directory(std::make_unique<Impl>(options));
}

Directory::Directory(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
Directory::Directory(Directory&&) noexcept = default;
Directory& Directory::operator=(Directory&&) noexcept = default;
Directory::~Directory() = default;

std::vector<Effect> Directory::Reduce(const Event& event, Timestamp now) {
  Impl& all = *this->impl;
  all.begun = true;
  all.now = now;
  std::visit([&all](const auto& value) { all.Handle(value); }, event);
  all.UpdateOwnState();
  all.AbandonLostRead();
  all.Poll();
  return std::exchange(all.effects, {});
}

std::optional<Timestamp> Directory::NextWake() const {
  const Impl& all = *this->impl;
  if (!all.begun) {
    return Timestamp{};
  }
  std::optional<Timestamp> next;
  const auto keep = [&next](const std::optional<Timestamp>& wake) {
    if (wake && (!next || *wake < *next)) {
      next = wake;
    }
  };
  for (const details::StreamFollower& follower : all.followers) {
    keep(follower.NextWake());
  }
  if (all.behind) {
    keep(all.behind->since + all.options.stale_configuration_timeout);
  }
  if (all.followers.at(static_cast<std::size_t>(Stream::kMembers)).IsListed()) {
    keep(all.own.NextWake());
  }
  return next;
}

const membership::MemberView& Directory::Members() const { return this->impl->members; }

MeshConfiguration::Pointer Directory::Configuration() const { return this->impl->configuration; }

const Counters& Directory::GetCounters() const { return this->impl->counters; }

}  // namespace amaranthlatch::directory
