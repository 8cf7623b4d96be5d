// The records that production wrote for the stored story, see data/README.md.
//
// Owns nothing. Errors: a missing file throws std::runtime_error.
#pragma once

#include <string>
#include <vector>

#include "in_memory_state_store.hpp"

namespace wellstair::test {

// Every change of the state service, in the order of the revisions.
std::vector<InMemoryStateStore::Change> production_state();
// One packet between controllers, as bytes.
std::string production_packet();
// Plays production's writes into a store, one transaction for each revision.
void load_production_state(InMemoryStateStore& store);

}  // namespace wellstair::test
