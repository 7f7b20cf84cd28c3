// Implementation of the JSON patch (RFC 6902) encoding.

#include "difference.h"

#include <algorithm>
#include <string>
#include <vector>

#include "amaranthlatch/utils/hash.h"

namespace amaranthlatch::distribution::details {

namespace {

constexpr const char* kDocument = "document";
constexpr const char* kService = "service";

std::uint64_t HashBytes(const std::vector<std::uint8_t>& bytes) {
  return utils::Hash64({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

const acceptance::AcceptedDocument* FindBaseDocument(const nlohmann::json& record,
                                                     const acceptance::State& before) {
  if (!record.is_object()) {
    return nullptr;
  }
  const auto service = record.find(kService);
  const bool has_document = record.contains(kDocument);
  if (!has_document || service == record.end() || !service->is_string()) {
    return nullptr;
  }
  return before.FindAccepted(service->get_ref<const std::string&>());
}

// Allows only add, remove and replace. A short patch of copy operations could grow a document
// without bound, and nlohmann::json::diff never generates them.
bool HasOnlyAllowedOperations(const nlohmann::json& patch) {
  return patch.is_array() && std::all_of(patch.begin(), patch.end(), [](const auto& operation) {
           if (!operation.is_object() || !operation.contains("op")) {
             return false;
           }
           const nlohmann::json& name = operation["op"];
           return name == "add" || name == "remove" || name == "replace";
         });
}

utils::Result<nlohmann::json> ApplyPatch(const nlohmann::json& base, const nlohmann::json& patch) {
  if (!HasOnlyAllowedOperations(patch)) {
    return utils::Fail(utils::ErrorCode::kPatchMismatch,
                       "the patch contains an operation other than add, remove and replace");
  }
  try {
    return base.patch(patch);
  } catch (const nlohmann::json::exception& error) {
    return utils::Fail(utils::ErrorCode::kPatchMismatch, error.what());
  }
}

}  // namespace

std::uint64_t HashRecord(const nlohmann::json& record) {
  return HashBytes(nlohmann::json::to_cbor(record));
}

std::size_t CborSize(const nlohmann::json& record) {
  return nlohmann::json::to_cbor(record).size();
}

Entry MakeFullEntry(Offset offset, const nlohmann::json& record) {
  return Entry{.offset = offset, .record = record, .record_hash = HashRecord(record)};
}

Entry MakeEntry(Offset offset, const nlohmann::json& record, const acceptance::State& before) {
  Entry full = MakeFullEntry(offset, record);
  const acceptance::AcceptedDocument* base = FindBaseDocument(record, before);
  if (base == nullptr || base->source == nullptr) {
    return full;
  }
  Entry patched = full;
  patched.patch_base = base->version;
  patched.record[kDocument] = nlohmann::json::diff(*base->source, record.at(kDocument));
  if (CborSize(patched.record) >= CborSize(record)) {
    return full;
  }
  // nlohmann::json treats 1 and 1.0 as equal, so diff can omit that change; the record hash detects
  // it.
  return RestoreRecord(patched, before).has_value() ? patched : full;
}

utils::Result<nlohmann::json> RestoreRecord(const Entry& entry, const acceptance::State& before) {
  nlohmann::json record = entry.record;
  if (entry.patch_base != 0) {
    const acceptance::AcceptedDocument* base = FindBaseDocument(record, before);
    if (base == nullptr || base->source == nullptr || base->version != entry.patch_base) {
      return utils::Fail(utils::ErrorCode::kPatchMismatch,
                         "the base version of the patch does not match the current state");
    }
    utils::Result<nlohmann::json> document = ApplyPatch(*base->source, record[kDocument]);
    if (!document) {
      return tl::unexpected(document.error());
    }
    record[kDocument] = std::move(*document);
  }
  if (HashRecord(record) != entry.record_hash) {
    return utils::Fail(utils::ErrorCode::kPatchMismatch,
                       "the restored record does not match the expected hash");
  }
  return record;
}

}  // namespace amaranthlatch::distribution::details
