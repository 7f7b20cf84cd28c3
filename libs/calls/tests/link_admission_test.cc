// Tests of the link at the gate and in the choice of a gate.

#include <CppUTest/TestHarness.h>

#include <string>

#include "amaranthlatch/calls/balance_policy.h"
#include "link_budget.h"
#include "mesh.h"

namespace amaranthlatch::calls::testing {

using details::LinkBudget;
using document::Priority;
using utils::Duration;
using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

namespace {
// 1 byte per microsecond, so that 100 KB take 0.1 s.
constexpr std::uint64_t kLinkRate = 8'000'000;
constexpr std::size_t kBulkBytes = 100'000;
}  // namespace

// Node 0 is the gate, whose backend server responds only through Respond.
TEST_GROUP(LinkAdmission) {
  Options options;
  std::unique_ptr<Mesh> mesh;
  std::vector<CallReply> replies;
  std::uint64_t calls = 0;
  std::uint64_t runs = 0;

  void setup() override {
    this->options.gate.link_bits_per_second = kLinkRate;
    this->mesh = std::make_unique<Mesh>(2, 1, this->options);
    document::ServiceDocument document = FleetDocument();
    document.protection.slots = 20;
    this->mesh->routes.Set(document);
    this->mesh->nodes[0].backend.mode = BackendMode::kSilent;
    this->mesh->Deliver(0, BackendServerChanged{"fleet", 20, true});
    this->mesh->filter = [this](std::size_t, std::size_t, const Message& message) {
      if (const auto* reply = std::get_if<CallReply>(&message)) {
        this->replies.push_back(*reply);
      }
      return false;
    };
  }
  // Sends a call through node 1, or through the gate itself.
  void Send(const char* route, Priority priority, Duration budget, std::size_t entry = 1) {
    CallRequest request;
    request.id = AttemptId{this->mesh->NodeName(entry), 9, ++this->calls, 1};
    request.gate_incarnation = this->mesh->nodes[0].incarnation;
    request.gate_boot_id = this->mesh->nodes[0].boot;
    request.service = "fleet";
    request.route = route;
    request.request.body = "call " + std::to_string(this->calls);
    request.remaining = Seconds(5);
    request.latency_budget = budget;
    request.priority = priority;
    request.fingerprint = this->calls;
    request.max_response_bytes = 1'000'000;
    this->mesh->Deliver(0, PeerMessage{this->mesh->NodeName(entry), request});
  }
  void Respond(std::size_t bytes) {
    this->mesh->RunFor(Milliseconds(10));
    this->mesh->nodes[0].backend.running.erase(++this->runs);
    this->mesh->Deliver(0, BackendServerAnswered{this->runs, {200, {}, std::string(bytes, 'x')}});
  }
  // Lets the gate learn the answer sizes of both routes, and the link drain.
  void Learn() {
    this->Send("download", Priority::kNormal, Seconds(2));
    this->Respond(kBulkBytes);
    this->Send("lookup", Priority::kInternal, {});
    this->Respond(100);
    this->mesh->RunFor(Seconds(1));
    this->replies.clear();
  }
  void teardown() override { STRCMP_EQUAL("", this->mesh->FirstError().c_str()); }
};

// Guards against a download that runs although its answer would wait behind others until it is
// late, and against nested calls and calls of this instance that are refused because of downloads.
TEST(LinkAdmission, BulkThatWouldMissItsTargetIsRefusedAtOnce) {
  this->Learn();
  // At 0.85 of the rate each answer takes 118 ms: the fifth would end after 0.59 s.
  for (int i = 0; i < 5; ++i) {
    this->Send("download", Priority::kNormal, Milliseconds(500));
  }
  CHECK_EQUAL(1, this->replies.size());
  CHECK_TRUE(this->replies.back().answer.code == ErrorCode::kLinkBusy);
  CHECK_TRUE(this->replies.back().answer.kind == ResultKind::kNotRun);
  CHECK_TRUE(this->replies.back().load.link_wait_ms.at(2) >= 400);
  // Nested calls overtake downloads, and calls of this instance do not use the link.
  this->Send("lookup", Priority::kInternal, Milliseconds(50));
  this->Send("download", Priority::kNormal, Milliseconds(500), 0);
  CHECK_EQUAL(1, this->replies.size());
  CHECK_EQUAL(6, this->mesh->nodes[0].calls->GetGauges().in_flight);
  // Answers in progress count like those to come, until the link has moved them.
  for (int i = 0; i < 4; ++i) {
    this->Respond(kBulkBytes);
  }
  this->Send("download", Priority::kNormal, Milliseconds(500));
  CHECK_TRUE(this->replies.back().answer.code == ErrorCode::kLinkBusy);
  this->mesh->RunFor(Milliseconds(500));
  this->replies.clear();
  this->Send("download", Priority::kNormal, Milliseconds(500));
  CHECK_TRUE(this->replies.empty());
}

// Guards against bulk of a lower class that keeps out that of a higher one, and against bulk below
// class internal that fills the link.
TEST(LinkAdmission, LowerClassesAreRefusedFirst) {
  LinkBudget link(kLinkRate);
  link.RecordAnswerSize(1, kBulkBytes);
  const utils::Timestamp now{Seconds(1)};
  for (int i = 0; i < 4; ++i) {
    link.OnAdmitted(1, Priority::kBatch);
  }
  link.OnAdmitted(1, Priority::kInteractive);
  CHECK_TRUE(link.BulkWait(Priority::kInternal, now) == Duration{});
  CHECK_TRUE(link.BulkWait(Priority::kInteractive, now) < Milliseconds(120));
  CHECK_TRUE(link.BulkWait(Priority::kBatch, now) > Milliseconds(580));
  for (int i = 0; i < 4; ++i) {
    link.OnEnded(1, Priority::kBatch, kBulkBytes, now);
  }
  link.OnEnded(1, Priority::kInteractive, 0, now);
  // 85 KB have moved after 0.1 s, at a rate that leaves the rest to class internal.
  CHECK_TRUE(link.BulkWait(Priority::kBatch, now + Milliseconds(100)) > Milliseconds(365));
  CHECK_TRUE(link.BulkWait(Priority::kBatch, now + Milliseconds(480)) == Duration{});
}

// Guards against downloads that are sent to a gate with a busy link beside one whose link is free.
TEST(LinkAdmission, EntryAvoidsBusyLinksForBulkOnly) {
  Mesh three(3, 1, this->options);
  for (std::size_t i = 0; i < 3; ++i) {
    three.SetPolicy(
        i, std::make_unique<ExpectedTimePolicy>(ExpectedTimePolicy::Costs{Milliseconds(10)}));
  }
  three.Publish(0, membership::MemberState::kJoining);
  document::ServiceDocument document = FleetDocument();
  FindRoute(document, "read")->max_response_bytes = 1'000'000;
  three.routes.Set(document);
  // Gate 1 reports a busy link with each reply; answers of /read are bulk.
  std::array<int, 3> reads{};
  std::array<int, 3> writes{};
  three.filter = [&](std::size_t from, std::size_t to, const Message& message) {
    if (const auto* request = std::get_if<CallRequest>(&message)) {
      const bool is_read = request->request.target == "/read";
      ++(is_read ? reads : writes).at(to);
      CallReply reply;
      reply.id = request->id;
      reply.answer.kind = ResultKind::kAnswered;
      reply.answer.response.body = "answer to " + request->request.body;
      reply.answer.response.headers = {{kBackendTimeField, "5000"}};
      reply.load.link_wait_ms.fill(to == 1 ? 300 : 0);
      three.At(Milliseconds(1), [&three, from, to, reply, is_read] {
        CallReply sent = reply;
        sent.answer.response.body.resize(is_read ? kBulkBytes : sent.answer.response.body.size());
        three.Deliver(from, PeerMessage{three.NodeName(to), sent});
      });
      return false;
    }
    return true;
  };
  for (int i = 0; i < 200; ++i) {
    three.Call(0, i % 2 == 0 ? "/read" : "/write", std::to_string(i));
    three.RunFor(Milliseconds(5));
  }
  CHECK_TRUE(reads.at(1) <= 2);
  CHECK_TRUE(writes.at(1) > 20 && writes.at(2) > 20);
}

}  // namespace amaranthlatch::calls::testing
