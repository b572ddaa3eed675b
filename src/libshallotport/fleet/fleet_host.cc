#include "fleet/fleet_host.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "base/codec.h"
#include "base/digest.h"
#include "eventio/host_link.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kAnnounceInterval{500};
// A host without an announcement for this long is not counted as live.
constexpr std::chrono::milliseconds kLiveTimeout{3'000};
constexpr std::chrono::seconds kDialTimeout{30};

uint8_t FrameKind(fleet_frame frame) {
  return static_cast<uint8_t>(frame);
}

}  // namespace

fleet_host::fleet_host(boost::asio::io_context& loop,
                       const clock_source& clock,
                       fleet_host_options options,
                       bool links_to_stores)
    : clock_(clock),
      options_(std::move(options)),
      links_to_stores_(links_to_stores),
      hub_(loop,
           clock,
           options_.self.host.text(),
           options_.port,
           options_.link_bind_ip),
      documents_(clock, hub_, options_.self.host) {
  documents_.on_document = [this](const configuration_document& document) {
    RecordDocument(document);
  };
  documents_.control_hosts = [this] { return LinkedControlHosts(); };
  hub_.on_frame = [this](host_link& link, uint8_t kind,
                         std::string_view payload) {
    OnFrame(link, kind, payload);
  };
  hub_.on_link_up = [this](host_link& link) {
    options_.self.document_version = document().version;
    link.Send(FrameKind(fleet_frame::kDocumentReceipt),
              documents_.FirstReceipt());
    link.Send(FrameKind(fleet_frame::kAnnouncement), Encode(options_.self));
  };
}

status fleet_host::Start() {
  if (status listening = hub_.Listen(); !IsOk(listening)) {
    return listening;
  }
  Tick(clock_.Now());
  return success{};
}

void fleet_host::Tick(steady_time now) {
  if (now >= next_announcement_) {
    next_announcement_ = now + kAnnounceInterval;
    Announce();
    hosts_.Expire(now);
    endpoints_.Expire(now);
  }
  UpdateTargets(now);
  hub_.Tick(now);
  documents_.Tick(now);
}

void fleet_host::Announce() {
  options_.self.document_version = document().version;
  hosts_.Record(clock_.Now(), options_.self, 0);
  const std::string announcement = Encode(options_.self);
  for (const std::string& ip : hub_.UpTargets()) {
    hub_.Send(ip, FrameKind(fleet_frame::kAnnouncement), announcement);
  }
}

void fleet_host::SetDisk(incarnation disk) {
  options_.self.disk = disk;
  Announce();
}

void fleet_host::SetSeeds(std::vector<std::string> seed_ips) {
  options_.seed_ips = std::move(seed_ips);
}

void fleet_host::UpdateTargets(steady_time now) {
  std::set<std::string> targets(options_.seed_ips.begin(),
                                options_.seed_ips.end());
  for (const auto& host :
       hosts_.LiveHosts(now, host_role::kControl, kDialTimeout)) {
    targets.insert(host.host.text());
  }
  if (links_to_stores_) {
    for (const auto& host :
         hosts_.LiveHosts(now, host_role::kStore, kDialTimeout)) {
      targets.insert(host.host.text());
    }
  }
  hub_.SetTargets(targets);
}

void fleet_host::OnFrame(host_link& link,
                         uint8_t kind,
                         std::string_view payload) {
  switch (static_cast<fleet_frame>(kind)) {
    case fleet_frame::kDirectory:
      OnDirectory(payload);
      return;
    case fleet_frame::kDocument: {
      const auto document = Decode<configuration_document>(payload);
      if (IsOk(document)) {
        RecordDocument(ValueOf(document));
      }
      return;
    }
    case fleet_frame::kDocumentNotice:
      documents_.OnNotice(host_id(link.ip()), payload);
      return;
    case fleet_frame::kEndpoint: {
      const auto update = Decode<endpoint_update>(payload);
      if (IsOk(update)) {
        for (const endpoint_report& report : ValueOf(update).reports) {
          if (IsOk(CheckReport(report))) {
            RecordEndpoint(report, endpoint_directory::source::kHost);
          } else {
            ++malformed_reports_;
          }
        }
      }
      return;
    }
    case fleet_frame::kConsensus: {
      const auto envelope = Decode<group_envelope>(payload);
      if (IsOk(envelope) && on_consensus) {
        on_consensus(host_id(link.ip()), ValueOf(envelope));
      }
      return;
    }
    default:
      if (on_unhandled_frame) {
        on_unhandled_frame(link, kind, payload);
      }
  }
}

