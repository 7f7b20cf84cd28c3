// Tests of the document parser.

#include "amaranthlatch/document/document_parser.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "amaranthlatch/document/document_limits.h"
#include "document_fixture.h"
#include "property_test.h"

namespace amaranthlatch::document {

using nlohmann::json;
using utils::ErrorCode;

namespace {

// A JSON patch operation that makes the example document invalid, and the expected error.
struct InvalidPatch {
  const char* operation;
  const char* path;
  const char* value;
  ErrorCode code;
  const char* pointer;
};

const std::vector<InvalidPatch>& InvalidPatches() {
  static const std::vector<InvalidPatch> invalid_patches = {
      {"add", "/foo", "1", ErrorCode::kDocumentUnknownField, "/foo"},
      {"add", "/routes/0/foo", "1", ErrorCode::kDocumentUnknownField, "/routes/0/foo"},
      {"add", "/routes/0/split/1/foo", "1", ErrorCode::kDocumentUnknownField,
       "/routes/0/split/1/foo"},
      {"add", "/versions/stable/a~1b", "1", ErrorCode::kDocumentUnknownField,
       "/versions/stable/a~1b"},
      {"remove", "/format", "0", ErrorCode::kDocumentMissingField, "/format"},
      {"remove", "/service", "0", ErrorCode::kDocumentMissingField, "/service"},
      {"remove", "/versions", "0", ErrorCode::kDocumentMissingField, "/versions"},
      {"remove", "/routes/0/split", "0", ErrorCode::kDocumentMissingField, "/routes/0/split"},
      {"replace", "/format", "2", ErrorCode::kDocumentUnknownFormat, "/format"},
      {"replace", "/format", "\"1\"", ErrorCode::kDocumentWrongType, "/format"},
      {"replace", "/owner", "7", ErrorCode::kDocumentWrongType, "/owner"},
      {"replace", "/hosts", "{}", ErrorCode::kDocumentWrongType, "/hosts"},
      {"replace", "/protection", "null", ErrorCode::kDocumentWrongType, "/protection"},
      {"replace", "/routes/0/idempotent", "0", ErrorCode::kDocumentWrongType,
       "/routes/0/idempotent"},
      {"replace", "/routes/0/deadline_ms", "2.5", ErrorCode::kDocumentWrongType,
       "/routes/0/deadline_ms"},
      {"replace", "/routes/0/deadline_ms", "0", ErrorCode::kDocumentOutOfRange,
       "/routes/0/deadline_ms"},
      {"replace", "/protection/slots", "-1", ErrorCode::kDocumentOutOfRange, "/protection/slots"},
      {"replace", "/locality/prefer", "\"planet\"", ErrorCode::kDocumentOutOfRange,
       "/locality/prefer"},
      {"replace", "/service", "\"Field_Log\"", ErrorCode::kDocumentOutOfRange, "/service"},
      {"replace", "/hosts/0", "\"a..b\"", ErrorCode::kDocumentOutOfRange, "/hosts/0"},
      {"replace", "/routes/0/path_prefix", "\"/blocks/\"", ErrorCode::kDocumentOutOfRange,
       "/routes/0/path_prefix"},
      {"replace", "/routes/0/path_prefix", "\"/a/../b\"", ErrorCode::kDocumentOutOfRange,
       "/routes/0/path_prefix"},
      {"replace", "/routes/0/split/0/weight", "10001", ErrorCode::kDocumentOutOfRange,
       "/routes/0/split/0/weight"},
      {"replace", "/routes/0/split", "[]", ErrorCode::kDocumentOutOfRange, "/routes/0/split"},
      {"replace", "/versions", "{}", ErrorCode::kDocumentOutOfRange, "/versions"},
      {"add", "/hosts/-", "\"field-log.oshana.example\"", ErrorCode::kDocumentDuplicateName,
       "/hosts/1"},
      {"add", "/routes/0/methods/-", "\"POST\"", ErrorCode::kDocumentDuplicateName,
       "/routes/0/methods/1"},
      {"add", "/routes/0/split/-", R"({"version": "stable", "weight": 1})",
       ErrorCode::kDocumentDuplicateName, "/routes/0/split/2"},
      {"add", "/routes/-",
       R"({"name": "record-block", "path_prefix": "/", "split": [{"version": "stable", "weight": 1}]})",
       ErrorCode::kDocumentDuplicateName, "/routes/1/name"},
      {"replace", "/routes/0/split/0/version", "\"beta\"", ErrorCode::kDocumentUnknownVersion,
       "/routes/0/split/0/version"},
  };
  return invalid_patches;
}

bool IsDocumentCode(ErrorCode code) {
  const auto number = utils::ToNumber(code);
  return number >= utils::ToNumber(ErrorCode::kDocumentNotJson) && number < 2000;
}

// Whether the result is a document that is equal after serialization and parsing, or an error with
// a document error code.
bool RoundTripsOrHasDocumentCode(const utils::Result<ServiceDocument>& document) {
  return document ? FromJson(ToJson(*document)) == document : IsDocumentCode(document.error().code);
}

}  // namespace

TEST_GROUP(DocumentParser){};

// Guards against fields of the documented example that are parsed incorrectly.
TEST(DocumentParser, ParsesTheExampleDocument) {
  const auto document = ParseDocument(ExampleDocument().dump());
  CHECK_TRUE(document.has_value());
  const Route& route = document->routes.at(0);
  CHECK_TRUE(route.split.at(0) == (SplitTarget{"field-log", "stable", 95}));
  CHECK_TRUE(route.split.at(1) == (SplitTarget{"claims-ledger", "stable", 5}));
  CHECK_TRUE(!route.idempotent && route.permit_required);
  CHECK_TRUE(route.priority == Priority::kInteractive);
  CHECK_TRUE(route.deadline == utils::Seconds(2));
  CHECK_TRUE(document->versions.at("canary").labels == (Labels{{"release", "2"}}));
  CHECK_TRUE(document->protection ==
             (Protection{20, 110, 100, utils::Milliseconds(500), 10, 3, utils::Seconds(10)}));
  CHECK_TRUE(document->locality == (Locality{LocalityPreference::kZone, 80}));
  CHECK_TRUE(FromJson(ToJson(*document)) == document);
}

// Guards against wrong defaults: an absent field must not make a route idempotent or set a limit to
// zero.
TEST(DocumentParser, AbsentFieldsHaveSafeDefaults) {
  json value = ExampleDocument();
  value.erase("protection");
  value.erase("locality");
  value["routes"][0] = {
      {"name", "a"}, {"path_prefix", "/"}, {"split", {{{"version", "stable"}, {"weight", 1}}}}};
  const auto document = FromJson(value);
  CHECK_TRUE(document.has_value());
  const Route& route = document->routes.at(0);
  CHECK_TRUE(!route.idempotent && !route.permit_required && route.methods.empty());
  CHECK_TRUE(route.priority == Priority::kNormal && route.deadline == utils::Seconds(5));
  CHECK_TRUE(document->protection.slots == kSlotsRange.default_value);
  CHECK_TRUE(document->locality.spill_load_percent == kSpillLoadPercentRange.default_value);
}

// Guards against invalid fields that are accepted, or reported with a wrong code or pointer.
TEST(DocumentParser, RejectsInvalidFieldsWithCodeAndPointer) {
  for (const InvalidPatch& invalid_patch : InvalidPatches()) {
    const json operation = {{"op", invalid_patch.operation},
                            {"path", invalid_patch.path},
                            {"value", json::parse(invalid_patch.value)}};
    const auto document = FromJson(ExampleDocument().patch(json::array({operation})));
    CHECK_FALSE_TEXT(document.has_value(), invalid_patch.path);
    STRCMP_EQUAL(std::string(ToString(invalid_patch.code)).c_str(),
                 std::string(ToString(document.error().code)).c_str());
    STRCMP_EQUAL(invalid_patch.pointer, document.error().pointer.c_str());
  }
}

// Guards against duplicate keys that silently override a value, and against stack overflow from
// deep nesting.
TEST(DocumentParser, RejectsDuplicateKeysDeepNestingAndLargeText) {
  const auto repeated = ParseDocument(R"({"a": [1, {"b": 1, "b": 2}]})");
  CHECK_TRUE(repeated.error().code == ErrorCode::kDocumentDuplicateName);
  STRCMP_EQUAL("/a/1/b", repeated.error().pointer.c_str());
  const std::string deep(kMaxDocumentBytes, '[');
  CHECK_TRUE(ParseDocument(deep).error().code == ErrorCode::kDocumentNotJson);
  const std::string large(kMaxDocumentBytes + 1, ' ');
  CHECK_TRUE(ParseDocument(large).error().code == ErrorCode::kDocumentTooLarge);
}

// Guards against input that crashes the parser or is rejected without a document error code.
TEST(DocumentParser, ArbitraryBytesReturnADocumentError) {
  CHECK_TRUE(HoldsProperty(1, 500, [](const std::string& bytes) {
    const auto document = ParseDocument(bytes);
    RC_ASSERT_FALSE(document.has_value());
    RC_ASSERT(IsDocumentCode(document.error().code));
  }));
}

// Guards against almost valid documents that crash the parser or are rejected without a document
// error code. One byte is overwritten, and the end may be truncated.
TEST(DocumentParser, CorruptedDocumentsReturnAnErrorOrRoundTrip) {
  const std::string valid = ExampleDocument().dump();
  CHECK_TRUE(HoldsProperty(2, 3000, [&valid](char byte) {
    std::string damaged = valid;
    damaged[*rc::gen::inRange<std::size_t>(0, valid.size())] = byte;
    damaged.resize(*rc::gen::weightedElement<std::size_t>(
        {{9, valid.size()}, {1, *rc::gen::inRange<std::size_t>(0, valid.size())}}));
    const auto document = ParseDocument(damaged);
    RC_ASSERT(RoundTripsOrHasDocumentCode(document));
  }));
}

// Guards against field values of an unexpected JSON type that crash the parser.
TEST(DocumentParser, UnexpectedValueTypesReturnAnErrorOrRoundTrip) {
  const json flat = ExampleDocument().flatten();
  std::vector<std::string> paths;
  for (const auto& [path, value] : flat.items()) {
    paths.push_back(path);
  }
  const std::vector<json> values = {
      nullptr,         true, -1, 1.5, 18446744073709551615ULL, "\xff\xfe\x01", "", json({}),
      json::array({1})};
  CHECK_TRUE(HoldsProperty(3, 1000, [&] {
    json damaged = ExampleDocument();
    damaged[json::json_pointer(*rc::gen::elementOf(paths))] = *rc::gen::elementOf(values);
    const auto document = FromJson(damaged);
    RC_ASSERT(RoundTripsOrHasDocumentCode(document));
  }));
}

}  // namespace amaranthlatch::document
