#ifndef SHALLOTPORT_BATCH_JOB_SNAPSHOT_H_
#define SHALLOTPORT_BATCH_JOB_SNAPSHOT_H_

#include <iosfwd>
#include <memory>

#include "batch/job_catalogue.h"
#include "batch/pinned_payloads.h"
#include "consensus/replicated_state.h"

namespace shallotport {

// Returns a writer with its own copy of the catalogue, which shares the item
// chunks copy-on-write. Writing fails with `health` if that is an error.
std::unique_ptr<snapshot_writer> MakeJobSnapshotWriter(
    const job_catalogue& catalogue,
    const pinned_payloads& payloads,
    const status& health);

// Reads a snapshot and appends its bodies and results to `payloads`.
result<job_catalogue> LoadJobs(std::istream& in,
                               uint64_t generation,
                               pinned_payloads& payloads);

// Releases all payloads of a catalogue that is replaced.
void ReleaseJobs(const job_catalogue& catalogue, pinned_payloads& payloads);

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_JOB_SNAPSHOT_H_
