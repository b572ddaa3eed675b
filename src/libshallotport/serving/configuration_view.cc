#include "serving/configuration_view.h"

#include <utility>

#include "base/digest.h"

namespace shallotport {

configuration_snapshot::configuration_snapshot(log_index revision,
                                               configuration settings)
    : revision_(revision), settings_(std::move(settings)) {
  for (const account_configuration& account : settings_.accounts) {
    by_token_.emplace(account.token_sha256, &account);
  }
}

const account_configuration* configuration_snapshot::FindByToken(
    std::string_view token) const {
  const auto found = by_token_.find(Sha256Hex(token));
  return found == by_token_.end() ? nullptr : found->second;
}

const service_configuration* configuration_snapshot::FindService(
    const service_id& id) const {
  return shallotport::FindService(settings_, id);
}

std::shared_ptr<const configuration_snapshot> configuration_view::Current()
    const {
  const std::lock_guard lock(mutex_);
  return current_;
}

bool configuration_view::Update(log_index revision, configuration settings) {
  auto next = std::make_shared<const configuration_snapshot>(
      revision, std::move(settings));
  const std::lock_guard lock(mutex_);
  if (current_ && current_->revision() >= revision) {
    return false;
  }
  current_ = std::move(next);
  return true;
}

log_index configuration_view::revision() const {
  const std::lock_guard lock(mutex_);
  return current_ ? current_->revision() : 0;
}

}  // namespace shallotport
