#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <platform/adapter.h>
#include <toucan/lab/relay_soak.h>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;

// Longest life of a fault that ends by itself.
constexpr auto shortFault = 300ms;
constexpr auto longFault = 3000ms;
constexpr auto coldTime = 2000ms;
// A target that leaves serves on for the platform's bound and a little longer.
constexpr auto leavesAfter = 6500ms;
// From a target's last report to its end.
constexpr auto latestEnd = 2500ms;
// Between the steps of planned work.
constexpr auto shortStep = 100ms;
constexpr auto longStep = 1200ms;

} // namespace

const std::vector<relay_soak::fault> relay_soak::faultTable{
    {"kill an entry", &relay_soak::killEntry},
    {"kill a target's process", &relay_soak::killTargetProgram},
    {"stop and continue an entry", &relay_soak::freezeEntry},
    {"stop and continue a target's process", &relay_soak::freezeTargetProgram},
    {"restart an entry", &relay_soak::terminateEntry},
    {"restart a target's process", &relay_soak::terminateTargetProgram},
    {"crash a target", &relay_soak::crashTarget}, {"silence a target", &relay_soak::silenceTarget},
    {"replace a target", &relay_soak::replaceTarget}, {"harm a link", &relay_soak::harmLink},
    {"harm the store", &relay_soak::harmStore},
    {"drop the store's history", &relay_soak::forgetHistory},
    {"part a VM from the store", &relay_soak::cutStoreOfOne},
    {"take a domain out or in", &relay_soak::moveDomain}, {"move a route", &relay_soak::moveRoute},
    {"reload settings", &relay_soak::reloadSettings}, {"add an entry", &relay_soak::addEntry},
    {"restore the store", &relay_soak::restoreStore}};

// Planned work comes in series that overlap; most faults are left to the other table.
const std::vector<relay_soak::fault> relay_soak::plannedTable{
    {"replace targets", &relay_soak::replaceTargets},
    {"replace targets", &relay_soak::replaceTargets},
    {"restart entries", &relay_soak::restartEntries},
    {"restart targets' processes", &relay_soak::restartTargetPrograms},
    {"add entries", &relay_soak::addEntries}, {"move a route", &relay_soak::moveRoute},
    {"take a domain out or in", &relay_soak::moveDomain}, {"harm a link", &relay_soak::harmLink}};

void relay_soak::note(const std::string &text)
{
    m_result.faults.push_back(fmt::format(
        "{:.3f} s: {}", std::chrono::duration<double>(m_now - m_started).count(), text));
}

void relay_soak::nextFault()
{
    if (m_faultsOver)
        return;
    // The last one is optional, so that older seeds play what they played.
    const auto &chosen = m_options.planned
        ? plannedTable[pick(plannedTable.size())]
        : faultTable[pick(faultTable.size() - (m_options.restores ? 0 : 1))];
    if (!(this->*chosen.begin)())
        note(fmt::format("{}: does not fit now", chosen.name));
    after(pickTime(m_options.faultInterval / 3, m_options.faultInterval * 5 / 3),
        [this] { nextFault(); });
}

relay_soak::vm *relay_soak::freeVm(bool isEntry)
{
    std::vector<vm *> free;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        auto &item = *m_vms[i];
        const bool used = isEntry ? i < m_entryCount : i >= m_options.entries + spareEntries;
        if (used && item.wanted && !item.signalled && m_disturbed.isFree(item.name))
            free.push_back(&item);
    }
    return free.empty() ? nullptr : free[pick(free.size())];
}

soak_target *relay_soak::freeTarget()
{
    std::vector<soak_target *> free;
    for (const auto &target : m_targets) {
        if (target->end().isRunning() && !target->confirmed()
            && m_disturbed.isFree(target->options().vm))
            free.push_back(target.get());
    }
    return free.empty() ? nullptr : free[pick(free.size())];
}

void relay_soak::disturb(
    const std::string &name, std::chrono::milliseconds time, const std::function<void()> &end)
{
    m_disturbed.begin(name);
    after(time, [this, name, end] {
        end();
        m_disturbed.end(m_now, name);
    });
}

bool relay_soak::killProgram(bool isEntry)
{
    auto *item = freeVm(isEntry);
    if (!item)
        return false;
    const auto time = pickTime(shortFault, longFault);
    note(fmt::format("kill {} for {} ms", item->name, time.count()));
    stopProgram(*item, SIGKILL);
    disturb(item->name, time, [this, item] { startProgram(*item); });
    return true;
}

