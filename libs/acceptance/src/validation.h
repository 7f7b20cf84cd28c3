// Decides on one publish record against the documents in force.

#pragma once

#include "amaranthlatch/acceptance/publish_record.h"
#include "state_data.h"

namespace amaranthlatch::acceptance::details {

// What an accepted record does: puts the entry, or with a null entry removes the document.
struct Change {
  DocumentEntryPtr entry;
};

// Checks the whole record; `data` is only read. Pointers of errors are relative to the document.
utils::Result<Change> CheckRecord(const State::Data& data, Offset offset,
                                  const PublishRecord& record);

// Builds the entry with its route index.
DocumentEntryPtr MakeEntry(document::Version version, document::ServiceDocument document,
                           nlohmann::json source);

}  // namespace amaranthlatch::acceptance::details
