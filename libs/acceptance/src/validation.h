// Validates a publish record against the documents in force.

#pragma once

#include "amaranthlatch/acceptance/publish_record.h"
#include "state_data.h"

namespace amaranthlatch::acceptance::details {

// The change that an accepted record makes: puts the entry, or removes the document if it is null.
struct Change {
  DocumentEntryPtr entry;
};

// Validates the record without changing `data`. JSON pointers in errors are relative to the
// document.
utils::Result<Change> ValidateRecord(const State::Data& data, Offset offset,
                                     const PublishRecord& record);

// Creates the entry with its route index and hash.
DocumentEntryPtr MakeDocumentEntry(document::Version version, document::ServiceDocument document,
                                   nlohmann::json source);

}  // namespace amaranthlatch::acceptance::details
