// Real time of the hot path.

#include <chrono>
#include <string>
#include <vector>

#include "amaranthlatch/calls/message_codec.h"
#include "mesh.h"
#include "scenarios.h"

namespace amaranthlatch::calls::benchmark {

namespace {
using nlohmann::json;
using testing::FakeMembers;
using testing::FakeRoutes;
using utils::Timestamp;

constexpr int kCodecRounds = 50'000;
constexpr int kCalls = 50'000;
constexpr std::size_t kBodyBytes = 1'024;
constexpr std::size_t kMembers = 16;
// A large service: its members are in six zones of three regions.
constexpr std::size_t kChoiceMembers = 300;
constexpr std::size_t kZones = 6;
constexpr int kChoices = 20'000;

class Stopwatch {
 public:
  double MicrosecondsFor(int rounds) const {
    const std::chrono::duration<double, std::micro> passed =
        std::chrono::steady_clock::now() - this->start;
    return passed.count() / rounds;
  }

 private:
  std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
};

HttpRequest MakeRequest() {
  HttpRequest request{"POST", "/read/a?b=c", "fleet", {}, std::string(kBodyBytes, 'x')};
  for (const char* name : {"accept", "user-agent", "content-type", "x-request-id"}) {
    request.headers.emplace_back(name, "a value of usual length");
  }
  return request;
}

json MeasureCodec() {
  CallRequest request;
  request.id = {"10.0.0.1:7000", 1, 2, 1};
  request.service = "fleet";
  request.route = "fleet/read";
  request.request = MakeRequest();
  const Message message = request;
  std::string bytes;
  const Stopwatch encode;
  for (int i = 0; i < kCodecRounds; ++i) {
    bytes = ToCbor(message);
  }
  const double encode_us = encode.MicrosecondsFor(kCodecRounds);
  std::size_t decoded = 0;
  const Stopwatch decode;
  for (int i = 0; i < kCodecRounds; ++i) {
    decoded += MessageFromCbor(bytes).has_value() ? 1 : 0;
  }
  const double decode_us = decode.MicrosecondsFor(kCodecRounds);
  return {{"encode_us", encode_us},
          {"decode_us", decode_us},
          {"message_bytes", bytes.size()},
          {"decoded", decoded}};
}

membership::Member MakeMember(std::size_t index) {
  membership::Member member;
  member.id = "10.0.0." + std::to_string(index) + ":7000";
  member.region = "r";
  member.zone = "z" + std::to_string(index);
  member.service = "fleet";
  member.boot_id = index + 1;
  member.state = membership::MemberState::kReady;
  member.slots = 8;
  return member;
}

// One call through an entry node and a gate, without codec and transport.
json MeasureReducer() {
  FakeRoutes routes;
  routes.Set(testing::FleetDocument());
  FakeMembers entry_view(MakeMember(0).id);
  FakeMembers gate_view(MakeMember(1).id);
  for (std::size_t i = 0; i < kMembers; ++i) {
    membership::Member member = MakeMember(i);
    // Only the gate of this measurement takes work.
    member.state = i == 1 ? member.state : membership::MemberState::kDraining;
    entry_view.Set(member);
    gate_view.Set(member);
  }
  Calls entry = std::move(*Calls::Create(Options{}));
  Calls gate = std::move(*Calls::Create(Options{}));
  Timestamp now(utils::Seconds(1));
  entry.Reduce(AdmissionChanged{true}, now, entry_view, routes);
  gate.Reduce(AdmissionChanged{true}, now, gate_view, routes);
  gate.Reduce(BackendServerChanged{"fleet", 8, true}, now, gate_view, routes);
  CallReceived received;
  received.request = MakeRequest();
  int answered = 0;
  const Stopwatch watch;
  for (int i = 0; i < kCalls; ++i) {
    now += utils::Duration(100);
    received.call = static_cast<std::uint64_t>(i) + 1;
    auto effects = entry.Reduce(received, now, entry_view, routes);
    PeerMessage request{"", std::move(std::get<SendMessage>(effects[0]).message)};
    effects = gate.Reduce(request, now, gate_view, routes);
    const std::uint64_t run = std::get<RunOnBackendServer>(effects[0]).run;
    BackendServerAnswered done{run, {200, {}, std::string(kBodyBytes, 'y')}};
    effects = gate.Reduce(done, now, gate_view, routes);
    PeerMessage reply{"", std::move(std::get<SendMessage>(effects[0]).message)};
    effects = entry.Reduce(reply, now, entry_view, routes);
    answered += std::holds_alternative<AnswerCaller>(effects[0]) ? 1 : 0;
  }
  return {{"entry_and_gate_us_per_call", watch.MicrosecondsFor(kCalls)}, {"answered", answered}};
}

// The entry side of one call to a service with many backend servers, all of them with recent
// reports of different loads: the choice dominates.
json MeasureChoice() {
  FakeRoutes routes;
  routes.Set(testing::FleetDocument());
  FakeMembers view(MakeMember(0).id);
  for (std::size_t i = 0; i < kChoiceMembers; ++i) {
    membership::Member member = MakeMember(i);
    member.zone = "z" + std::to_string(i % kZones);
    member.region = "r" + std::to_string(i % kZones / 2);
    // The entry's own gate takes no work.
    member.state = i == 0 ? membership::MemberState::kJoining : member.state;
    view.Set(member);
  }
  Calls entry = std::move(
      *Calls::Create(Options{}, std::make_unique<ExpectedTimePolicy>(ExpectedTimePolicy::Costs{})));
  Timestamp now(utils::Seconds(1));
  entry.Reduce(AdmissionChanged{true}, now, view, routes);
  CallReceived received;
  received.request = HttpRequest{"POST", "/read", "fleet", {}, "x"};
  std::uint64_t state = 1;
  int answered = 0;
  const Stopwatch watch;
  for (int i = 0; i < kChoices; ++i) {
    now += utils::Duration(100);
    received.call = static_cast<std::uint64_t>(i) + 1;
    CallReply reply;
    for (const Effect& effect : entry.Reduce(received, now, view, routes)) {
      if (const auto* send = std::get_if<SendMessage>(&effect)) {
        reply.id = std::get<CallRequest>(send->message).id;
      }
    }
    // A linear congruential generator: loads between 2 and 9 calls on 8 slots.
    state = state * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
    reply.load.in_flight = 2 + static_cast<std::uint32_t>(state >> 61U);
    reply.answer.kind = ResultKind::kAnswered;
    reply.answer.response = {200, {{kBackendTimeField, "20000"}}, "y"};
    const auto effects = entry.Reduce(PeerMessage{"", reply}, now, view, routes);
    answered += !effects.empty() && std::holds_alternative<AnswerCaller>(effects[0]) ? 1 : 0;
  }
  return {{"candidates", kChoiceMembers},
          {"entry_us_per_call", watch.MicrosecondsFor(kChoices)},
          {"answered", answered}};
}
}  // namespace

json MeasureCosts() {
  return {
      {"codec_1_kib", MeasureCodec()}, {"reducer", MeasureReducer()}, {"choice", MeasureChoice()}};
}

}  // namespace amaranthlatch::calls::benchmark
