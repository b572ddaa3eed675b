#!/usr/bin/env bash
# The platform's names on the wire stand only in platform/ and deploy/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='"Resumes"|X-Server-Seal|X-Expect-Instance|X-Not-Executed|X-Server-Load|Server-Leaving|Server-Limit|X-Tenant|apiKeys|ratePerS|X-Token-Count|X-Prompt-Prefix|X-Pin-Ms|X-Wait-Ms|heartbeatAddress|coldRemainingMs|pathPrefix|trafficSplit|kvCapacityTokens|runTargetMs|/v1/lots|/v1/instances|/v1/retire|dead_letter|SHALLOTPORT_BOOT|nodeName|internalPorts'
if git grep -nE "$names" -- 'src/*.cc' 'src/*.h' 'examples/*.cc' 'tests/*.cc'; then
  echo "the platform's names stand outside platform/" >&2
  exit 1
fi
