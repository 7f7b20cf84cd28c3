// Tests of the documents in examples/.

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "amaranthlatch/acceptance/publish_record.h"
#include "amaranthlatch/acceptance/state.h"
#include "amaranthlatch/document/document_limits.h"
#include "amaranthlatch/document/document_parser.h"
#include "system_host.h"

namespace amaranthlatch::cli {

namespace {

using Sources = std::map<std::string, nlohmann::json>;

// The documents of a deployment by service.
Sources ReadDocuments(const std::string& deployment) {
  const SystemHost host;
  Sources sources;
  const std::string folder = std::string("examples/") + deployment + "/documents";
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    const auto text = host.ReadFile(file.path(), document::kMaxDocumentBytes);
    const auto document = document::ParseDocument(text.value_or(""));
    CHECK_TRUE_TEXT(document.has_value(), file.path().c_str());
    sources[document->service] = nlohmann::json::parse(*text);
  }
  return sources;
}

// Publishes what is accepted until nothing more is; gives back what is left.
Sources PublishInSomeOrder(acceptance::State& state, Sources sources) {
  std::size_t last_size = sources.size() + 1;
  while (sources.size() < last_size) {
    last_size = sources.size();
    std::erase_if(sources, [&state](const auto& source) {
      const acceptance::Offset offset = state.HeadOffset() + 1;
      const acceptance::PublishRecord record{std::to_string(offset),   source.first, 0, "a", "t",
                                             acceptance::Action::kPut, source.second};
      return state.Apply(offset, acceptance::ToJson(record))->outcome ==
             acceptance::Outcome::kAccepted;
    });
  }
  return sources;
}

}  // namespace

TEST_GROUP(Examples){};

// Guards against example documents that cannot be published, or that repeat what must not repeat.
TEST(Examples, AllCanBePublishedAndProtectWhatMustNotRepeat) {
  for (const char* deployment : {"oshana", "blue-mahoe"}) {
    acceptance::State state;
    CHECK_TRUE_TEXT(PublishInSomeOrder(state, ReadDocuments(deployment)).empty(), deployment);
    CHECK_EQUAL(2, state.Services().size());
    for (const std::string& service : state.Services()) {
      std::set<document::Priority> priorities;
      for (const document::Route& route : state.Find(service)->routes) {
        priorities.insert(route.priority);
        CHECK_TRUE_TEXT(route.idempotent || route.permit_required, route.name.c_str());
      }
      CHECK_EQUAL(document::kPriorityCount, priorities.size());
    }
  }
}

// Guards against requests of the workloads (docs/design.md section 1.2) that take a wrong route.
TEST(Examples, WorkloadsTakeTheirRoutes) {
  acceptance::State state;
  PublishInSomeOrder(state, ReadDocuments("oshana"));
  PublishInSomeOrder(state, ReadDocuments("blue-mahoe"));
  const auto route = [&state](const char* host, const char* method, const char* path) {
    const auto match = state.Match(host, path, method);
    return match ? match->route->name : std::string("-");
  };
  STRCMP_EQUAL("readings", route("field-log.oshana.example", "GET", "/readings/7").c_str());
  STRCMP_EQUAL("record-block", route("field-log.oshana.example", "POST", "/blocks").c_str());
  STRCMP_EQUAL("check-claim", route("field-log.oshana.example", "GET", "/checks/claims/7").c_str());
  STRCMP_EQUAL("file-claim", route("claims-ledger.oshana.example", "POST", "/claims").c_str());
  STRCMP_EQUAL("-", route("claims-ledger.oshana.example", "DELETE", "/claims").c_str());
  STRCMP_EQUAL("locate", route("dispatch.blue-mahoe.example", "GET", "/robots/7").c_str());
  STRCMP_EQUAL("run", route("dispatch.blue-mahoe.example", "POST", "/runs").c_str());
  STRCMP_EQUAL("charge", route("fleet.blue-mahoe.example", "POST", "/charges").c_str());
  STRCMP_EQUAL("unlock", route("fleet.blue-mahoe.example", "POST", "/unlocks").c_str());
}

}  // namespace amaranthlatch::cli
