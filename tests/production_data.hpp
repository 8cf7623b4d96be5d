// Access to the records that the version in production wrote for StoredStory (see data/README.md).
//
// Throws std::runtime_error if a data file is missing.
#pragma once

#include <string>
#include <vector>

#include "in_memory_state_store.hpp"

namespace wellstair::test {

// All changes of the state service, in order of revision.
std::vector<InMemoryStateStore::Change> production_state();
// An encoded status packet between controllers.
std::string production_packet();
// Applies the recorded changes to a store, one transaction per revision.
void load_production_state(InMemoryStateStore& store);

}  // namespace wellstair::test
