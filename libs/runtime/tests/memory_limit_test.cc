// Tests of the bounds on the memory of requests and answers.

#include <CppUTest/TestHarness.h>

#include "amaranthlatch/runtime/restinio_server.h"
#include "settings/memory_plan.h"
#include "test_support.h"

namespace amaranthlatch::runtime {

namespace {

struct Recorder : HttpServerListener {
  void OnRequest(std::uint64_t request, calls::HttpRequest content) override {
    this->ids.push_back(request);
    this->sizes.push_back(content.body.size());
  }
  void OnCallerGone(std::uint64_t /*request*/) override {}

  std::vector<std::uint64_t> ids;
  std::vector<std::size_t> sizes;
};

std::string Head(std::size_t body_bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

}  // namespace

TEST_GROUP(MemoryLimitTest) {
  asio::io_context context;
  Recorder recorder;
  std::unique_ptr<RestinioServer> server;

  void setup() override {
    RestinioServerOptions options;
    options.address = "127.0.0.1:0";
    options.max_body_bytes = 10'000'000;
    options.max_buffered_bytes = 1'000'000;
    server = *RestinioServer::Create(context, options, recorder);
  }

  // Writes the rest as the server reads.
  void WriteAll(RawCaller & caller, std::string text) {
    while (!text.empty()) {
      asio::error_code error;
      text.erase(0, caller.socket.write_some(asio::buffer(text), error));
      RunFor(context, std::chrono::milliseconds(1));
      CHECK_TRUE(!error || error == asio::error::would_block);
    }
  }

  void ExpectRefused(RawCaller & caller, const std::string& status, const std::string& code) {
    CHECK_TRUE(RunUntil(context, [&] { return caller.Poll(); }));
    CHECK_TRUE_TEXT(caller.Has("HTTP/1.1 " + status), caller.received.c_str());
    CHECK_TRUE_TEXT(caller.Has("Amaranthlatch-Code: " + code), caller.received.c_str());
    CHECK_TRUE_TEXT(caller.Has("Amaranthlatch-Result: not-run"), caller.received.c_str());
  }
};

// Guards against large bodies that take the memory of the process while they are received, and
// against small requests that are refused with them.
TEST(MemoryLimitTest, RefusesBodiesBeforeTheyAreRead) {
  RawCaller never(context, server->Port());
  never.Write(Head(2'000'000));
  ExpectRefused(never, "413", "5016");

  RawCaller first(context, server->Port());
  first.Write(Head(600'000));
  RunFor(context, std::chrono::milliseconds(20));
  RawCaller second(context, server->Port());
  second.Write(Head(600'000));
  ExpectRefused(second, "503", "5021");
  CHECK_TRUE(second.Has("Retry-After: 1\r\n"));

  RawCaller small(context, server->Port());
  small.Write(Head(5) + "small");
  CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == 1; }));
  WriteAll(first, std::string(600'000, 'x'));
  CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == 2; }));
  LONGS_EQUAL(600'000, recorder.sizes[1]);
  LONGS_EQUAL(2, server->Counters().requests_without_memory);
}

// Guards against a refusal that is lost because the connection is reset while the caller still
// sends.
TEST(MemoryLimitTest, RefusalReachesCallersThatSendOn) {
  RawCaller caller(context, server->Port());
  caller.Write(Head(2'000'000));
  for (int i = 0; i < 15; ++i) {
    RunFor(context, std::chrono::milliseconds(100));
    asio::error_code error;
    caller.socket.write_some(asio::buffer(std::string(20'000, 'x')), error);
    CHECK_FALSE(error);
  }
  ExpectRefused(caller, "413", "5016");
}

// Guards against bodies in chunks, whose size no header states.
TEST(MemoryLimitTest, CountsBodiesInChunksAsTheyCome) {
  RawCaller caller(context, server->Port());
  caller.Write("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  std::string received;
  for (int i = 0; i < 20 && !caller.Poll(); ++i) {
    caller.Write("c350\r\n" + std::string(50'000, 'x') + "\r\n");
    RunFor(context, std::chrono::milliseconds(5));
  }
  ExpectRefused(caller, "413", "5016");
  LONGS_EQUAL(0, recorder.ids.size());
}

// Guards against memory that is never given back: after a request was answered, after its caller
// left, and after a refusal.
TEST(MemoryLimitTest, MemoryIsGivenBack) {
  for (int i = 0; i < 5; ++i) {
    {
      RawCaller gone(context, server->Port());
      gone.Write(Head(700'000));
      RunFor(context, std::chrono::milliseconds(20));
      RawCaller refused(context, server->Port());
      refused.Write(Head(700'000));
      ExpectRefused(refused, "503", "5021");
    }
    RunFor(context, std::chrono::milliseconds(20));
    RawCaller served(context, server->Port());
    WriteAll(served, Head(700'000) + std::string(700'000, 'x'));
    CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == std::size_t(i) + 1; }));
    server->Respond(recorder.ids.back(), ServerResponse{{200, {}, "done"}});
    CHECK_TRUE(RunUntil(context, [&] { return served.Has("done"); }));
  }
}

// Guards against a node that refuses all requests because a few callers are slow to read answers,
// which take less memory than requests of their size.
TEST(MemoryLimitTest, SlowCallersLeaveRoomForRequests) {
  RestinioServerOptions options;
  options.address = "127.0.0.1:0";
  options.max_buffered_bytes = 20'000'000;
  server = *RestinioServer::Create(context, options, recorder);
  std::string body;
  while (body.size() < 12'000'000) {
    body.append(100'000, 'x');
  }
  std::vector<std::unique_ptr<RawCaller>> slow;
  for (std::size_t i = 0; i < 4; ++i) {
    slow.push_back(std::make_unique<RawCaller>(context, server->Port()));
    slow.back()->Write(Head(0));
    CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == i + 1; }));
    server->Respond(recorder.ids[i], ServerResponse{{200, {}, body}});
  }
  RunFor(context, std::chrono::milliseconds(20));
  RawCaller small(context, server->Port());
  small.Write(Head(5) + "small");
  CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == 5; }));
}

// Guards against answers that wait for slow callers and are counted nowhere.
TEST(MemoryLimitTest, CountsAnswersUntilTheyAreWritten) {
  {
    RawCaller slow(context, server->Port());
    slow.Write(Head(0));
    CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == 1; }));
    ServerResponse answer;
    answer.response.status = 200;
    const std::string piece(100'000, 'x');
    for (int i = 0; i < 300; ++i) {
      answer.response.body += piece;
    }
    server->Respond(recorder.ids[0], std::move(answer));
    RunFor(context, std::chrono::milliseconds(20));
    RawCaller large(context, server->Port());
    large.Write(Head(500'000));
    ExpectRefused(large, "503", "5021");
  }
  RunFor(context, std::chrono::milliseconds(50));
  RawCaller large(context, server->Port());
  WriteAll(large, Head(500'000) + std::string(500'000, 'x'));
  CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == 2; }));
}

// Guards against bounds that hold alone and exceed the memory together.
TEST(MemoryLimitTest, PartsFitTheLimitTogether) {
  for (const std::uint64_t limit :
       {100'000'000ULL, 160'000'000ULL, 260'000'000ULL, 512'000'000ULL, 1'000'000'000'000ULL}) {
    const std::uint64_t connections = limit < 200'000'000ULL ? 2'100 : 6'200;
    const details::MemoryPlan plan = details::DivideMemory(limit, connections);
    const std::uint64_t base =
        (48ULL << 20U) + (connections > 3'000 ? (connections - 3'000) * 7'500 : 0);
    const std::uint64_t once = plan.run_bytes + plan.answer_bytes + plan.register_bytes;
    CHECK_TRUE(base + 7 * plan.request_bytes + 4 * once + 2 * plan.link_bytes <= limit);
    // Bodies of 90 KB that the slowest link sends in a second.
    CHECK_TRUE(plan.link_bytes > 1'250'000);
    // What a node takes from a caller fits another node's queue.
    CHECK_TRUE(plan.request_bytes / 4 * 3 <= plan.run_bytes);
    CHECK_TRUE(plan.request_bytes > 2'000'000);
    CHECK_TRUE(plan.register_bytes > 1'000'000);
  }
}

}  // namespace amaranthlatch::runtime
