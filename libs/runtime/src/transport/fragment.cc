// Encoding of fragments.

#include "transport/fragment.h"

#include "transport/keep_alive.h"

namespace amaranthlatch::runtime::details {

namespace {

constexpr std::size_t kByteBits = 8;
constexpr std::size_t kHeadBytes = 1 + sizeof(std::uint64_t) + 2 * sizeof(std::uint32_t);

template <typename Number>
void Append(std::string& bytes, Number number) {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    bytes.push_back(static_cast<char>(number >> (kByteBits * i)));
  }
}

template <typename Number>
Number Take(std::string_view& bytes) {
  Number number = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    number |= static_cast<Number>(static_cast<unsigned char>(bytes[i])) << (kByteBits * i);
  }
  bytes.remove_prefix(sizeof(Number));
  return number;
}

}  // namespace

std::string EncodeFragment(const FragmentHead& head, std::string_view content) {
  std::string frame;
  frame.reserve(kHeadBytes + content.size());
  frame.push_back(static_cast<char>(FrameKind::kFragment));
  Append(frame, head.message);
  Append(frame, head.total);
  Append(frame, head.offset);
  return frame.append(content);
}

std::optional<Fragment> DecodeFragment(std::string_view frame) {
  if (frame.size() < kHeadBytes || static_cast<FrameKind>(frame[0]) != FrameKind::kFragment) {
    return std::nullopt;
  }
  frame.remove_prefix(1);
  Fragment fragment;
  fragment.head.message = Take<std::uint64_t>(frame);
  fragment.head.total = Take<std::uint32_t>(frame);
  fragment.head.offset = Take<std::uint32_t>(frame);
  fragment.content = frame;
  const std::uint64_t end = std::uint64_t{fragment.head.offset} + frame.size();
  return end <= fragment.head.total ? std::optional(fragment) : std::nullopt;
}

}  // namespace amaranthlatch::runtime::details
