#include <algorithm>
#include <toucan/entry_directory.h>
#include <toucan/udp_socket.h>

namespace toucan {
namespace {

using json = nlohmann::json;

constexpr const char *peerField = "peer";
constexpr const char *controlField = "control";
constexpr const char *domainField = "domain";

std::optional<endpoint> readAddress(const json &record, const char *field)
{
    const auto text = record.is_object() ? record.value(field, json()) : json();
    return text.is_string() ? parseEndpoint(text.get<std::string>()) : std::nullopt;
}

std::string readText(const json &record, const char *field)
{
    const auto text = record.is_object() ? record.value(field, json()) : json();
    return text.is_string() ? text.get<std::string>() : std::string();
}

// Reads the list; after a failure, logs it, waits for the backoff and returns nullopt.
std::optional<std::vector<listed_entry>> readList(platform_client &client,
    const store_access &store, const std::string &kind, retry_backoff &backoff,
    const std::stop_token &stop)
{
    countCall(store, "list");
    const auto listed = client.list(kind, true);
    const auto *all = valueOf(listed);
    if (!all) {
        pauseAfterFailure(store, backoff, "list " + kind, *errorOf(listed), stop);
        return std::nullopt;
    }
    std::vector<listed_entry> records;
    for (const auto &object : all->objects) {
        if (const auto peer = readAddress(object.body, peerField))
            records.push_back({.name = object.name,
                .peer = *peer,
                .control = readAddress(object.body, controlField).value_or(endpoint{}),
                .domain = readText(object.body, domainField),
                .version = object.version});
    }
    return records;
}

std::vector<entry_place> placesOf(std::span<const listed_entry> records)
{
    std::vector<entry_place> places(records.size());
    std::ranges::transform(records, places.begin(), [](const listed_entry &record) {
        return entry_place{.address = record.peer, .domain = record.domain};
    });
    return places;
}

json recordOf(const directory_entry &self)
{
    return {{peerField, toString(self.peer)}, {controlField, toString(self.control)},
        {domainField, self.domain}};
}

// Makes one attempt to store the record; true when the store has it.
result<bool> tryWriteRecord(platform_client &client, const store_access &store,
    const std::string &kind, const directory_entry &self)
{
    const auto record = recordOf(self);
    countCall(store, "put");
    const auto created = client.put(kind, self.name, record, 0);
    if (valueOf(created))
        return true;
    const auto kindOfFailure = errorOf(created)->kind;
    if (kindOfFailure != error_kind::conflict && kindOfFailure != error_kind::write_uncertain)
        return *errorOf(created);
    // The record is from an earlier start, or from this one when the answer was lost.
    countCall(store, "get");
    const auto existing = client.get(kind, self.name);
    const auto *object = valueOf(existing);
    if (!object)
        return *errorOf(existing);
    if (object->body == record)
        return true;
    countCall(store, "put");
    const auto replaced = client.put(kind, self.name, record, object->version);
    if (valueOf(replaced))
        return true;
    return *errorOf(replaced);
}

} // namespace

result<std::vector<directory_entry>> readDirectory(platform_client &client, std::string_view kind)
{
    const auto listed = client.list(kind);
    const auto *all = valueOf(listed);
    if (!all)
        return *errorOf(listed);
    std::vector<directory_entry> entries;
    for (const auto &object : all->objects) {
        const auto peer = readAddress(object.body, peerField);
        const auto control = readAddress(object.body, controlField);
        if (peer && control)
            entries.push_back({.name = object.name, .peer = *peer, .control = *control});
    }
    return entries;
}

entry_registration::entry_registration(store_access access, std::string kind, directory_entry self,
    directory_handler onList, directory_timing timing)
    : m_store(access)
    , m_kind(std::move(kind))
    , m_self(std::move(self))
    , m_handler(std::move(onList))
    , m_timing(timing)
    , m_client(m_store.address, m_store.timeout, m_store.dialect, &m_store.era)
    , m_census(m_self.name)
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{ }

entry_registration::~entry_registration()
{
    m_thread.request_stop();
    m_client.cancel();
}

void entry_registration::recordAlive(std::span<const endpoint> peers)
{
    const std::lock_guard lock(m_mutex);
    m_census.recordAlive(peers);
}

void entry_registration::run(const std::stop_token &stop)
{
    retry_backoff backoff(std::random_device{}());
    // Jitter, so that entries that started together do not keep reading at the same time.
    std::uniform_int_distribution<std::int64_t> jitter(0, m_timing.interval.count() / 4);
    while (!stop.stop_requested()) {
        auto records = readList(m_client, m_store, m_kind, backoff, stop);
        if (!records)
            continue;
        backoff.reset();
        const auto era = m_client.era();
        if (!ensureRecord(stop, *records))
            return;
        runRound(stop, std::move(*records), era);
        const auto time = m_timing.interval - std::chrono::milliseconds(jitter(m_random));
        while (!waitFullTime(stop, time) && !stop.stop_requested())
            checkRecord(stop);
    }
}

void entry_registration::observeEra(std::uint64_t era)
{
    {
        const std::lock_guard lock(m_mutex);
        if (era <= m_era)
            return;
        m_isCheckDue = m_isCheckDue || m_era != 0;
        m_era = era;
    }
    m_wake.notify_all();
}

// False when the thread is to stop, or a check of the record becomes due within the time.
bool entry_registration::waitFullTime(const std::stop_token &stop, std::chrono::milliseconds time)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, stop, time, [&] { return m_isCheckDue; });
    return !m_isCheckDue && !stop.stop_requested();
}

