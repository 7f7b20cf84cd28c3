// Tests of the HTTP server against callers that misbehave.

#include <CppUTest/TestHarness.h>

#include <optional>

#include "amaranthlatch/runtime/restinio_server.h"
#include "test_support.h"

namespace amaranthlatch::runtime {

namespace {

struct RequestRecorder : HttpServerListener {
  void OnRequest(std::uint64_t request, calls::HttpRequest content) override {
    this->ids.push_back(request);
    this->requests.push_back(std::move(content));
  }
  void OnCallerGone(std::uint64_t request) override { this->gone.push_back(request); }

  std::vector<std::uint64_t> ids;
  std::vector<calls::HttpRequest> requests;
  std::vector<std::uint64_t> gone;
};

ServerResponse Answer(int status, const std::string& body) {
  ServerResponse answer;
  answer.response.status = status;
  answer.response.headers = {{"x-own", "1"}, {"connection", "x-hop"}, {"x-hop", "2"}};
  answer.response.body = body;
  return answer;
}

}  // namespace

TEST_GROUP(HttpServerTest) {
  asio::io_context context;
  RequestRecorder recorder;
  std::unique_ptr<RestinioServer> server;

  void Open(RestinioServerOptions options) {
    options.address = "127.0.0.1:0";
    server = *RestinioServer::Create(context, options, recorder);
  }

  void ExpectRefusal(const std::string& request, const std::string& status,
                     const std::string& code) {
    RawCaller caller(context, server->Port());
    caller.Write(request);
    CHECK_TRUE(RunUntil(context, [&] { return caller.Poll(); }));
    CHECK_TRUE_TEXT(caller.Has("HTTP/1.1 " + status), caller.received.c_str());
    CHECK_TRUE_TEXT(caller.Has("Amaranthlatch-Code: " + code), caller.received.c_str());
    CHECK_TRUE_TEXT(caller.Has("Amaranthlatch-Result: not-run"), caller.received.c_str());
  }
};

// Guards against answers without outcome, and against fields of one connection that are passed on.
TEST(HttpServerTest, AnswersWithOutcome) {
  Open({});
  RawCaller caller(context, server->Port());
  caller.Write(
      "POST /a?b=1 HTTP/1.1\r\nHost: h:1\r\nConnection: x-drop\r\nX-Drop: 1\r\n"
      "X-Keep: 2\r\nContent-Length: 3\r\n\r\nabc");
  CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == 1; }));
  const calls::HttpRequest expected{"POST", "/a?b=1", "h:1", {{"x-keep", "2"}}, "abc"};
  CHECK_TRUE(recorder.requests[0] == expected);
  server->Respond(recorder.ids[0], Answer(201, "done"));
  CHECK_TRUE(RunUntil(context, [&] { return caller.Has("done"); }));
  CHECK_TRUE(caller.Has("HTTP/1.1 201"));
  CHECK_TRUE(caller.Has("Amaranthlatch-Result: answered\r\n"));
  CHECK_TRUE(caller.Has("Amaranthlatch-Code: 0\r\n"));
  CHECK_TRUE(caller.Has("x-own: 1\r\n"));
  CHECK_FALSE(caller.Has("x-hop"));
}

