// Membership: one node of a mesh of 22 zones at rest and under changes.

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "amaranthlatch/membership/membership.h"
#include "amaranthlatch/membership/message_codec.h"
#include "benchmark.h"

namespace amaranthlatch::benchmark {

namespace {

using membership::Member;
using membership::Membership;

constexpr std::size_t kZones = 22;
constexpr std::size_t kPage = 64;
constexpr std::size_t kRepeats = 2'000;
constexpr std::uint64_t kIncarnation = 1'700'000'000'000;

Member MakeMember(std::size_t number) {
  Member member;
  const std::size_t zone = number % kZones;
  member.id = "10." + std::to_string(zone) + "." + std::to_string(number / 250) + "." +
              std::to_string(number % 250) + ":7400";
  member.region = "region-" + std::to_string(zone / 2);
  member.zone = "zone-" + std::to_string(zone);
  member.service = "service-" + std::to_string(number % 1'200);
  member.labels = {{"release", "1"}};
  member.data_address = member.id;
  member.incarnation = kIncarnation;
  member.boot_id = number;
  member.state = membership::MemberState::kReady;
  member.slots = 20;
  return member;
}

class Bench {
 public:
  explicit Bench(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      this->members.push_back(MakeMember(i));
    }
  }

  void Create() {
    membership::Options options;
    const Member& self = this->members.front();
    options.id = self.id;
    options.region = self.region;
    options.zone = self.zone;
    options.seeds = {this->members.back().id};
    options.wall_time_ms = kIncarnation;
    this->reducer.emplace(*Membership::Create(options));
    this->Feed(membership::WakeUp{});
  }

  std::vector<membership::Effect> Feed(const membership::Event& event) {
    return this->reducer->Reduce(event, this->now);
  }

  void Receive(const membership::Message& message) {
    this->Feed(membership::PeerMessage{this->members[kZones].id, message});
  }

  void LoadAll() {
    for (std::size_t begin = 1; begin < this->members.size(); begin += kPage) {
      const std::size_t end = std::min(begin + kPage, this->members.size());
      membership::MemberUpdates page;
      page.members.assign(this->members.begin() + static_cast<std::ptrdiff_t>(begin),
                          this->members.begin() + static_cast<std::ptrdiff_t>(end));
      this->Receive(page);
    }
  }

  // Runs at rest: every probe is answered at once. Returns the number of events.
  std::size_t RunAtRest(utils::Duration time) {
    std::size_t events = 0;
    for (const utils::Timestamp end = this->now + time; this->now < end;) {
      this->now = std::max(this->now, *this->reducer->NextWake());
      ++events;
      for (const auto& effect : this->Feed(membership::WakeUp{})) {
        const auto* send = std::get_if<membership::SendMessage>(&effect);
        const auto* probe =
            send == nullptr ? nullptr : std::get_if<membership::Probe>(&send->message);
        if (probe != nullptr) {
          ++events;
          this->Feed(membership::PeerMessage{
              send->to, membership::ProbeAck{probe->sequence, probe->digests}});
        }
      }
    }
    return events;
  }

  // A changed record of the zone's number, and the read of the list that it is in.
  void Change(std::size_t zone, std::size_t round) {
    const std::size_t in_zone = (this->members.size() - kZones) / kZones;
    Member& member = this->members[zone + kZones * (1 + round % in_zone)];
    ++member.incarnation;
    this->Receive(membership::MemberUpdates{{member}, 0});
    this->reducer->View().ZoneMembers(member.zone);
    this->reducer->View().ServiceMembers(member.service);
  }

  std::vector<Member> members;
  std::optional<Membership> reducer;
  utils::Timestamp now{utils::Seconds(1)};
};

}  // namespace

nlohmann::json MeasureMembership(std::size_t members) {
  Bench bench(members);
  const std::size_t before = HeapBytes();
  bench.Create();
  const double load = MeasureMicroseconds(1, [&](std::size_t) { bench.LoadAll(); });
  // Pending pushes are sent and their memory returned.
  bench.RunAtRest(utils::Seconds(60));
  const std::size_t table = HeapBytes() - before;
  const membership::MemberView& view = bench.reducer->View();
  for (const std::string& zone : view.Zones()) {
    view.ZoneMembers(zone);
  }
  for (const std::string& region : view.Regions()) {
    view.RegionMembers(region);
  }
  const std::size_t with_lists = HeapBytes() - before;

  std::size_t rest_events = 0;
  const double rest = MeasureMicroseconds(
      1, [&](std::size_t) { rest_events = bench.RunAtRest(utils::Seconds(600)); });
  const double probe = MeasureMicroseconds(kRepeats, [&](std::size_t round) {
    bench.Receive(membership::Probe{round, {}});
  });
  const double own_zone =
      MeasureMicroseconds(kRepeats, [&](std::size_t round) { bench.Change(0, round); });
  const double other_zone =
      MeasureMicroseconds(kRepeats, [&](std::size_t round) { bench.Change(1, round); });
  const auto count = static_cast<double>(members);
  return {{"members", members},
          {"load_us_per_member", load / count},
          {"rest_us_per_event", rest / static_cast<double>(rest_events)},
          {"rest_us_per_second", rest / 600.0},
          {"probe_received_us", probe},
          {"change_in_own_zone_us", own_zone},
          {"change_in_other_zone_us", other_zone},
          {"bytes_per_member", static_cast<double>(table) / count},
          {"bytes_per_member_with_zone_and_region_lists", static_cast<double>(with_lists) / count}};
}

}  // namespace amaranthlatch::benchmark
