// Tests of the command `check` on files of both forms.

#include <CppUTest/TestHarness.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "exit_code.h"
#include "fake_world.h"
#include "run.h"

namespace amaranthlatch::cli {

using nlohmann::json;

namespace {

json MakeDocument() {
  return {
      {"format", 1},
      {"service", "s"},
      {"owner", "team"},
      {"hosts", {"s.example"}},
      {"versions", {{"v", {{"labels", json::object()}}}}},
      {"routes",
       {{{"name", "work"}, {"path_prefix", "/"}, {"split", {{{"version", "v"}, {"weight", 1}}}}}}}};
}

// A table of the platform.
json ReadTable() {
  std::ifstream file("platform/examples/table.json");
  return json::parse(file);
}

}  // namespace

TEST_GROUP(Check) {
  FakeWorld world;
  std::ostringstream out;
  std::ostringstream errors;

  int Call(std::vector<std::string> arguments) {
    this->out.str("");
    this->errors.str("");
    arguments.insert(arguments.begin(), "check");
    return Run(arguments, this->world, this->world, this->out, this->errors);
  }

  // The exit code for a file with this text.
  int CheckText(const std::string& text) {
    this->world.files["f"] = text;
    return this->Call({"--json", "f"});
  }

  json Value() const { return json::parse(this->out.str()); }
  bool HasError(int code, const std::string& pointer) const {
    const json error = this->Value()["errors"].at(0);
    return error["code"] == code && error["pointer"] == pointer;
  }
};

// Guards against exit codes on which a script cannot rely.
TEST(Check, ExitCodesTellCleanWarningsAndErrors) {
  CHECK_EQUAL(kExitOk, CheckText(MakeDocument().dump()));
  CHECK_TRUE(this->Value()["warnings"].empty());
  json document = MakeDocument();
  document["routes"][0]["max_request_bytes"] = 40'000'000;
  CHECK_EQUAL(kExitWarnings, CheckText(document.dump()));
  CHECK_TRUE(this->Value()["warnings"][0]["name"] == "body-limit-above-memory");
  document["routes"][0]["weight"] = 1;
  CHECK_EQUAL(kExitErrors, CheckText(document.dump()));
  CHECK_TRUE(this->HasError(1003, "/routes/0/weight"));
  CHECK_EQUAL(kExitErrors, Call({"none"}));
  CHECK_EQUAL(kExitErrors, Call({}));
}

// Guards against a table that is taken for a broken document, and against errors without a place.
TEST(Check, TablesAreCheckedAsNodesDecodeThem) {
  CHECK_EQUAL(kExitOk, CheckText(ReadTable().dump()));
  json table = ReadTable();
  table["routes"]["rows"][0][4] = "500ms";
  CHECK_EQUAL(kExitWarnings, CheckText(table.dump()));
  CHECK_TRUE(this->Value()["warnings"][0]["pointer"] == "/routes/rows/0");
  table["routes"]["rows"].push_back(table["routes"]["rows"][0]);
  CHECK_EQUAL(kExitErrors, CheckText(table.dump()));
  CHECK_TRUE(this->HasError(3009, "/routes/rows/2"));
  table["routes"]["rows"][0][4] = "soon";
  CHECK_EQUAL(kExitErrors, CheckText(table.dump()));
  CHECK_TRUE(this->HasError(3009, "/routes/rows/0"));
  table = ReadTable();
  table["services"]["rows"][0][2] = "many";
  CHECK_EQUAL(kExitErrors, CheckText(table.dump()));
  CHECK_TRUE(this->HasError(3009, "/services/rows/0"));
}

// Guards against crashes and against broken files that pass.
TEST(Check, BrokenInputIsAnError) {
  for (const std::string& whole : {MakeDocument().dump(), ReadTable().dump()}) {
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CHECK_EQUAL(kExitErrors, CheckText(whole.substr(0, size)));
    }
  }
  constexpr std::size_t kDepth = 200'000;
  constexpr std::size_t kHuge = 64ULL * 1024 * 1024 + 1;
  const std::string deep(kDepth, '[');
  CHECK_EQUAL(kExitErrors, CheckText(deep));
  CHECK_EQUAL(kExitErrors, CheckText(deep + std::string(kDepth, ']')));
  json table = ReadTable();
  table["routes"]["rows"][0][0] = "DEEP";
  std::string text = table.dump();
  text.replace(text.find("\"DEEP\""), 6, deep + std::string(kDepth, ']'));
  CHECK_EQUAL(kExitErrors, CheckText(text));
  CHECK_EQUAL(kExitErrors, CheckText(std::string(kHuge, ' ')));
  CHECK_TRUE(this->HasError(1002, ""));
  std::string binary;
  for (int i = 0; i < 4096; ++i) {
    binary.push_back(static_cast<char>(i * 37));
  }
  CHECK_EQUAL(kExitErrors, CheckText(binary));
}

// Guards against a change that the operator does not see before it is published.
TEST(Check, ShowsDifferencesFromAFileAndFromANode) {
  this->world.files["old"] = MakeDocument().dump();
  json document = MakeDocument();
  document["routes"][0]["deadline_ms"] = 4000;
  this->world.files["new"] = document.dump();
  CHECK_EQUAL(kExitOk, Call({"--against=old", "new"}));
  const std::string line =
      "new: route work changed: timeout from 5000 ms to 4000 ms; effect: calls that take longer "
      "than the new timeout are ended\n";
  STRCMP_EQUAL(line.c_str(), this->out.str().c_str());

  this->world.nodes["node:1"] = 0;
  CHECK_EQUAL(kExitOk, Call({"--in-force=node:1", "--json", "new"}));
  CHECK_TRUE(this->Value()["differences"][0]["change"] == "added");
  CHECK_EQUAL(kExitOk, Run({"publish", "--log=log:1", "--author=ann", "old"}, this->world,
                           this->world, this->out, this->errors));
  this->world.nodes["node:1"] = 1;
  CHECK_EQUAL(kExitOk, Call({"--in-force=node:1", "--json", "new"}));
  CHECK_EQUAL(1U, this->Value()["differences"].size());
  CHECK_TRUE(this->Value()["differences"][0]["before"] == "5000 ms");

  this->world.files["table"] = ReadTable().dump();
  CHECK_EQUAL(kExitErrors, Call({"--against=table", "new"}));
  CHECK_EQUAL(kExitErrors, Call({"--in-force=node:1", "table"}));
  CHECK_EQUAL(kExitUnreachable, Call({"--in-force=node:2", "new"}));
}

}  // namespace amaranthlatch::cli