// Guards against a connection that is closed without a reason, and against request smuggling.
TEST(HttpServerTest, RefusesBadFraming) {
  Open({});
  ExpectRefusal("BLAH\r\n\r\n", "400", "5020");
  ExpectRefusal("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", "400", "5020");
  ExpectRefusal("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                "400", "5020");
  ExpectRefusal(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "400", "5020");
  LONGS_EQUAL(0, recorder.ids.size());
}

// Guards against headers and bodies that take memory without bound.
TEST(HttpServerTest, RefusesWhatIsTooLarge) {
  RestinioServerOptions options;
  options.max_header_bytes = 2000;
  options.max_body_bytes = 1000;
  Open(options);
  ExpectRefusal("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x'), "431", "5016");
  ExpectRefusal("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", "413", "5016");
  ExpectRefusal("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                    std::string(2000, 'x'),
                "413", "5016");
}

// Guards against callers that hold a connection with half a request.
TEST(HttpServerTest, TimesOutSlowSenders) {
  RestinioServerOptions options;
  options.read_limit = utils::Milliseconds(200);
  Open(options);
  ExpectRefusal("GET / HTTP/1.1\r\nHo", "408", "5020");
  LONGS_EQUAL(1, server->Counters().timeouts);
}

// Guards against connections without bound and against callers that are left waiting.
TEST(HttpServerTest, RefusesConnectionsAboveTheLimit) {
  RestinioServerOptions options;
  options.max_connections = 1;
  Open(options);
  const RawCaller first(context, server->Port());
  CHECK_TRUE(RunUntil(context, [&] { return server->Counters().connections == 1; }));
  ExpectRefusal("GET / HTTP/1.1\r\nHost: h\r\n\r\n", "503", "5021");
  LONGS_EQUAL(1, server->Counters().connections_refused);
}

// Guards against work for callers that have gone.
TEST(HttpServerTest, ReportsCallersThatClose) {
  Open({});
  auto caller = std::make_unique<RawCaller>(context, server->Port());
  caller->Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == 1; }));
  caller.reset();
  CHECK_TRUE(RunUntil(context, [&] { return recorder.gone == recorder.ids; }));
  server->Respond(recorder.ids[0], Answer(200, ""));
}

// Guards against work for callers that left before their requests were read: a node that is short
// of processor time reads requests long after they came.
TEST(HttpServerTest, DropsRequestsOfCallersThatHaveLeft) {
  Open({});
  {
    RawCaller caller(context, server->Port());
    caller.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  CHECK_TRUE(RunUntil(context, [&] {
    return server->Counters().connections_accepted == 1 && server->Counters().connections == 0;
  }));
  LONGS_EQUAL(0, recorder.ids.size());
  LONGS_EQUAL(1, server->Counters().callers_gone);
}

// Guards against callers that ask for much and read nothing.
TEST(HttpServerTest, TimesOutSlowReaders) {
  RestinioServerOptions options;
  options.write_limit = utils::Milliseconds(300);
  Open(options);
  RawCaller caller(context, server->Port());
  caller.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == 1; }));
  server->Respond(recorder.ids[0], Answer(200, std::string(64UL * 1024 * 1024, 'x')));
  CHECK_TRUE(RunUntil(context, [&] { return server->Counters().connections == 0; }));
}

// Guards against an interrupted request at shutdown, and against connections that stay.
TEST(HttpServerTest, ShutdownAnswersWhatIsOpen) {
  Open({});
  RawCaller caller(context, server->Port());
  caller.Write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == 1; }));
  server->BeginShutdown();
  server->Respond(recorder.ids[0], Answer(200, "last"));
  CHECK_TRUE(RunUntil(context, [&] { return caller.Poll(); }));
  CHECK_TRUE(caller.Has("last"));
}

// Guards against answers that take the link unnoticed, and against a pace that is lowered by
// answers that never leave the instance.
TEST(HttpServerTest, CountsAnswersToOtherInstancesOnly) {
  std::size_t sent = 0;
  RestinioServerOptions options;
  options.sent_to_others = [&sent](std::size_t bytes) { sent += bytes; };
  Open(options);
  for (const char* const address : {"127.0.0.1", "127.0.0.2"}) {
    asio::ip::tcp::socket caller(context);
    caller.open(asio::ip::tcp::v4());
    caller.bind({asio::ip::make_address(address), 0});
    caller.connect({asio::ip::address_v4::loopback(), server->Port()});
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    const std::size_t before = recorder.ids.size();
    CHECK_TRUE(RunUntil(context, [&] { return recorder.ids.size() == before + 1; }));
    server->Respond(recorder.ids.back(), Answer(200, std::string(90'000, 'x')));
    LONGS_EQUAL(before * 90'000, sent);
  }
}

}  // namespace amaranthlatch::runtime
