// Tests of the arguments.

#include "command_line.h"

#include <CppUTest/TestHarness.h>

namespace amaranthlatch::cli {

TEST_GROUP(CommandLine){};

// Guards against options that are dropped or mixed up.
TEST(CommandLine, ReadsEveryOptionOfPublish) {
  const auto options =
      ParseCommandLine({"publish", "--log=l:1", "--author=ann", "--base=7", "--publish-id=x",
                        "--node=a:1", "--node=b:2", "--wait=1500", "--json", "doc.json"});
  CHECK_TRUE(options.has_value());
  const Options expected{
      Command::kPublish,         {"doc.json"}, "", "l:1", {"a:1", "b:2"}, 7, "x", "ann",
      utils::Milliseconds(1500), true,         "", ""};
  CHECK_TRUE(*options == expected);
}

// Guards against commands that are read as others.
TEST(CommandLine, ReadsEveryCommand) {
  const auto command = [](const std::vector<std::string>& arguments) {
    return ParseCommandLine(arguments)->command;
  };
  CHECK_TRUE(command({"validate", "a", "b"}) == Command::kValidate);
  CHECK_TRUE(command({"check", "--against=a", "b"}) == Command::kCheck);
  CHECK_TRUE(command({"remove", "--log=l", "--author=x", "--base=1", "svc"}) == Command::kRemove);
  CHECK_TRUE(command({"status", "--node=a"}) == Command::kStatus);
  CHECK_TRUE(command({"history", "--log=l", "svc"}) == Command::kHistory);
  CHECK_TRUE(command({"drain", "--node=a"}) == Command::kDrain);
  CHECK_TRUE(command({"--help"}) == Command::kHelp);
  STRCMP_EQUAL("svc", ParseCommandLine({"status", "--node=a", "svc"})->service.c_str());
  CHECK_TRUE(ParseCommandLine({"status", "--node=a", "--node=b"})->nodes.size() == 2);
}

// Guards against a wrong command line that does something.
TEST(CommandLine, RefusesWrongArguments) {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"publish", "doc.json"},
      {"publish", "--log=l", "--author=a", "--base=x", "doc.json"},
      {"publish", "--log=l", "--author=a", "--wait=-1", "doc.json"},
      {"remove", "--log=l", "--author=a", "svc"},
      {"history", "svc"},
      {"status"},
      {"status", "--node=a", "--unknown"},
      {"drain"}};
  for (const auto& arguments : wrong) {
    const auto options = ParseCommandLine(arguments);
    CHECK_FALSE(options.has_value());
    CHECK_TRUE(options.error().code == utils::ErrorCode::kUsage);
  }
}

}  // namespace amaranthlatch::cli