// All entries detect a restored store at about the same time; a random delay spreads their calls.
void entry_registration::checkRecord(const std::stop_token &stop)
{
    std::uint64_t era = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_isCheckDue = false;
        era = m_era;
    }
    const auto spread = m_timing.checkSpread * static_cast<std::int64_t>(m_listedEntries);
    std::uniform_int_distribution<std::int64_t> delay(0, spread.count());
    if (!pauseThread(stop, std::chrono::milliseconds(delay(m_random))))
        return;
    retry_backoff backoff(std::random_device{}());
    while (!stop.stop_requested()) {
        countCall(m_store, "get");
        const auto found = m_client.get(m_kind, m_self.name);
        const auto *object = valueOf(found);
        const bool isGone = !object && errorOf(found)->kind == error_kind::not_found;
        const bool isCurrentEra = m_client.era() == 0 || m_client.era() >= era;
        if (!isCurrentEra || (!object && !isGone)) {
            const error earlierEra{
                error_kind::platform_unavailable, "the answer is of an earlier era"};
            pauseAfterFailure(m_store, backoff, "get " + m_kind,
                isCurrentEra ? *errorOf(found) : earlierEra, stop);
            continue;
        }
        const bool isPresent = object && object->body == recordOf(m_self);
        if (!isPresent && !writeWithRetries(stop, backoff))
            return;
        m_store.log.write(monotonicNow(),
            directory_record_checked{
                .name = m_self.name, .outcome = isPresent ? "stands" : "written again"});
        return;
    }
}

// Passes on the list at once, since a starting entry has no peers yet, and writes the own record
// unless the list has it already, as after most restarts.
bool entry_registration::ensureRecord(
    const std::stop_token &stop, std::span<const listed_entry> records)
{
    auto places = placesOf(records);
    m_handler(places);
    if (isListed(records,
            {.name = m_self.name,
                .peer = m_self.peer,
                .control = m_self.control,
                .domain = m_self.domain}))
        return true;
    retry_backoff backoff(std::random_device{}());
    if (!writeWithRetries(stop, backoff))
        return false;
    places.push_back({.address = m_self.peer, .domain = m_self.domain});
    m_handler(std::move(places));
    return true;
}

// Retries until the store has the record; false when the thread is to stop.
bool entry_registration::writeWithRetries(const std::stop_token &stop, retry_backoff &backoff)
{
    while (!stop.stop_requested()) {
        const auto outcome = tryWriteRecord(m_client, m_store, m_kind, m_self);
        if (valueOf(outcome)) {
            backoff.reset();
            return true;
        }
        if (!pauseAfterFailure(m_store, backoff, "put " + m_kind, *errorOf(outcome), stop))
            return false;
    }
    return false;
}

void entry_registration::runRound(
    const std::stop_token &stop, std::vector<listed_entry> records, std::uint64_t era)
{
    m_listedEntries = std::max<std::size_t>(records.size(), 1);
    {
        // This entry does not receive messages from all entries of other failure domains.
        std::erase_if(records, [&](const auto &record) { return record.domain != m_self.domain; });
        const std::lock_guard lock(m_mutex);
        if (std::exchange(m_censusEra, era) != era)
            m_census.forgetRounds();
        m_census.begin(std::move(records));
    }
    m_collectingAnswers = true;
    const bool completed = waitFullTime(stop, m_timing.answerTime);
    m_collectingAnswers = false;
    if (!completed)
        return;
    census_finding found;
    {
        const std::lock_guard lock(m_mutex);
        found = m_census.conclude();
    }
    // After the era increases, the store reuses the versions of records that were read before.
    for (const auto &record : found.gone) {
        if (m_store.era.current() == era)
            remove(record, found);
    }
}

// The removal fails when another entry was first or the record has changed; it is not retried.
void entry_registration::remove(const listed_entry &record, const census_finding &found)
{
    countCall(m_store, "remove");
    const auto outcome = m_client.remove(m_kind, record.name, record.version);
    if (const auto *failure = errorOf(outcome)) {
        m_store.log.write(monotonicNow(),
            store_call_failed{.call = "remove " + m_kind,
                .error = std::string(errorInfo(failure->kind).name) + ": " + failure->detail});
        return;
    }
    m_store.log.write(monotonicNow(),
        directory_record_removed{.name = record.name,
            .peer = record.peer,
            .revision = record.version,
            .heard = found.alive,
            .listed = found.listed});
}

directory_lookup::directory_lookup(store_access access, std::string kind, directory_handler onList)
    : m_store(access)
    , m_kind(std::move(kind))
    , m_handler(std::move(onList))
    , m_client(m_store.address, m_store.timeout, m_store.dialect, &m_store.era)
    , m_thread([this](const std::stop_token &stop) {
        retry_backoff backoff(std::random_device{}());
        while (!stop.stop_requested()) {
            if (const auto records = readList(m_client, m_store, m_kind, backoff, stop)) {
                m_handler(placesOf(*records));
                return;
            }
        }
    })
{ }

directory_lookup::~directory_lookup()
{
    m_thread.request_stop();
    m_client.cancel();
}

} // namespace toucan