bool relay_soak::freezeProgram(bool isEntry)
{
    auto *item = freeVm(isEntry);
    if (!item)
        return false;
    const auto time = pickTime(shortFault, longFault);
    note(fmt::format("stop {} for {} ms", item->name, time.count()));
    item->process->signal(SIGSTOP);
    disturb(item->name, time, [item] { item->process->signal(SIGCONT); });
    return true;
}

// Planned work: not a disturbance that excuses anything.
bool relay_soak::terminateProgram(bool isEntry)
{
    auto *item = freeVm(isEntry);
    if (!item)
        return false;
    note(fmt::format("restart {}", item->name));
    item->signalled = m_now;
    item->process->signal(SIGTERM);
    return true;
}

bool relay_soak::crashTarget()
{
    auto *target = freeTarget();
    if (!target)
        return false;
    const auto time = pickTime(shortFault, longFault / 2);
    note(fmt::format("crash {} for {} ms", target->options().name, time.count()));
    target->crash();
    m_targetsChanged = true;
    disturb(target->options().vm, time, [this, target] {
        target->start(m_now, coldTime);
        m_targetsChanged = true;
    });
    return true;
}

bool relay_soak::silenceTarget()
{
    auto *target = freeTarget();
    if (!target)
        return false;
    const auto time = pickTime(shortFault, longFault);
    note(fmt::format("silence {} for {} ms", target->options().name, time.count()));
    target->setSilent(true);
    disturb(target->options().vm, time, [target] { target->setSilent(false); });
    return true;
}

// Planned work, but the flows that are left are lost with the target.
bool relay_soak::replaceTarget()
{
    auto *target = freeTarget();
    if (!target)
        return false;
    replace(*target, {});
    return true;
}

void relay_soak::replace(soak_target &target, std::chrono::milliseconds endsAfter)
{
    note(fmt::format("replace {}, which ends {} ms after its last report", target.options().name,
        endsAfter.count()));
    target.drain();
    after(leavesAfter, [this, &target, endsAfter] {
        if (!target.end().isRunning())
            return;
        target.sayGoodbye();
        after(endsAfter, [this, &target] {
            target.crash();
            m_targetsChanged = true;
            after(pickTime(shortFault, longFault), [this, &target] {
                if (target.end().isRunning())
                    return;
                target.start(m_now, coldTime);
                m_targetsChanged = true;
            });
        });
    });
}

bool relay_soak::replaceTargets()
{
    const auto count = 1 + pick(std::max<std::size_t>(m_targets.size() / 4, 1));
    for (std::size_t i = 0; i < count; ++i)
        after(i * pickTime(shortStep, longStep), [this] {
            if (auto *target = freeTarget())
                replace(*target, pickTime(0ms, latestEnd));
        });
    return true;
}

bool relay_soak::restartSeries(bool isEntry)
{
    const auto count = 1 + pick(isEntry ? std::max<std::size_t>(m_entryCount / 2, 1) : 3);
    for (std::size_t i = 0; i < count; ++i)
        after(i * pickTime(shortStep, longStep), [this, isEntry] { terminateProgram(isEntry); });
    return true;
}

bool relay_soak::addEntries()
{
    bool added = false;
    while (addEntry())
        added = true;
    return added;
}

bool relay_soak::harmLink()
{
    auto *left = freeVm(true);
    auto *right = freeVm(pick(3) == 0);
    if (!left || !right || left == right)
        return false;
    if (pick(2) == 0)
        std::swap(left, right);
    const std::array<link_faults, 3> kinds{link_faults{.cut = true},
        link_faults{.drop = 0.3, .delay = 20ms, .jitter = 200ms},
        link_faults{.duplicate = 0.5, .jitter = 5ms, .duplicateDelay = 300ms}};
    const auto kind = pick(kinds.size());
    const auto time = pickTime(shortFault, longFault);
    note(fmt::format("harm the way from {} to {} for {} ms, kind {}", left->name, right->name,
        time.count(), kind));
    m_switch->setRule(left->name, right->name, kinds[kind]);
    disturb(
        left->name, time, [this, left, right] { m_switch->setRule(left->name, right->name, {}); });
    disturb(right->name, time, [] {});
    return true;
}

