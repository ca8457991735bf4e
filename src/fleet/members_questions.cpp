// The questions of `Members`: its own, those for others, and what silence comes to.
#include <algorithm>
#include <utility>

#include "fleet/members.h"

namespace myrtleloft {

std::string Members::dueSuspect(double nowMs) const {
  const Member* due = nullptr;
  for (const Member& m : table_.all()) {
    const MemberLife* life = m.present();
    if (life == nullptr || life->standing != Standing::kSuspect) continue;
    if (nowMs < life->suspectSinceMs + spanMs() * stretch()) continue;
    if (due == nullptr || m.askedAtMs < due->askedAtMs) due = &m;
  }
  return due == nullptr ? std::string() : due->name;
}

std::vector<std::string> Members::thirdsFor(const std::string& about, bool linkedOnly) const {
  std::vector<std::string> thirds;
  for (const Member& m : table_.all()) {
    const Standing standing = m.standing();
    const bool there = standing == Standing::kAlive || standing == Standing::kSuspect;
    if (m.name != about && there && (m.linked || !linkedOnly)) thirds.push_back(m.name);
  }
  return thirds;
}

void Members::startPeriod(double nowMs) {
  periodAtMs_ = nowMs + tuning_.periodMs * stretch();
  asked_ = 0;
  if (catchingUp_) askToCatchUp();
  std::vector<std::string> eligible;
  for (const Member& m : table_.all()) {
    const Standing standing = m.standing();
    if (m.linked || standing == Standing::kAlive || standing == Standing::kSuspect)
      eligible.push_back(m.name);
  }
  const std::string name = round_.next(dueSuspect(nowMs), eligible);
  probe_ = {};
  if (name.empty()) return;
  Member& m = *table_.find(name);
  m.askedAtMs = nowMs;
  probe_ = {MemberProbe::Phase::kDirect, name, ++numbers_, nowMs};
  probe_.directByMs = nowMs + tuning_.replyMs * stretch();
  probe_.endsAtMs = nowMs + 3 * tuning_.replyMs * stretch();
  if (m.linked) {
    ask(name, "", "", probe_.number);
  } else {
    askThirds(nowMs);
  }
}

void Members::askThirds(double nowMs) {
  probe_.phase = MemberProbe::Phase::kThirds;
  probe_.endsAtMs = std::max(probe_.endsAtMs, nowMs + 2 * tuning_.replyMs * stretch());
  // Where few links to it are left, the one that worked is not left to chance.
  std::vector<std::string> linked = thirdsFor(probe_.about, true), thirds;
  const std::string& via = table_.find(probe_.about)->via;
  if (std::erase(linked, via) > 0) thirds.push_back(via);
  for (std::string& third :
       round_.draw(std::move(linked), static_cast<std::size_t>(std::max(0, tuning_.thirds)))) {
    if (std::ssize(thirds) < tuning_.thirds) thirds.push_back(std::move(third));
  }
  probe_.thirds = static_cast<int>(thirds.size());
  for (const std::string& third : thirds) ask(third, probe_.about, "", probe_.number);
}

// Nobody is suspected on one relay's word: of those asked, one at least must say that it did not reach it
// either. Where none of them says anything, it is we who may be cut off.
void Members::judge(double nowMs) {
  const MemberProbe probe = std::exchange(probe_, {});
  if (probe.missed < probe.thirds) ill(1);
  const bool alone = thirdsFor(probe.about, false).empty();
  if (probe.missed == 0 && !alone) return;
  Member& m = *table_.find(probe.about);
  if (m.heardAtMs < probe.askedAtMs) m.heard = false;
  m.hears = Hears::kNotKnown;
  m.via.clear();
  const MemberLife* life = m.present();
  if (life == nullptr) return;
  MemberNews news = MemberTable::newsOf(m.name, *life);
  if (life->standing == Standing::kAlive) {
    news.standing = Standing::kSuspect;
  } else if (life->standing == Standing::kSuspect &&
             probe.askedAtMs >= life->suspectSinceMs + spanMs() * stretch()) {
    news.standing = Standing::kDead;
  }
  believe(nowMs, m, news);
}

void Members::askToCatchUp() {
  std::vector<std::string> silent;
  for (const Member& m : table_.all()) {
    if (m.linked && m.answered < awakeFrom_) silent.push_back(m.name);
  }
  const auto drawn = round_.draw(silent, static_cast<std::size_t>(std::max(0, tuning_.catchUp)));
  for (const std::string& name : drawn) ask(name, "", "", ++numbers_);
  asked_ = static_cast<int>(drawn.size());
}

std::uint32_t Members::heardMsAgo(double nowMs, const std::string& name) const {
  const Member* m = table_.find(name);
  if (m == nullptr || !m->linked) return kNeverHeard;
  const double ago = nowMs - m->heardAtMs;
  return ago < kNeverHeard ? static_cast<std::uint32_t>(ago) : kNeverHeard;
}

Members::Step Members::onQuestion(double nowMs, const std::string& from, const MemberQuestion& question) {
  begin(nowMs);
  if (!takeFrom(nowMs, from, question.news)) return finish(nowMs);
  if (question.about.empty() || question.about == own_.name) {
    const std::string& wants = question.behalf.empty() ? from : question.behalf;
    reply(from, question.number, true, heardMsAgo(nowMs, wants), "");
    return finish(nowMs);
  }
  const Member* about = table_.find(question.about);
  if (about == nullptr || !about->linked || forOthers_.full()) {
    reply(from, question.number, false, kNeverHeard, question.about);
    return finish(nowMs);
  }
  const std::uint64_t ours = ++numbers_;
  forOthers_.add({from, question.number, ours, question.about, nowMs + tuning_.replyMs});
  ask(question.about, "", from, ours);
  return finish(nowMs);
}

Members::Step Members::onReply(double nowMs, const std::string& from, const MemberReply& reply) {
  begin(nowMs);
  // A number that was never given out is no reply.
  if (reply.number == 0 || reply.number > numbers_ || !takeFrom(nowMs, from, reply.news)) {
    return finish(nowMs);
  }
  Member& m = *table_.find(from);
  m.answered = std::max(m.answered, reply.number);
  repliedAtMs_ = nowMs;
  if (const auto question = forOthers_.answered(from, reply.number)) {
    this->reply(question->from, question->theirs, true, reply.heardMsAgo, question->about);
  }
  if (reply.number != probe_.number || probe_.phase == MemberProbe::Phase::kNone) return finish(nowMs);
  if (from == probe_.about) {
    if (probe_.running()) ill(-1);
    probe_.phase = MemberProbe::Phase::kReached;
    m.hears = Hears::kYes;
  } else if (probe_.phase == MemberProbe::Phase::kThirds) {
    if (!reply.reached) {
      probe_.missed = std::min(probe_.missed + 1, probe_.thirds);
    } else {
      probe_.phase = MemberProbe::Phase::kReached;
      if (Member* about = table_.find(probe_.about)) {
        about->via = from;
        learnHears(nowMs, *about, reply.heardMsAgo);
      }
    }
  }
  return finish(nowMs);
}

// A third reached it, we did not. If it has heard us since we asked, its reply is what is lost.
void Members::learnHears(double nowMs, Member& about, std::uint32_t heardMsAgo) {
  const bool hears = about.linked && heardMsAgo <= nowMs - probe_.askedAtMs;
  about.hears = hears ? Hears::kYes : Hears::kNo;
  // In so long it would have asked us by itself.
  const double turnsMs = 2.0 * (static_cast<double>(table_.size()) + 1) * tuning_.periodMs * stretch();
  const double since = hears ? probe_.askedAtMs : nowMs - turnsMs;
  if (about.heardAtMs < since) about.heard = false;
}

bool Members::onMessage(double nowMs, const std::string& from, FleetKind kind, std::string_view payload,
                        Step& step) {
  if (kind == FleetKind::kQuestion) {
    MemberQuestion question;
    if (!decodeMembers(payload, question)) return false;
    step = onQuestion(nowMs, from, question);
    return true;
  }
  MemberReply reply;
  if (kind != FleetKind::kReply || !decodeMembers(payload, reply)) return false;
  step = onReply(nowMs, from, reply);
  return true;
}

}  // namespace myrtleloft
