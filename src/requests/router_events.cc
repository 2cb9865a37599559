#include <algorithm>
#include <variant>

#include "requests/router_impl.h"

namespace rosemaryreach {

namespace {

// A longer gap between events means that the process was paused.
constexpr duration kPauseThreshold = std::chrono::milliseconds(500);
constexpr duration kSlowTickPeriod = std::chrono::milliseconds(100);
// How long attempts may continue in a data centre taken out of service.
constexpr duration kOutOfServiceGrace = std::chrono::seconds(2);
// How long an instance that shuts down stays to answer handover requests.
constexpr duration kStopLinger = std::chrono::seconds(2);
// How long it stays for a new owner that has not yet requested its targets.
constexpr duration kPendingHandoverLinger = std::chrono::seconds(5);
constexpr duration kMaxWatchTime = std::chrono::hours(24);
// Unhealthy reports are ignored when they cover more than one in this many
// targets of a service.
constexpr std::size_t kMaxEjectedDivisor = 3;

bool HasPrefix(const std::vector<std::string>& prefixes,
               std::string_view path) {
  return std::any_of(
      prefixes.begin(), prefixes.end(),
      [path](const std::string& prefix) { return path.starts_with(prefix); });
}

request_class Classify(const request_policy& rules, std::string_view path) {
  if (HasPrefix(rules.watch_prefixes, path)) {
    return request_class::kWatch;
  }
  return HasPrefix(rules.bulk_prefixes, path) ? request_class::kBulk
                                              : request_class::kInteractive;
}

bool IsIdempotent(const request_policy& rules, const request_info& info) {
  return std::any_of(rules.idempotent_methods.begin(),
                     rules.idempotent_methods.end(),
                     [&info](const std::string& method) {
                       return method == info.method || method == info.path;
                     });
}

duration EffectiveTimeout(const request_policy& rules,
                          const request_info& info,
                          request_class kind) {
  const bool declared = info.timeout > duration::zero();
  if (kind == request_class::kWatch) {
    return declared ? std::min(info.timeout, kMaxWatchTime) : kMaxWatchTime;
  }
  const duration max_timeout = std::chrono::milliseconds(rules.max_deadline_ms);
  if (declared) {
    return std::min(info.timeout, max_timeout);
  }
  return kind == request_class::kBulk
             ? max_timeout
             : std::min<duration>(max_timeout, std::chrono::milliseconds(
                                                   rules.default_deadline_ms));
}

slot_target ToSlotTarget(const configuration& config,
                         const service_config& service,
                         const target_config& target) {
  slot_target declared;
  declared.id = {TargetKey(service.name, target.name)};
  declared.address = target.address;
  declared.capacity = {target.slots, target.cold_rate_per_s,
                       std::chrono::milliseconds(target.warmup_ms)};
  declared.accepts_work = AcceptsNewWork(config, target);
  return declared;
}

tracked_target ToOwnedTarget(const configuration& config,
                             const service_config& service,
                             const target_config& target) {
  const data_centre_config* data_centre =
      FindDataCentre(config, target.data_centre);
  tracked_target owned;
  owned.id = {TargetKey(service.name, target.name)};
  owned.data_centre = target.data_centre;
  owned.region = data_centre == nullptr ? std::string() : data_centre->region;
  owned.slots = target.slots;
  owned.max_deadline =
      std::chrono::milliseconds(service.requests.max_deadline_ms);
  return owned;
}

}  // namespace

request_router::impl::impl(instance_id self,
                           router_options options,
                           log_sink& log)
    : self_(self),
      options_(options),
      log_(log),
      random_(HashPair(self.value, options.seed)),
      handover_(self,
                options.view_lease,
                options.cancel_grace,
                {[this](target_id target) { return SlotsOf(target); },
                 [this](instance_id to, const request_message& message) {
                   actions_.emplace_back(send_action{to, message});
                 }}),
      keys_(self,
            {[this](instance_id to, const request_message& message) {
               actions_.emplace_back(send_action{to, message});
             },
             [this](time_point now, request_id id, key_verdict verdict) {
               OnKeyVerdict(now, id, verdict);
             },
             [this](time_point now) {
               return keys_confirmed_at_ && quorum_.HasRegionMajority() &&
                      now - *keys_confirmed_at_ <= options_.view_lease;
             },
             [this] { return quorum_.HasRegionMajority(); }}) {}

void request_router::impl::BeginEvent(time_point now) {
  actions_.clear();
  const bool paused = last_event_ && now - *last_event_ > kPauseThreshold;
  const bool lease_expired =
      view_confirmed_at_ && now - *view_confirmed_at_ > options_.view_lease;
  if (paused || lease_expired) {
    view_confirmed_at_.reset();
    keys_confirmed_at_.reset();
    handover_.OnPause();
    keys_.OnPause();
  }
  last_event_ = now;
}

void request_router::impl::HandleArrival(time_point now,
                                         const request_info& info) {
  request_service* service = FindService(info.service);
  if (service == nullptr || !service->declared) {
    actions_.emplace_back(
        local_reply_action{info.id, local_reply_reason::kNoTarget});
    return;
  }
  const request_policy& rules = service->config.requests;
  std::unique_ptr<live_request>& entry = requests_[info.id.value];
  entry = std::make_unique<live_request>();
  live_request& request = *entry;
  request.id = info.id;
  request.service = service;
  request.kind = Classify(rules, info.path);
  request.idempotent = IsIdempotent(rules, info);
  request.caller = info.caller;
  request.key =
      request.idempotent || info.forwarded_by ? 0 : info.idempotency_key;
  request.forwarded_by = info.forwarded_by;
  request.arrived = now;
  request.deadline = now + EffectiveTimeout(rules, info, request.kind);
  timers_.push({request.deadline, request.id});
  if (request.kind == request_class::kInteractive) {
    service->last_interactive_at = now;
    service->has_interactive = true;
  }
  if (info.forwarded_by) {
    EnqueueLocally(now, request);
    return;
  }
  service->budget.Deposit();
  if (request.key == 0) {
    Route(now, request);
    return;
  }
  request.stage = request_stage::kReservingKey;
  keys_.Reserve(now, request.id, request.key,
                request.deadline + options_.cancel_grace,
                std::chrono::milliseconds(rules.idempotency_window_ms));
}

void request_router::impl::HandleCancel(time_point now, request_id id) {
  live_request* request = FindRequest(id);
  if (request == nullptr) {
    return;
  }
  request_service& service = *request->service;
  const bool sent = request->reached_target || !request->attempts.empty();
  const std::vector<attempt_id> attempts = request->attempts;
  for (const attempt_id attempt : attempts) {
    CancelAttempt(now, attempt);
  }
  Finish(now, *request, sent ? run_state::kUnknown : run_state::kNotRun);
  DispatchQueued(now, service);
}

void request_router::impl::HandleHeaders(time_point now,
                                         attempt_id id,
                                         bool overloaded) {
  const auto found = attempts_.find(id.value);
  if (found == attempts_.end() || found->second.cancelled) {
    return;
  }
  const live_attempt attempt = found->second;
  if (attempt.target) {
    attempt.service->slots.OnHeaders(now, id, overloaded);
  }
  live_request* request = FindRequest(attempt.request);
  if (request == nullptr || request->relayed_attempt) {
    return;
  }
  request->relayed_attempt = id;
  request->service->time_to_headers.Add(now - request->arrived);
  actions_.emplace_back(relay_action{request->id, id});
  CancelOtherAttempts(now, *request, id);
}

void request_router::impl::Tick(time_point now) {
  ExpireRequests(now);
  handover_.Tick(now);
  keys_.Tick(now);
  for (const auto& [name, service] : services_) {
    TickService(now, *service);
  }
  if (next_slow_tick_at_ <= now) {
    next_slow_tick_at_ = now + kSlowTickPeriod;
    CancelOutOfServiceAttempts(now);
    PurgeCancelledAttempts(now);
    if (quorum_.Expire(now)) {
      UpdateOwnership(now);
    }
  }
}

void request_router::impl::ApplyConfiguration(time_point now,
                                              const configuration& config) {
  config_ = config;
  has_config_ = true;
  for (const auto& [name, service] : services_) {
    service->declared = false;
  }
  for (const service_config& declared : config.services) {
    if (declared.plane != service_plane::kRequests) {
      continue;
    }
    std::unique_ptr<request_service>& service = services_[declared.name];
    if (!service) {
      service =
          std::make_unique<request_service>(declared, options_.cancel_grace);
    }
    service->config = declared;
    service->declared = true;
    service->queue.Configure(declared.requests.queue_limit);
    service->budget.Configure(declared.requests.retry_budget_percent);
    std::vector<slot_target> targets;
    for (const target_config& target : declared.targets) {
      targets.push_back(ToSlotTarget(config, declared, target));
      service_of_target_[targets.back().id.value] = service.get();
    }
    service->slots.Configure(now, targets);
  }
  for (const auto& [name, service] : services_) {
    if (!service->declared) {
      service->slots.Configure(now, {});
    }
  }
  UpdateOwnership(now);
  CancelOutOfServiceAttempts(now);
}

void request_router::impl::ApplyView(time_point now, const fleet_view& view) {
  const fleet_view previous = std::move(view_);
  view_ = view;
  has_view_ = true;
  if (AnyActiveInstanceRemoved(previous)) {
    keys_confirmed_at_.reset();
  }
  quorum_.Apply(now, view_);
  keys_.ApplyView(now, view_);
  UpdateOwnership(now);
}

void request_router::impl::ConfirmView(time_point now) {
  view_confirmed_at_ = now;
  keys_confirmed_at_ = now;
  handover_.OnResumed(now);
  keys_.OnResumed(now);
}

void request_router::impl::HandleTargetReport(const target_report& report) {
  const auto found = service_of_target_.find(report.target.value);
  if (found == service_of_target_.end()) {
    return;
  }
  request_service& service = *found->second;
  if (report.healthy) {
    service.reported_unhealthy.erase(report.target);
  } else {
    service.reported_unhealthy.insert(report.target);
  }
  const std::set<target_id>& unhealthy = service.reported_unhealthy;
  const std::size_t targets = service.config.targets.size();
  const bool plausible = unhealthy.size() * kMaxEjectedDivisor <= targets;
  for (const target_config& target : service.config.targets) {
    const target_id id{TargetKey(service.config.name, target.name)};
    service.slots.OnHealthReport(id, !plausible || !unhealthy.contains(id));
  }
}

void request_router::impl::HandleMessage(time_point now,
                                         instance_id from,
                                         const request_message& message) {
  struct visitor {
    impl& router;
    time_point now;
    instance_id from;

    void operator()(const handover_request& body) {
      router.handover_.OnRequest(now, from, body);
    }
    void operator()(const handover_grant& body) {
      router.handover_.OnGrant(now, from, body);
    }
    void operator()(const slot_released& body) {
      router.handover_.OnReleased(from, body);
    }
    void operator()(const key_reserve& body) {
      router.keys_.OnReserve(now, from, body);
    }
    void operator()(const key_reply& body) { router.keys_.OnReply(now, body); }
    void operator()(const key_finish& body) {
      router.keys_.OnFinish(now, from, body);
    }
    void operator()(const key_copy& body) {
      router.keys_.OnCopy(now, from, body);
    }
    void operator()(const key_copied& body) {
      router.keys_.OnCopied(now, from, body);
    }
    void operator()(const key_pull& body) {
      router.keys_.OnPull(now, from, body);
    }
    void operator()(const key_transfer& body) {
      router.keys_.OnTransfer(now, from, body);
    }
  };
  std::visit(visitor{*this, now, from}, message);
}

void request_router::impl::BeginStop(time_point now) {
  if (stop_began_at_) {
    return;
  }
  stop_began_at_ = now;
  for (const auto& [name, service] : services_) {
    RejectQueued(now, *service);
  }
}

bool request_router::impl::IsDrained() const {
  if (!stop_began_at_ || !last_event_ || !requests_.empty()) {
    return false;
  }
  const duration elapsed = *last_event_ - *stop_began_at_;
  const duration linger =
      handover_.HasPendingHandovers() ? kPendingHandoverLinger : kStopLinger;
  return elapsed >= std::min(linger, options_.stop_timeout);
}

peer_load request_router::impl::LoadOf(std::string_view name) const {
  const request_service* service = FindService(name);
  if (service == nullptr || !last_event_) {
    return {};
  }
  peer_load load = service->slots.Load(*last_event_);
  if (!MayDispatch(*last_event_) || stop_began_at_) {
    load.limit = 0;
  }
  load.queued = static_cast<std::uint32_t>(service->queue.size());
  load.rate_per_s = static_cast<std::uint32_t>(service->slots.AdvertisedRate(
      *last_event_, service->MeanProcessingTime()));
  return load;
}

request_service* request_router::impl::FindService(
    std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second.get();
}

void request_router::impl::UpdateOwnership(time_point now) {
  if (!has_config_ || !has_view_) {
    return;
  }
  std::vector<tracked_target> targets;
  for (const service_config& service : config_.services) {
    if (service.plane != service_plane::kRequests) {
      continue;
    }
    for (const target_config& target : service.targets) {
      targets.push_back(ToOwnedTarget(config_, service, target));
    }
  }
  handover_.Apply(now, view_, quorum_.UnreachableDataCentres(), targets);
  RebuildOwners();
}

void request_router::impl::RebuildOwners() {
  for (const auto& [name, service] : services_) {
    std::vector<service_owner> previous_owners = std::move(service->owners);
    service->owners.clear();
    if (!service->declared) {
      continue;
    }
    for (const target_config& target : service->config.targets) {
      const target_id id{TargetKey(name, target.name)};
      const instance_id owner_id = handover_.OwnerOf(id);
      if (!owner_id || !AcceptsNewWork(config_, target)) {
        continue;
      }
      const auto is_owner = [owner_id](const service_owner& owner) {
        return owner.instance == owner_id;
      };
      std::vector<service_owner>& owners = service->owners;
      auto owner = std::find_if(owners.begin(), owners.end(), is_owner);
      if (owner == owners.end()) {
        const auto previous = std::find_if(previous_owners.begin(),
                                           previous_owners.end(), is_owner);
        owners.push_back(previous == previous_owners.end() ? service_owner()
                                                           : *previous);
        owner = std::prev(owners.end());
        owner->instance = owner_id;
        owner->slots = 0;
        owner->cold_rate_per_s = 0;
      }
      owner->slots += target.slots;
      owner->cold_rate_per_s += target.cold_rate_per_s;
    }
  }
}

bool request_router::impl::MayDispatch(time_point now) const {
  const bool view_confirmed =
      view_confirmed_at_ && now - *view_confirmed_at_ <= options_.view_lease;
  return view_confirmed &&
         (quorum_.HasRegionMajority() || quorum_.HasDataCentreMajority());
}

void request_router::impl::OnKeyVerdict(time_point now,
                                        request_id id,
                                        key_verdict verdict) {
  live_request* request = FindRequest(id);
  if (request == nullptr || request->stage != request_stage::kReservingKey) {
    return;
  }
  if (verdict == key_verdict::kGranted) {
    Route(now, *request);
    return;
  }
  // The key belongs to another request, so this one must not finish it.
  request->key = 0;
  switch (verdict) {
    case key_verdict::kInProgress:
      SendLocalReply(now, *request, local_reply_reason::kKeyInProgress,
                     run_state::kUnknown);
      return;
    case key_verdict::kDone:
      SendLocalReply(now, *request, local_reply_reason::kKeyDone,
                     run_state::kRun);
      return;
    default:
      SendLocalReply(now, *request, local_reply_reason::kKeyUnknown,
                     run_state::kUnknown);
  }
}

bool request_router::impl::AnyActiveInstanceRemoved(
    const fleet_view& previous) const {
  return std::any_of(previous.instances.begin(), previous.instances.end(),
                     [this](const instance_info& instance) {
                       return instance.state == instance_state::kActive &&
                              FindInstance(view_, instance.id) == nullptr;
                     });
}

slot_table* request_router::impl::SlotsOf(target_id target) {
  const auto found = service_of_target_.find(target.value);
  return found == service_of_target_.end() ? nullptr : &found->second->slots;
}

void request_router::impl::ExpireRequests(time_point now) {
  const bool stop_timed_out =
      stop_began_at_ && now - *stop_began_at_ >= options_.stop_timeout;
  if (stop_timed_out) {
    std::vector<request_id> remaining;
    for (const auto& [id, request] : requests_) {
      remaining.push_back(request->id);
    }
    std::sort(remaining.begin(), remaining.end());
    for (const request_id id : remaining) {
      FailRequest(now, *FindRequest(id), local_reply_reason::kStopping);
    }
  }
  while (!timers_.empty() && timers_.top().due_at <= now) {
    const timer due = timers_.top();
    timers_.pop();
    live_request* request = FindRequest(due.request);
    if (request == nullptr) {
      continue;
    }
    if (request->deadline <= now) {
      const bool reserving = request->stage == request_stage::kReservingKey;
      FailRequest(now, *request,
                  reserving ? local_reply_reason::kKeyUnavailable
                            : local_reply_reason::kDeadline);
    } else if (request->hedge_scheduled && request->hedge_at <= now) {
      SendHedge(now, *request);
    }
  }
}

void request_router::impl::TickService(time_point now,
                                       request_service& service) {
  service.slots.Expire(now);
  for (const request_id id : service.queue.Expire(now)) {
    if (live_request* request = FindRequest(id)) {
      FailRequest(now, *request, local_reply_reason::kOverloaded);
    }
  }
  const bool usable = MayDispatch(now) && service.slots.Load(now).limit > 0;
  if (!usable && service.queue.size() > 0) {
    RejectQueued(now, service);
  }
  DispatchQueued(now, service);
  RetryWaiting(now, service);
}

void request_router::impl::CancelOutOfServiceAttempts(time_point now) {
  for (const auto& [name, service] : services_) {
    for (const target_config& target : service->config.targets) {
      const target_id id{TargetKey(name, target.name)};
      const data_centre_config* data_centre =
          FindDataCentre(config_, target.data_centre);
      if (data_centre == nullptr ||
          data_centre->state == data_centre_state::kIn) {
        out_of_service_since_.erase(id.value);
      } else {
        out_of_service_since_.try_emplace(id.value, now);
      }
    }
  }
  std::vector<attempt_id> expired;
  for (const auto& [id, attempt] : attempts_) {
    const auto found = out_of_service_since_.find(attempt.target.value);
    if (!attempt.cancelled && found != out_of_service_since_.end() &&
        found->second + kOutOfServiceGrace <= now) {
      expired.push_back({id});
    }
  }
  std::sort(expired.begin(), expired.end());
  for (const attempt_id id : expired) {
    const live_attempt attempt = attempts_[id.value];
    CancelAttempt(now, id);
    if (live_request* request = FindRequest(attempt.request)) {
      HandleUnknownOutcome(now, *request, request->relayed_attempt == id);
    }
  }
}

void request_router::impl::PurgeCancelledAttempts(time_point now) {
  absl::erase_if(attempts_, [now, this](const auto& item) {
    const live_attempt& attempt = item.second;
    return attempt.cancelled && attempt.deadline + options_.cancel_grace < now;
  });
}

live_request* request_router::impl::FindRequest(request_id id) {
  const auto found = requests_.find(id.value);
  return found == requests_.end() ? nullptr : found->second.get();
}

}  // namespace rosemaryreach
