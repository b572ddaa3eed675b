#ifndef SHALLOTPORT_BATCH_JOB_SNAPSHOT_H_
#define SHALLOTPORT_BATCH_JOB_SNAPSHOT_H_

#include <iosfwd>
#include <memory>

#include "batch/job_catalogue.h"
#include "batch/pinned_payloads.h"
#include "consensus/replicated_state.h"

namespace shallotport {

// A writer with its own copy of the catalogue; item chunks are shared until
// they change. Writing fails if the member's `health` is bad.
std::unique_ptr<snapshot_writer> MakeJobSnapshotWriter(
    const job_catalogue& catalogue,
    const pinned_payloads& payloads,
    const status& health);

// Reads what such a writer wrote; bodies and results go into `payloads`.
result<job_catalogue> LoadJobs(std::istream& in,
                               uint64_t generation,
                               pinned_payloads& payloads);

// Gives up all payloads of a catalogue that is replaced.
void ReleaseJobs(const job_catalogue& catalogue, pinned_payloads& payloads);

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_JOB_SNAPSHOT_H_
