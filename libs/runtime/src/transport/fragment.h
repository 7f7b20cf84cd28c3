// Fragments of bulk messages.
//
// A message above kBulkBytes occupies a slow link for many times as long as a small one. It is sent
// in fragments, so that other messages pass between them.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthlatch::runtime::details {

// A message above this is bulk.
inline constexpr std::size_t kBulkBytes = std::size_t{16} * 1024;
// 6 ms of a link of 11 Mbit/s.
inline constexpr std::size_t kFragmentBytes = std::size_t{8} * 1024;

struct FragmentHead {
  // Numbers the messages of one link in the order in which their first fragments are sent, from 1.
  std::uint64_t message = 0;
  // Bytes of the whole message.
  std::uint32_t total = 0;
  // Of the first byte of this fragment. The fragments of a message are sent in order.
  std::uint32_t offset = 0;
  bool operator==(const FragmentHead&) const = default;
};

struct Fragment {
  FragmentHead head;
  // Part of the frame; empty if the rest of the message will not be sent.
  std::string_view content;
  bool operator==(const Fragment&) const = default;
};

// Frame of a fragment: kind (1 byte), message (8), total (4), offset (4; all little endian),
// content.
std::string EncodeFragment(const FragmentHead& head, std::string_view content);

// Empty for a frame that is too short or whose content exceeds the message.
std::optional<Fragment> DecodeFragment(std::string_view frame);

}  // namespace amaranthlatch::runtime::details
