// Tests of the CBOR writer and reader. The JSON library, which has a codec of its own, is the
// reference.

#include "amaranthlatch/utils/cbor.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace amaranthlatch::utils {

using nlohmann::json;

TEST_GROUP(Cbor){static std::string FromTree(const json& tree){std::string bytes;
json::to_cbor(tree, bytes);
return bytes;
}  // namespace amaranthlatch::utils
}
;

// Guards against an encoding that other decoders of CBOR read differently, at every size of header.
TEST(Cbor, WriterProducesTheBytesOfTheReference) {
  for (const std::uint64_t number :
       {0ULL, 23ULL, 24ULL, 255ULL, 256ULL, 65'535ULL, 65'536ULL, 4'294'967'296ULL, ~0ULL}) {
    std::string bytes;
    CborWriter(bytes).Number(number);
    CHECK_TRUE(bytes == FromTree(number));
    CHECK_TRUE(CborReader(bytes).Number() == number);
  }
  for (const std::size_t size : {0U, 23U, 24U, 300U, 70'000U}) {
    const std::string text(size, 'x');
    std::string bytes;
    CborWriter(bytes).Array(3).Text(text).Bytes(text).Flag(true);
    const json binary = json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
    CHECK_TRUE(bytes == FromTree(json::array({text, binary, true})));
    CborReader reader(bytes);
    reader.ExpectArray(3);
    CHECK_TRUE(reader.Text(size) == text);
    CHECK_TRUE(reader.Bytes(size) == text);
    CHECK_TRUE(reader.Flag() && reader.AtEnd() && !reader.Error());
  }
}

// Guards against reading values of another type, of indefinite length, nested or cut off.
TEST(Cbor, ReaderRejectsOtherItems) {
  std::string deep(100'000, '\x81');
  const std::string indefinite_array = "\x9f\x01\xff";
  const std::string indefinite_text = "\x7f\x61\x61\xff";
  const std::string tagged = "\xc1\x01";
  const std::string half = "\xf9\x01";
  for (const std::string& bytes :
       {FromTree(-1), FromTree(1.5), FromTree(json()), FromTree(json::object()), std::string(),
        FromTree("text").substr(0, 3), indefinite_array, indefinite_text, tagged, half, deep}) {
    CborReader number(bytes);
    number.Number();
    CHECK_TRUE(number.Error() == ErrorCode::kMessageMalformed);
    CborReader text(bytes);
    CHECK_TRUE(text.Text(1'000).empty());
    CHECK_TRUE(text.Error() == ErrorCode::kMessageMalformed);
  }
  CborReader nested(deep);
  CHECK_TRUE(nested.Numbers(10).size() == 1);
  CHECK_TRUE(nested.Error() == ErrorCode::kMessageMalformed);
}

// Guards against values above their limit, and against values that follow an error.
TEST(Cbor, ReaderEnforcesLimitsAndKeepsTheFirstError) {
  std::string bytes;
  CborWriter(bytes).Text("long").Number(7);
  CborReader reader(bytes);
  CHECK_TRUE(reader.Text(3).empty());
  CHECK_EQUAL(0, reader.Number());
  CHECK_TRUE(reader.Error() == ErrorCode::kMessageTooLarge);
  const std::string numbers = FromTree(json::array({1, 2, 3}));
  CborReader list(numbers);
  CHECK_TRUE(list.Numbers(2).empty());
  CHECK_TRUE(list.Error() == ErrorCode::kMessageTooLarge);
  const std::string seven = FromTree(7);
  CborReader range(seven);
  range.Number(6);
  CHECK_TRUE(range.Error() == ErrorCode::kMessageMalformed);
}

}  // namespace amaranthlatch::utils
