// Tests of the commands against a log and nodes in memory.

#include "run.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "exit_code.h"
#include "fake_world.h"

namespace amaranthlatch::cli {

using nlohmann::json;

namespace {

json MakeDocument(const std::string& service) {
  return {{"format", 1},
          {"service", service},
          {"owner", "team"},
          {"hosts", {service + ".example"}},
          {"versions", {{"stable", {{"labels", json::object()}}}}},
          {"routes",
           {{{"name", "work"},
             {"path_prefix", "/"},
             {"split", {{{"version", "stable"}, {"weight", 1}}}}}}}};
}

}  // namespace

TEST_GROUP(Run) {
  FakeWorld world;
  std::ostringstream out;
  std::ostringstream errors;

  void setup() override {
    this->world.files["a.json"] = MakeDocument("a").dump();
    this->world.files["b.json"] = MakeDocument("b").dump();
    json bad = MakeDocument("a");
    bad["routes"][0]["weight"] = 1;
    this->world.files["bad.json"] = bad.dump();
    json dangling = MakeDocument("a");
    dangling["routes"][0]["split"][0]["service"] = "b";
    this->world.files["a-to-b.json"] = dangling.dump();
  }

  int Call(const std::vector<std::string>& arguments) {
    this->out.str("");
    this->errors.str("");
    return Run(arguments, this->world, this->world, this->out, this->errors);
  }

  int Publish(const std::string& file, const std::vector<std::string>& more = {}) {
    std::vector<std::string> arguments = {"publish", "--log=log:1", "--author=ann", file};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return this->Call(arguments);
  }

  std::size_t Appended() { return this->world.streams["config"].size(); }
  bool Says(const std::string& text) const {
    return (this->out.str() + this->errors.str()).find(text) != std::string::npos;
  }
  json LastLine() const {
    const std::string text = this->out.str();
    const std::size_t end = text.rfind('\n', text.size() - 2);
    return json::parse(end == std::string::npos ? text : text.substr(end + 1));
  }
};

// Guards against a publication whose id or version the operator does not learn.
TEST(Run, PublishTellsIdAndVersion) {
  CHECK_EQUAL(kExitOk, Publish("a.json"));
  CHECK_TRUE(this->out.str().starts_with("publish id new-1\n"));
  CHECK_TRUE(Says("accepted: a version 1"));
  CHECK_EQUAL(kExitOk, Publish("a.json", {"--base=1", "--json"}));
  CHECK_TRUE(this->LastLine()["verdict"]["replaced"] == 1);
  CHECK_TRUE(this->world.streams["config"][1]["author"] == "ann");
}

// Guards against a loser of a race who is told that the change is in force.
TEST(Run, RefusedPublicationExitsWithItsCode) {
  Publish("a.json");
  CHECK_EQUAL(kExitRefused, Publish("a.json"));
  CHECK_TRUE(Says("2003 base-version-mismatch"));
  CHECK_TRUE(Says("version 1 with publish id \"new-1\""));
  CHECK_EQUAL(kExitRefused, Publish("a-to-b.json", {"--base=1", "--json"}));
  CHECK_TRUE(this->LastLine()["error"]["pointer"] == "/routes/0/split/0/service");
}

// Guards against a lost answer that makes a second record, or none.
TEST(Run, LostAnswersGiveOneRecord) {
  this->world.faults = {AppendFault::kAnswerLost};
  CHECK_EQUAL(kExitOk, Publish("a.json"));
  CHECK_EQUAL(1, Appended());
  this->world.faults = {AppendFault::kRecordLost, AppendFault::kNotConnected,
                        AppendFault::kRateExceeded};
  CHECK_EQUAL(kExitOk, Publish("b.json"));
  CHECK_EQUAL(2, Appended());
  CHECK_TRUE(this->world.streams["config"][1]["publish_id"] == "new-2");
}

// Guards against an unknown outcome that is reported as a failure, and against a repetition that
// changes more.
TEST(Run, UnknownOutcomeIsRepeatedWithTheSameId) {
  this->world.faults = {AppendFault::kAnswerLost};
  this->world.log_down_after_append = true;
  CHECK_EQUAL(kExitUnknown, Publish("a.json"));
  CHECK_TRUE(Says("2009 publish-outcome-unknown"));
  CHECK_EQUAL(1, Appended());
  this->world.log_down = false;
  this->world.log_down_after_append = false;
  CHECK_EQUAL(kExitOk, Publish("a.json", {"--publish-id=new-1"}));
  CHECK_TRUE(Says("accepted: a version 1"));
  CHECK_TRUE(this->world.Fold(Appended()).History("a").size() == 1);
}

// Guards against an unreachable log that is reported as an unknown outcome.
TEST(Run, NothingIsSentToAnUnreachableLog) {
  this->world.log_down = true;
  CHECK_EQUAL(kExitUnreachable, Publish("a.json"));
  this->world.log_down = false;
  this->world.faults.assign(10, AppendFault::kNotConnected);
  CHECK_EQUAL(kExitUnreachable, Publish("a.json"));
  CHECK_EQUAL(0, Appended());
}

// Guards against success for a document that another record with the same id keeps out.
TEST(Run, PublishIdOfAnotherRecordIsRefused) {
  Publish("a.json", {"--publish-id=x"});
  CHECK_EQUAL(kExitRefused, Publish("b.json", {"--publish-id=x"}));
  CHECK_TRUE(Says("2008 duplicate-publish"));
}

// Guards against a report that a change is in force everywhere while a node lags.
TEST(Run, WaitsForNodesAndNamesThoseThatLag) {
  this->world.nodes = {{"n1:1", 0}, {"n2:1", 0}};
  this->world.catching_up = {"n1:1"};
  const std::vector<std::string> wait = {"--node=n1:1", "--node=n2:1", "--wait=2000"};
  CHECK_EQUAL(kExitLagging, Publish("a.json", wait));
  CHECK_TRUE(Says("accepted: a version 1"));
  CHECK_TRUE(Says("lagging: n2:1 has offset 0 of 1 in force"));
  CHECK_FALSE(Says("lagging: n1:1"));
  CHECK_EQUAL(10, this->world.slept);
  this->world.catching_up.insert("n2:1");
  CHECK_EQUAL(kExitOk, Publish("b.json", wait));
}

// Guards against a verdict that is guessed where the log no longer keeps its beginning.
TEST(Run, VerdictComesFromTheSnapshotOfATruncatedLog) {
  Publish("b.json");
  this->world.first_kept["config"] = 2;
  CHECK_EQUAL(kExitUnknown, Publish("a-to-b.json"));
  CHECK_TRUE(Says("appended at offset 2"));
  this->world.WriteSnapshot();
  this->world.streams["snapshots"].push_back({{"format", 9}});
  CHECK_EQUAL(kExitOk, Publish("a.json", {"--base=2"}));
  CHECK_TRUE(Says("accepted: a version 3, replaces version 2"));
}

// Guards against a removal that leaves a route dangling.
TEST(Run, RemoveIsRefusedWhileReferenced) {
  Publish("b.json");
  Publish("a-to-b.json");
  const std::vector<std::string> remove = {"remove", "--log=log:1", "--author=ann"};
  const auto with = [&remove](const std::string& base, const std::string& service) {
    std::vector<std::string> arguments = remove;
    arguments.insert(arguments.end(), {"--base=" + base, service});
    return arguments;
  };
  CHECK_EQUAL(kExitRefused, Call(with("1", "b")));
  CHECK_TRUE(Says("2005 referenced-by-other"));
  CHECK_EQUAL(kExitOk, Call(with("2", "a")));
  CHECK_TRUE(Says("removed: a at offset 4, replaces version 2"));
  CHECK_EQUAL(kExitOk, Call(with("1", "b")));
}

// Guards against a fault in a file that is not located.
TEST(Run, ValidateNamesFileAndField) {
  CHECK_EQUAL(kExitOk, Call({"validate", "a.json", "b.json"}));
  CHECK_EQUAL(kExitRefused, Call({"validate", "bad.json", "none.json"}));
  CHECK_TRUE(Says("bad.json: 1003 document-unknown-field at /routes/0/weight"));
  CHECK_TRUE(Says("none.json: 1001"));
  CHECK_EQUAL(kExitRefused, Call({"validate", "--json", "bad.json"}));
  CHECK_TRUE(this->LastLine()["files"][0]["error"]["code"] == 1003);
  CHECK_EQUAL(kExitRefused, Publish("bad.json"));
  CHECK_EQUAL(0, Appended());
}

// Guards against a check that does not see what is in force or earlier files, or that publishes.
TEST(Run, ValidateWithLogChecksReferences) {
  const std::vector<std::string> check = {"validate", "--log=log:1", "a-to-b.json"};
  CHECK_EQUAL(kExitRefused, Call(check));
  CHECK_TRUE(Says("2004 dangling-reference at /routes/0/split/0/service"));
  CHECK_EQUAL(kExitOk, Call({"validate", "--log=log:1", "b.json", "a-to-b.json"}));
  CHECK_EQUAL(0, Appended());
  Publish("b.json");
  CHECK_EQUAL(kExitOk, Call(check));
}

// Guards against lagging or silent nodes that are not seen.
TEST(Run, StatusShowsWhatLags) {
  Publish("a.json");
  Publish("b.json");
  this->world.nodes = {{"n1:1", 2}, {"n2:1", 1}};
  CHECK_EQUAL(kExitOk, Call({"status", "--node=n1:1"}));
  CHECK_TRUE(Says("n1:1 z ready ready, in force 2, held 2\n  a version 1\n  b version 2\n"));
  CHECK_EQUAL(kExitLagging, Call({"status", "--node=n1:1", "--node=n2:1", "b"}));
  CHECK_TRUE(Says("n2:1 z ready ready, in force 1, held 1, lags by 1\n  b has no document\n"));
  CHECK_EQUAL(kExitLagging, Call({"status", "--log=log:1", "--node=n2:1", "--json"}));
  CHECK_TRUE(this->LastLine()["nodes"][0]["lag"] == 1);
  CHECK_EQUAL(kExitUnreachable, Call({"status", "--node=n1:1", "--node=n3:1"}));
  CHECK_TRUE(Says("4002 node-unreachable: node n3:1"));
}

// Guards against an audit trail that omits refused records or differs between its sources.
TEST(Run, HistoryComesFromNodesOrTheLog) {
  Publish("a.json");
  Publish("a.json");
  this->world.nodes = {{"n1:1", 2}};
  CHECK_EQUAL(kExitOk, Call({"history", "--node=n0:1", "--node=n1:1", "a"}));
  const std::string from_node = this->out.str();
  CHECK_TRUE(Says("1 2026-01-01T00:00:00Z put accepted by ann, publish id new-1\n2 "));
  CHECK_TRUE(Says("put refused by ann, publish id new-2: 2003 base-version-mismatch"));
  CHECK_EQUAL(kExitOk, Call({"history", "--log=log:1", "a"}));
  STRCMP_EQUAL(from_node.c_str(), this->out.str().c_str());
  CHECK_EQUAL(kExitRefused, Call({"history", "--log=log:1", "none"}));
  CHECK_EQUAL(kExitUnreachable, Call({"history", "--node=n0:1", "a"}));
  CHECK_EQUAL(kExitUsage, Call({"history", "--node=n1:1", "a&b"}));
}

// Guards against a drain that is reported although a node did not hear of it.
TEST(Run, DrainReachesEveryNode) {
  this->world.nodes = {{"n1:1", 0}};
  CHECK_EQUAL(kExitUnreachable, Call({"drain", "--node=n0:1", "--node=n1:1"}));
  CHECK_TRUE(this->world.drained == std::set<std::string>{"n1:1"});
  CHECK_EQUAL(kExitUsage, Call({"drain"}));
}

}  // namespace amaranthlatch::cli