void fleet_host::OnDirectory(std::string_view payload) {
  const auto decoded = Decode<directory_update>(payload);
  if (!IsOk(decoded)) {
    return;
  }
  const directory_update& update = ValueOf(decoded);
  const steady_time now = clock_.Now();
  for (const directory_entry& each : update.hosts) {
    if (each.host.host != options_.self.host) {
      hosts_.Record(now, each.host, each.age_ms);
    }
  }
  entry_host_count_ = update.entry_host_count;
  if (job_founders_.empty()) {
    job_founders_ = update.job_founders;
  }
  retiring_.insert(update.retiring.begin(), update.retiring.end());
  UpdateTargets(now);
  if (on_directory) {
    on_directory();
  }
}

void fleet_host::OnEndpointStarted(const endpoint_report& report) {
  if (!on_endpoint_replaced || report.stage == endpoint_stage::kLeft) {
    return;
  }
  for (const endpoint_id& each : endpoints_.EarlierAtAddress(report)) {
    on_endpoint_replaced(each);
  }
}

bool fleet_host::RecordEndpoint(const endpoint_report& report,
                                endpoint_directory::source from) {
  const auto* known = endpoints_.Find(report.endpoint);
  const bool is_start =
      known == nullptr || known->report.start_time_ms < report.start_time_ms;
  if (!endpoints_.Apply(clock_.Now(), report, from)) {
    return false;
  }
  if (on_endpoint) {
    on_endpoint(*endpoints_.Find(report.endpoint));
  }
  if (is_start) {
    OnEndpointStarted(report);
  }
  return true;
}

bool fleet_host::RecordDocument(const configuration_document& document) {
  const configuration_document& known = this->document();
  if (document.bytes.empty() ||
      (!known.bytes.empty() && document.version <= known.version)) {
    return false;
  }
  documents_.SetInForce(document);
  if (on_document) {
    on_document(known);
  }
  documents_.SendReceipts();
  return true;
}

void fleet_host::RecordHost(const host_announcement& host) {
  hosts_.Record(clock_.Now(), host, 0);
}

std::vector<host_announcement> fleet_host::LiveHosts(host_role role) const {
  return hosts_.LiveHosts(clock_.Now(), role, kLiveTimeout);
}

std::vector<relay_address> fleet_host::Relays() const {
  std::vector<relay_address> relays;
  if (options_.relay_port == 0) {
    return relays;
  }
  std::vector<host_announcement> stores = LiveHosts(host_role::kStore);
  std::erase_if(stores, [this](const host_announcement& each) {
    return !hub_.IsUp(each.host.text());
  });
  // Hosts of domains without a store spread over all of them.
  const auto order = [this](const host_announcement& each) {
    return std::pair(each.domain != options_.self.domain,
                     HashOf(each.host.text(), HashOf(options_.self.name)));
  };
  std::sort(stores.begin(), stores.end(),
            [&](const host_announcement& a, const host_announcement& b) {
              return order(a) < order(b);
            });
  relays.reserve(stores.size());
  for (const host_announcement& each : stores) {
    relays.push_back({each.host.text(), options_.relay_port});
  }
  return relays;
}

std::vector<host_id> fleet_host::LinkedControlHosts() const {
  std::vector<host_id> linked;
  for (const std::string& ip : hub_.UpTargets()) {
    const auto* known = hosts_.Find(host_id(ip));
    if (known != nullptr && known->host.role == host_role::kControl) {
      linked.emplace_back(ip);
    }
  }
  return linked;
}

bool fleet_host::HasControlLink() const {
  return !LinkedControlHosts().empty();
}

bool fleet_host::HasAllControlLinks() const {
  const auto hosts =
      hosts_.LiveHosts(clock_.Now(), host_role::kControl, kDialTimeout);
  return !hosts.empty() && std::all_of(hosts.begin(), hosts.end(),
                                       [this](const host_announcement& host) {
                                         return hub_.IsUp(host.host.text());
                                       });
}

void fleet_host::ConfirmView(duration timeout,
                             std::function<void(bool is_current)> on_done) {
  if (!HasAllControlLinks()) {
    on_done(false);
    return;
  }
  const auto hosts =
      hosts_.LiveHosts(clock_.Now(), host_role::kControl, kDialTimeout);
  struct pending_confirmation {
    size_t unanswered = 0;
    std::function<void(bool is_current)> on_done;
  };
  auto pending = std::make_shared<pending_confirmation>();
  pending->unanswered = hosts.size();
  pending->on_done = std::move(on_done);
  for (const host_announcement& host : hosts) {
    hub_.Call(host.host.text(), static_cast<uint8_t>(fleet_call::kConfirmView),
              {}, timeout, [pending](const result<std::string>& reply) {
                --pending->unanswered;
                const bool is_decided =
                    !IsOk(reply) || pending->unanswered == 0;
                if (pending->on_done && is_decided) {
                  std::exchange(pending->on_done, nullptr)(IsOk(reply));
                }
              });
  }
}

void fleet_host::SendConsensus(const host_id& to,
                               uint32_t group,
                               std::string bytes) {
  hub_.Send(to.text(), FrameKind(fleet_frame::kConsensus),
            Encode(group_envelope{group, std::move(bytes)}));
}

}  // namespace shallotport
