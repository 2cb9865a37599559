#include "requests/handover.h"

#include <algorithm>

namespace rosemaryreach {

namespace {

constexpr duration kAskPeriod = std::chrono::milliseconds(100);
constexpr unsigned kIncarnationShift = 32;

}  // namespace

void handover::Apply(time_point now,
                     const fleet_view& view,
                     const std::set<std::string>& lost_centres,
                     const std::vector<owned_target>& targets) {
  view_ = view;
  lost_centres_ = lost_centres;
  ranks_.clear();
  seen_others_ = seen_others_ || view.instances.size() > 1;
  if (const instance_info* own = FindInstance(view, self_)) {
    next_nonce_ =
        std::max(next_nonce_, (own->incarnation << kIncarnationShift) + 1);
  }
  for (const owned_target& target : targets) {
    ApplyTarget(now, target);
  }
  absl::erase_if(records_, [this, now](const auto& item) {
    const record& known = item.second;
    return known.declared_at + TakeoverBound(known) < now;
  });
}

void handover::OnPause() {
  if (paused_) {
    return;
  }
  paused_ = true;
  was_paused_ = true;
  for (auto& [id, known] : records_) {
    known.state = phase::kNone;
    known.given_to = {};
    if (slot_table* slots = hooks_.slots(known.target.id)) {
      slots->SetHeld(known.target.id, false);
    }
  }
}

void handover::OnResumed(time_point now) {
  if (!paused_) {
    return;
  }
  paused_ = false;
  for (auto& [id, known] : records_) {
    if (known.owner == self_ && known.state == phase::kNone) {
      AcquireFirst(now, known);
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
  record& known = found->second;
  if (paused_) {
    return;
  }
  // The one that the target was given to asks again: the grant was lost.
  const bool lost_grant =
      known.given_to == from && known.given_nonce == request.nonce;
  if (known.state == phase::kHeld || lost_grant) {
    Give(now, known, from, request.nonce);
    return;
  }
  if (known.state == phase::kAsking) {
    return;
  }
  handover_grant answer = AnswerWithoutHolding(now, known, from);
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
  record& known = found->second;
  if (known.state != phase::kAsking || known.nonce != grant.nonce ||
      known.asked != from) {
    return;
  }
  if (grant.holder) {
    AcquireFrom(now, known, grant.holder);
    return;
  }
  if (slot_table* slots = hooks_.slots(grant.target)) {
    slots->Inherit(grant.target, grant.running, now + grant.ends_in);
    if (grant.warm_percent) {
      slots->ResumeRamp(now, grant.target, *grant.warm_percent);
    }
  }
  known.held_nonce = grant.nonce;
  known.before = from;
  Hold(known);
}

void handover::OnReleased(instance_id from, const slot_released& released) {
  const auto found = records_.find(released.target.value);
  if (found == records_.end()) {
    return;
  }
  const record& known = found->second;
  if (known.held_nonce != released.nonce || known.before != from) {
    return;
  }
  if (slot_table* slots = hooks_.slots(released.target)) {
    slots->ReleaseInherited(released.target, released.running);
  }
  OnSlotFreed(released.target);
}

void handover::OnSlotFreed(target_id target) {
  const auto found = records_.find(target.value);
  if (found == records_.end() || !found->second.given_to) {
    return;
  }
  const record& known = found->second;
  const slot_table* slots = hooks_.slots(target);
  const std::uint32_t running = slots == nullptr ? 0 : slots->Running(target);
  hooks_.send(known.given_to,
              slot_released{target, known.given_nonce, running});
}

void handover::Tick(time_point now) {
  if (paused_) {
    return;
  }
  for (auto& [id, known] : records_) {
    const bool lacks = known.owner == self_ && known.state == phase::kNone;
    if (lacks && known.ask_again_at <= now) {
      AcquireFrom(now, known, known.given_to);
    } else if (known.state == phase::kAsking && known.ask_again_at <= now) {
      Ask(now, known, known.asked);
    }
  }
}

bool handover::HasToGive() const {
  return std::any_of(
      records_.begin(), records_.end(), [this](const auto& item) {
        const record& known = item.second;
        const instance_id owner = known.owner;
        return known.state != phase::kNone && owner && owner != self_;
      });
}

instance_id handover::OwnerOf(target_id target) const {
  const auto found = records_.find(target.value);
  return found == records_.end() ? instance_id{} : found->second.owner;
}

const owner_ranking& handover::Ranking(const std::string& region,
                                       const std::string& data_centre) const {
  const std::pair<std::string, std::string> key(region, data_centre);
  const auto found = ranks_.find(key);
  if (found != ranks_.end()) {
    return found->second;
  }
  return ranks_.emplace(key, owner_ranking(view_, region, data_centre))
      .first->second;
}

handover::owners handover::OwnersOf(const owned_target& target) const {
  const owner_pair near =
      Ranking(target.region, target.data_centre).Owners(target.id.value);
  if (near.owner && near.successor) {
    return {near.owner, near.owner == self_ ? near.successor : near.owner};
  }
  if (!near.owner && lost_centres_.contains(target.data_centre)) {
    return {};
  }
  const owner_pair far = Ranking(target.region, {}).Owners(target.id.value);
  const instance_id owner = near.owner ? near.owner : far.owner;
  const instance_id other = far.owner == self_ ? far.successor : far.owner;
  return {owner, owner == self_ ? other : owner};
}

void handover::ApplyTarget(time_point now, const owned_target& target) {
  const instance_id owner = OwnersOf(target).owner;
  const auto [found, added] = records_.try_emplace(target.id.value);
  record& known = found->second;
  known.target = target;
  known.declared_at = now;
  if (added) {
    known.owner = owner;
    if (owner == self_) {
      AcquireFirst(now, known);
    }
    return;
  }
  if (known.owner != owner) {
    OnOwnerChange(now, known, owner);
  }
  if (known.owner == self_ && known.state == phase::kHeld) {
    const instance_id other = OwnersOf(target).without_self;
    if (now < known.blind_until && other && other != self_) {
      Ask(now, known, other);
    } else {
      Hold(known);
    }
  }
  CheckAsked(now, known);
}

void handover::OnOwnerChange(time_point now,
                             record& record,
                             instance_id owner) {
  const instance_id old = record.owner;
  record.owner = owner;
  record.before = old;
  record.before_lost_at.reset();
  if (old && !InView(old)) {
    record.before_lost_at = now;
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

void handover::AcquireFirst(time_point now, record& record) {
  const instance_id other = OwnersOf(record.target).without_self;
  if (other && other != self_) {
    Ask(now, record, other);
    return;
  }
  // Whoever was in view may have taken over during a pause.
  const bool unsure = was_paused_ && seen_others_;
  const duration bound = unsure ? TakeoverBound(record) : cancel_grace_;
  TakeOver(now, record, bound);
  record.blind_until = now + bound;
}

void handover::AcquireFrom(time_point now, record& record, instance_id holder) {
  if (!holder || holder == self_) {
    AcquireFirst(now, record);
  } else if (InView(holder)) {
    Ask(now, record, holder);
  } else {
    TakeOver(now, record, TakeoverBound(record));
  }
}

void handover::Ask(time_point now, record& record, instance_id holder) {
  const bool repeated =
      record.state == phase::kAsking && record.asked == holder;
  if (!repeated) {
    record.nonce = next_nonce_++;
  }
  record.state = phase::kAsking;
  record.asked = holder;
  record.ask_again_at = now + kAskPeriod;
  hooks_.send(holder, handover_request{record.target.id, record.nonce});
}

void handover::TakeOver(time_point now, record& record, duration bound) {
  if (slot_table* slots = hooks_.slots(record.target.id)) {
    slots->Inherit(record.target.id, record.target.slots, now + bound);
    slots->ResumeRamp(now, record.target.id, 0);
  }
  record.held_nonce = 0;
  Hold(record);
}

void handover::Hold(record& record) {
  record.state = phase::kHeld;
  record.given_to = {};
  if (slot_table* slots = hooks_.slots(record.target.id)) {
    slots->SetHeld(record.target.id, record.owner == self_);
  }
}

void handover::Give(time_point now,
                    record& record,
                    instance_id to,
                    std::uint64_t nonce) {
  const target_id target = record.target.id;
  record.state = phase::kNone;
  record.given_to = to;
  record.given_nonce = nonce;
  // An instance not yet in view will be; only then can it be asked.
  record.ask_again_at = now + (InView(to) ? kAskPeriod : TakeoverBound(record));
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

handover_grant handover::AnswerWithoutHolding(time_point now,
                                              const record& record,
                                              instance_id from) const {
  handover_grant answer;
  answer.target = record.target.id;
  if (record.given_to) {
    answer.holder = record.given_to;
  } else if (record.owner != from && record.owner != self_) {
    answer.holder = record.owner;
  } else if (record.before && record.before != from && record.before != self_) {
    const time_point until =
        record.before_lost_at.value_or(now) + TakeoverBound(record);
    if (!record.before_lost_at) {
      answer.holder = record.before;
    } else if (until > now) {
      answer.running = record.target.slots;
      answer.ends_in = until - now;
    }
  }
  return answer;
}

void handover::CheckAsked(time_point now, record& record) {
  if (record.state == phase::kAsking && !InView(record.asked)) {
    TakeOver(now, record, TakeoverBound(record));
  }
}

duration handover::TakeoverBound(const record& record) const {
  return view_lease_ + record.target.max_deadline + cancel_grace_;
}

}  // namespace rosemaryreach
