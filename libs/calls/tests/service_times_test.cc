// Tests of service times by route, and of the admission that they decide: short calls beside long
// ones on a busy backend server, such as the calls that one service makes to another.

#include "service_times.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "mesh.h"
#include "priority_queue.h"
#include "server_speed.h"

namespace amaranthlatch::calls::testing {

using details::AdmittedCall;
using details::PriorityQueue;
using details::ServiceTimes;
using utils::ErrorCode;
using utils::Milliseconds;
using utils::Seconds;

TEST_GROUP(ServiceTimes){};

// Guards against one mean for routes of unlike work, and against unbounded memory.
TEST(ServiceTimes, MeansAreKeptByRoute) {
  ServiceTimes times(0.1);
  CHECK_TRUE(times.Mean() == utils::Duration{} && times.Mean(1) == utils::Duration{});
  for (int i = 0; i < 100; ++i) {
    times.Record(1, Milliseconds(10));
    times.Record(2, Milliseconds(200));
  }
  CHECK_TRUE(times.Mean(1) < Milliseconds(11) && times.Mean(2) > Milliseconds(199));
  CHECK_TRUE(times.Mean() > Milliseconds(50) && times.Mean() < Milliseconds(150));
  // A route without a sample counts like the others together.
  CHECK_TRUE(times.Mean(3) == times.Mean());
  for (std::uint64_t route = 10; route < 10 + ServiceTimes::kMaxRoutes; ++route) {
    times.Record(route, Milliseconds(50));
  }
  CHECK_TRUE(times.Mean(1) == times.Mean());
  CHECK_TRUE(times.Mean(25) < Milliseconds(51));
}

// Guards against a short call with little time that waits behind long ones of its class, which have
// more.
TEST(ServiceTimes, QueueTakesTheEarliestLatencyDeadlineOfAClass) {
  PriorityQueue queue(16);
  const auto push = [&queue](std::uint64_t key, utils::Duration latency,
                             document::Priority priority) {
    AdmittedCall call;
    call.key = key;
    call.request.priority = priority;
    call.deadline = utils::Timestamp(Seconds(10));
    call.expiry = call.deadline;
    call.latency_deadline = utils::Timestamp(latency);
    queue.Push(std::move(call));
  };
  push(1, Milliseconds(600), document::Priority::kInteractive);
  push(2, Milliseconds(120), document::Priority::kInteractive);
  push(3, Milliseconds(120), document::Priority::kInteractive);
  push(4, Milliseconds(50), document::Priority::kNormal);
  push(5, Milliseconds(900), document::Priority::kInternal);
  std::size_t ahead = 0;
  AdmittedCall next;
  next.request.priority = document::Priority::kInteractive;
  next.latency_deadline = utils::Timestamp(Milliseconds(300));
  queue.ForEachAhead(next, [&ahead](const AdmittedCall& /*call*/, double /*count*/) { ++ahead; });
  LONGS_EQUAL(3, ahead);
  std::string order;
  while (const auto call = queue.Pop()) {
    order += std::to_string(call->key);
  }
  STRCMP_EQUAL("52314", order.c_str());
}

// Guards against a short call that is refused because the calls that run before it are long. Such a
// call may be part of another one, whose work is lost without it.
TEST(ServiceTimes, ShortCallIsAdmittedBesideLongOnes) {
  Mesh mesh(2, 1);
  mesh.nodes[0].backend.mode = BackendMode::kSilent;
  std::vector<CallReply> replies;
  mesh.filter = [&replies](std::size_t, std::size_t, const Message& message) {
    if (const auto* reply = std::get_if<CallReply>(&message)) {
      replies.push_back(*reply);
    }
    return false;
  };
  document::ServiceDocument document = FleetDocument();
  document.protection.slots = 4;
  document.protection.queue_length = 100;
  document.protection.queue_time = Seconds(2);
  mesh.routes.Set(document);
  std::uint64_t calls = 0;
  std::uint64_t runs = 0;
  const auto send = [&](const char* route, utils::Duration budget) {
    CallRequest request;
    request.id = AttemptId{mesh.NodeName(1), 9, ++calls, 1};
    request.gate_incarnation = mesh.nodes[0].incarnation;
    request.gate_boot_id = mesh.nodes[0].boot;
    request.service = "fleet";
    request.route = route;
    request.request.body = "call " + std::to_string(calls);
    request.remaining = Seconds(10);
    request.latency_budget = budget;
    request.fingerprint = calls;
    request.max_response_bytes = 100;
    mesh.Deliver(0, PeerMessage{mesh.NodeName(1), request});
  };
  const auto respond = [&](utils::Duration after) {
    mesh.RunFor(after);
    mesh.nodes[0].backend.running.erase(++runs);
    mesh.Deliver(0, BackendServerAnswered{runs, {200, {}, "x"}});
  };
  for (int i = 0; i < 20; ++i) {
    send("long", Seconds(1));
    respond(Milliseconds(200));
    send("short", Seconds(1));
    respond(Milliseconds(10));
  }
  for (int i = 0; i < 4; ++i) {
    send("long", Seconds(1));
  }
  replies.clear();
  send("short", Milliseconds(100));
  CHECK_TRUE(replies.empty());
  LONGS_EQUAL(1, mesh.nodes[0].calls->GetGauges().queued);
  // A long call would not be answered in time.
  send("long", Milliseconds(100));
  LONGS_EQUAL(1, replies.size());
  CHECK_TRUE(replies.back().answer.code == ErrorCode::kQueueFull);
  STRCMP_EQUAL("", mesh.FirstError().c_str());
}

// Guards against a server that became slow, or fast again, and is reported so only after many
// calls, against single long calls that count as a change, and against routes that learn it one by
// one.
TEST(ServiceTimes, SpeedFollowsLargeChangesWithinAFewCalls) {
  details::ServerSpeed speed;
  const auto run = [&speed](int calls, details::RouteKey route, int time_ms) {
    for (int i = 0; i < calls; ++i) {
      speed.Record(route, Milliseconds(time_ms / 2 + time_ms * (i % 3) / 2));
    }
    return utils::ToMilliseconds(speed.ExpectedTime(route));
  };
  CHECK_EQUAL(0, utils::ToMilliseconds(speed.ExpectedTime(1)));
  run(60, 1, 100);
  run(60, 2, 20);
  speed.Record(1, Milliseconds(2'000));
  CHECK_TRUE(run(30, 1, 100) < 150);
  const auto before = utils::ToMilliseconds(speed.ExpectedTime(2));
  for (int i = 0; i < 3; ++i) {
    speed.Record(1, Milliseconds(500));
  }
  const auto slow = utils::ToMilliseconds(speed.ExpectedTime(2));
  CHECK_TRUE(slow >= 3 * before && slow <= 7 * before);
  for (int i = 0; i < 4; ++i) {
    speed.Record(2, Milliseconds(20));
  }
  CHECK_TRUE(utils::ToMilliseconds(speed.ExpectedTime(1)) < 200);
}

}  // namespace amaranthlatch::calls::testing
