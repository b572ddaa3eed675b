#ifndef SHALLOTPORT_SERVING_CONFIGURATION_VIEW_H_
#define SHALLOTPORT_SERVING_CONFIGURATION_VIEW_H_

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/ids.h"
#include "control/configuration.h"

namespace shallotport {

// One revision of the configuration with its look-up tables. Immutable.
class configuration_snapshot {
 public:
  configuration_snapshot(log_index revision, configuration settings);

  log_index revision() const { return revision_; }
  const configuration& settings() const { return settings_; }

  // The account whose bearer token this is; null for an unknown token.
  const account_configuration* FindByToken(std::string_view token) const;
  const service_configuration* FindService(const service_id& id) const;

 private:
  log_index revision_;
  configuration settings_;
  std::unordered_map<std::string, const account_configuration*> by_token_;
};

// The configuration that is in force on this host, for all its threads. The
// revision only rises.
class configuration_view {
 public:
  // The current snapshot; null until a committed revision has arrived.
  std::shared_ptr<const configuration_snapshot> Current() const;

  // False when `revision` is not above the one in force.
  bool Update(log_index revision, configuration settings);

  // Revision in force; 0 when there is none.
  log_index revision() const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const configuration_snapshot> current_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_CONFIGURATION_VIEW_H_
