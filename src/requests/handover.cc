#include "requests/handover.h"

#include <algorithm>

namespace rosemaryreach {

namespace {

constexpr duration kResendPeriod = std::chrono::milliseconds(100);
constexpr unsigned kIncarnationShift = 32;

}  // namespace

void handover::Apply(time_point now,
                     const fleet_view& view,
                     const std::set<std::string>& unreachable_data_centres,
                     const std::vector<tracked_target>& targets) {
  view_ = view;
  unreachable_data_centres_ = unreachable_data_centres;
  rankings_.clear();
  had_peers_ = had_peers_ || view.instances.size() > 1;
  if (const instance_info* own = FindInstance(view, self_)) {
    next_nonce_ =
        std::max(next_nonce_, (own->incarnation << kIncarnationShift) + 1);
  }
  for (const tracked_target& target : targets) {
    ApplyTarget(now, target);
  }
  absl::erase_if(records_, [this, now](const auto& item) {
    const ownership_record& record = item.second;
    return record.declared_at + TakeoverBound(record) < now;
  });
}

void handover::OnPause() {
  if (paused_) {
    return;
  }
  paused_ = true;
  was_paused_ = true;
  for (auto& [id, record] : records_) {
    record.state = phase::kNone;
    record.granted_to = {};
    if (slot_table* slots = hooks_.slots(record.target.id)) {
      slots->SetHeld(record.target.id, false);
    }
  }
}

void handover::OnResumed(time_point now) {
  if (!paused_) {
    return;
  }
  paused_ = false;
  for (auto& [id, record] : records_) {
    if (record.owner == self_ && record.state == phase::kNone) {
      AcquireWithoutHolder(now, record);
    }
  }
}

void handover::OnRequest(time_point now,
                         instance_id from,
                         const handover_request& request) {
  const auto found = records_.find(request.target.value);
  if (found == records_.end() || from == self_) {
    return;
  }
  ownership_record& record = found->second;
  if (paused_) {
    return;
  }
  // The instance that was granted the target requests it again: the grant was
  // lost.
  const bool lost_grant =
      record.granted_to == from && record.granted_nonce == request.nonce;
  if (record.state == phase::kHeld || lost_grant) {
    GrantTo(now, record, from, request.nonce);
    return;
  }
  if (record.state == phase::kRequesting) {
    return;
  }
  handover_grant answer = RedirectOrGrant(now, record, from);
  answer.nonce = request.nonce;
  hooks_.send(from, answer);
}

void handover::OnGrant(time_point now,
                       instance_id from,
                       const handover_grant& grant) {
  const auto found = records_.find(grant.target.value);
  if (found == records_.end()) {
    return;
  }
  ownership_record& record = found->second;
  if (record.state != phase::kRequesting || record.nonce != grant.nonce ||
      record.requested_from != from) {
    return;
  }
  if (grant.holder) {
    AcquireFrom(now, record, grant.holder);
    return;
  }
  if (slot_table* slots = hooks_.slots(grant.target)) {
    slots->Inherit(grant.target, grant.running, now + grant.ends_in);
    if (grant.warm_percent) {
      slots->ResumeRamp(now, grant.target, *grant.warm_percent);
    }
  }
  record.held_nonce = grant.nonce;
  record.previous_owner = from;
  Hold(record);
}

void handover::OnReleased(instance_id from, const slot_released& released) {
  const auto found = records_.find(released.target.value);
  if (found == records_.end()) {
    return;
  }
  const ownership_record& record = found->second;
  if (record.held_nonce != released.nonce || record.previous_owner != from) {
    return;
  }
  if (slot_table* slots = hooks_.slots(released.target)) {
    slots->ReleaseInherited(released.target, released.running);
  }
  OnSlotFreed(released.target);
}

void handover::OnSlotFreed(target_id target) {
  const auto found = records_.find(target.value);
  if (found == records_.end() || !found->second.granted_to) {
    return;
  }
  const ownership_record& record = found->second;
  const slot_table* slots = hooks_.slots(target);
  const std::uint32_t running = slots == nullptr ? 0 : slots->Running(target);
  hooks_.send(record.granted_to,
              slot_released{target, record.granted_nonce, running});
}

void handover::Tick(time_point now) {
  if (paused_) {
    return;
  }
  for (auto& [id, record] : records_) {
    const bool unacquired =
        record.owner == self_ && record.state == phase::kNone;
    if (unacquired && record.resend_at <= now) {
      AcquireFrom(now, record, record.granted_to);
    } else if (record.state == phase::kRequesting && record.resend_at <= now) {
      SendRequest(now, record, record.requested_from);
    }
  }
}

bool handover::HasPendingHandovers() const {
  return std::any_of(
      records_.begin(), records_.end(), [this](const auto& item) {
        const ownership_record& record = item.second;
        const instance_id owner = record.owner;
        return record.state != phase::kNone && owner && owner != self_;
      });
}

instance_id handover::OwnerOf(target_id target) const {
  const auto found = records_.find(target.value);
  return found == records_.end() ? instance_id{} : found->second.owner;
}

const owner_ranking& handover::Ranking(const std::string& region,
                                       const std::string& data_centre) const {
  const std::pair<std::string, std::string> key(region, data_centre);
  const auto found = rankings_.find(key);
  if (found != rankings_.end()) {
    return found->second;
  }
  return rankings_.emplace(key, owner_ranking(view_, region, data_centre))
      .first->second;
}

handover::owners handover::OwnersOf(const tracked_target& target) const {
  const owner_pair local =
      Ranking(target.region, target.data_centre).Owners(target.id.value);
  if (local.owner && local.successor) {
    return {local.owner, local.owner == self_ ? local.successor : local.owner};
  }
  if (!local.owner && unreachable_data_centres_.contains(target.data_centre)) {
    return {};
  }
  const owner_pair regional =
      Ranking(target.region, {}).Owners(target.id.value);
  const instance_id owner = local.owner ? local.owner : regional.owner;
  const instance_id other =
      regional.owner == self_ ? regional.successor : regional.owner;
  return {owner, owner == self_ ? other : owner};
}

void handover::ApplyTarget(time_point now, const tracked_target& target) {
  const instance_id owner = OwnersOf(target).owner;
  const auto [found, added] = records_.try_emplace(target.id.value);
  ownership_record& record = found->second;
  record.target = target;
  record.declared_at = now;
  if (added) {
    record.owner = owner;
    if (owner == self_) {
      AcquireWithoutHolder(now, record);
    }
    return;
  }
  if (record.owner != owner) {
    OnOwnerChange(now, record, owner);
  }
  if (record.owner == self_ && record.state == phase::kHeld) {
    const instance_id other = OwnersOf(target).owner_without_self;
    if (now < record.unconfirmed_until && other && other != self_) {
      SendRequest(now, record, other);
    } else {
      Hold(record);
    }
  }
  TakeOverIfUnreachable(now, record);
}

void handover::OnOwnerChange(time_point now,
                             ownership_record& record,
                             instance_id owner) {
  const instance_id old = record.owner;
  record.owner = owner;
  record.previous_owner = old;
  record.previous_owner_lost_at.reset();
  if (old && !InView(old)) {
    record.previous_owner_lost_at = now;
  }
  if (old == self_) {
    if (slot_table* slots = hooks_.slots(record.target.id)) {
      slots->SetHeld(record.target.id, false);
    }
  }
  if (owner == self_ && record.state == phase::kNone && !paused_) {
    AcquireFrom(now, record, old);
  }
}

void handover::AcquireWithoutHolder(time_point now, ownership_record& record) {
  const instance_id other = OwnersOf(record.target).owner_without_self;
  if (other && other != self_) {
    SendRequest(now, record, other);
    return;
  }
  // An instance that was in view may have taken over during a pause.
  const bool may_be_taken_over = was_paused_ && had_peers_;
  const duration bound =
      may_be_taken_over ? TakeoverBound(record) : cancel_grace_;
  TakeOver(now, record, bound);
  record.unconfirmed_until = now + bound;
}

void handover::AcquireFrom(time_point now,
                           ownership_record& record,
                           instance_id holder) {
  if (!holder || holder == self_) {
    AcquireWithoutHolder(now, record);
  } else if (InView(holder)) {
    SendRequest(now, record, holder);
  } else {
    TakeOver(now, record, TakeoverBound(record));
  }
}

void handover::SendRequest(time_point now,
                           ownership_record& record,
                           instance_id holder) {
  const bool repeated =
      record.state == phase::kRequesting && record.requested_from == holder;
  if (!repeated) {
    record.nonce = next_nonce_++;
  }
  record.state = phase::kRequesting;
  record.requested_from = holder;
  record.resend_at = now + kResendPeriod;
  hooks_.send(holder, handover_request{record.target.id, record.nonce});
}

void handover::TakeOver(time_point now,
                        ownership_record& record,
                        duration bound) {
  if (slot_table* slots = hooks_.slots(record.target.id)) {
    slots->Inherit(record.target.id, record.target.slots, now + bound);
    slots->ResumeRamp(now, record.target.id, 0);
  }
  record.held_nonce = 0;
  Hold(record);
}

void handover::Hold(ownership_record& record) {
  record.state = phase::kHeld;
  record.granted_to = {};
  if (slot_table* slots = hooks_.slots(record.target.id)) {
    slots->SetHeld(record.target.id, record.owner == self_);
  }
}

void handover::GrantTo(time_point now,
                       ownership_record& record,
                       instance_id to,
                       std::uint64_t nonce) {
  const target_id target = record.target.id;
  record.state = phase::kNone;
  record.granted_to = to;
  record.granted_nonce = nonce;
  // An instance that is not in view yet cannot be asked until it is.
  record.resend_at = now + (InView(to) ? kResendPeriod : TakeoverBound(record));
  handover_grant grant;
  grant.target = target;
  grant.nonce = nonce;
  if (slot_table* slots = hooks_.slots(target)) {
    slots->SetHeld(target, false);
    grant.running = slots->Running(target);
    grant.ends_in = slots->LatestEnd(now, target) - now;
    grant.warm_percent = slots->WarmPercent(now, target);
  }
  hooks_.send(to, grant);
}

handover_grant handover::RedirectOrGrant(time_point now,
                                         const ownership_record& record,
                                         instance_id from) const {
  handover_grant answer;
  answer.target = record.target.id;
  if (record.granted_to) {
    answer.holder = record.granted_to;
  } else if (record.owner != from && record.owner != self_) {
    answer.holder = record.owner;
  } else if (record.previous_owner && record.previous_owner != from &&
             record.previous_owner != self_) {
    const time_point until =
        record.previous_owner_lost_at.value_or(now) + TakeoverBound(record);
    if (!record.previous_owner_lost_at) {
      answer.holder = record.previous_owner;
    } else if (until > now) {
      answer.running = record.target.slots;
      answer.ends_in = until - now;
    }
  }
  return answer;
}

void handover::TakeOverIfUnreachable(time_point now, ownership_record& record) {
  if (record.state == phase::kRequesting && !InView(record.requested_from)) {
    TakeOver(now, record, TakeoverBound(record));
  }
}

duration handover::TakeoverBound(const ownership_record& record) const {
  return view_lease_ + record.target.max_deadline + cancel_grace_;
}

}  // namespace rosemaryreach