bool relay_soak::harmStore()
{
    if (!m_disturbed.isFree("store"))
        return false;
    const std::array<platform_faults, 5> kinds{platform_faults{.down = true},
        platform_faults{.delay = 400ms}, platform_faults{.loseWriteAnswers = true},
        platform_faults{.deafWatches = true}, platform_faults{.busy = true}};
    const auto kind = pick(kinds.size());
    const auto time = pickTime(shortFault, longFault * 2);
    note(fmt::format("harm the store for {} ms, kind {}", time.count(), kind));
    m_store->setFaults(kinds[kind]);
    disturb("store", time, [this] {
        m_store->forgetHistory();
        m_store->setFaults({});
    });
    return true;
}

bool relay_soak::forgetHistory()
{
    note("drop the store's history");
    m_store->forgetHistory();
    return true;
}

bool relay_soak::cutStoreOfOne()
{
    auto *item = freeVm(true);
    if (!item)
        return false;
    const bool silent = pick(2) == 0;
    const auto time = pickTime(shortFault, longFault * 2);
    note(fmt::format("{} {}'s way to the store for {} ms", silent ? "silence" : "cut", item->name,
        time.count()));
    silent ? item->store->setSilent(true) : item->store->setCut(true);
    disturb(item->name, time, [item] {
        item->store->setSilent(false);
        item->store->setCut(false);
    });
    return true;
}

// Away for a moment and back from a copy some seconds old; then the operators write again what it
// lacks, and a little of what it has.
bool relay_soak::restoreStore()
{
    if (!m_disturbed.isFree("store") || !m_disturbed.isFree("operator"))
        return false;
    constexpr auto oldestCopy = 10s;
    static constexpr auto margin = 500ms;
    const auto away = pickTime(0ms, longFault / 2);
    const auto age = pickTime(0ms, oldestCopy);
    const auto pause = pickTime(50ms, longFault / 3);
    note(fmt::format(
        "the store is away for {} ms and comes back {} ms older, writes follow each {} ms",
        away.count(), age.count(), pause.count()));
    m_store->setFaults({.down = true});
    m_disturbed.begin("store");
    m_disturbed.begin("operator");
    after(away, [this, age, pause] {
        std::vector<std::function<void()>> writes;
        for (const auto &item : m_operatorWrites) {
            if (item.at > m_now - age - margin)
                writes.push_back(item.make);
        }
        m_store->restore(age);
        m_store->setFaults({});
        repeatWrites(std::move(writes), pause);
    });
    return true;
}

void relay_soak::repeatWrites(
    std::vector<std::function<void()>> writes, std::chrono::milliseconds pause)
{
    if (writes.empty()) {
        m_disturbed.end(m_now, "store");
        m_disturbed.end(m_now, "operator");
        return;
    }
    after(pause, [this, pause, rest = std::move(writes)]() mutable {
        rest.front()();
        rest.erase(rest.begin());
        repeatWrites(std::move(rest), pause);
    });
}

void relay_soak::writeAsOperator(std::function<void()> write)
{
    write();
    m_operatorWrites.push_back({.at = m_now, .make = std::move(write)});
}

bool relay_soak::moveDomain()
{
    if (!m_disturbed.isFree("operator"))
        return false;
    const auto kind = std::string(platform::adapter().kinds.domainsOut);
    note(m_domainOutSince ? "take domain b in" : "take domain b out");
    if (m_domainOutSince) {
        m_domainOutSince.reset();
        writeAsOperator([this, kind] { m_store->remove(kind, "b", std::nullopt); });
    } else {
        m_domainOutSince = m_now;
        writeAsOperator(
            [this, kind] { m_store->put(kind, "b", nlohmann::json::object(), std::nullopt); });
    }
    return true;
}

bool relay_soak::moveRoute()
{
    if (!m_disturbed.isFree("operator"))
        return false;
    m_routeMoved = !m_routeMoved;
    m_routeMovedAt = m_now;
    note(fmt::format("move the second route to the {} service", m_routeMoved ? "first" : "second"));
    publishConfig();
    return true;
}

bool relay_soak::reloadSettings()
{
    auto *item = freeVm(pick(2) == 0);
    if (!item)
        return false;
    note(fmt::format("reload the settings of {}", item->name));
    std::ofstream(m_directory / (item->name + ".ini")) << settingsOf(*item);
    if (pick(2) == 0)
        item->process->signal(SIGHUP);
    return true;
}

bool relay_soak::addEntry()
{
    if (m_entryCount == m_options.entries + spareEntries)
        return false;
    auto &added = *m_vms[m_entryCount];
    note("add " + added.name);
    startProgram(added);
    ++m_entryCount;
    return true;
}

} // namespace toucan::lab
