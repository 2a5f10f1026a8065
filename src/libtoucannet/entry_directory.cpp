#include <random>
#include <toucan/entry_directory.h>

namespace toucan {
namespace {

using json = nlohmann::json;

constexpr const char *peerField = "peer";

// Reads the list; nullopt after a failure that was logged and waited for.
std::optional<std::vector<endpoint>> readList(platform_client &client, const store_access &store,
    const std::string &kind, retry_pause &pause, const std::stop_token &stop)
{
    countCall(store, "list");
    const auto listed = client.list(kind, true);
    const auto *all = valueOf(listed);
    if (!all) {
        pauseAfterFailure(store, pause, "list " + kind, *errorOf(listed), stop);
        return std::nullopt;
    }
    std::vector<endpoint> peers;
    for (const auto &object : all->objects) {
        const auto text = object.body.is_object() ? object.body.value(peerField, json()) : json();
        const auto peer = text.is_string() ? parseEndpoint(text.get<std::string>()) : std::nullopt;
        if (peer)
            peers.push_back(*peer);
    }
    return peers;
}

// One try to make the record stand; true when it does.
result<bool> writeRecord(platform_client &client, const store_access &store,
    const std::string &kind, const directory_entry &self)
{
    const json record{{peerField, toString(self.peer)}};
    countCall(store, "put");
    const auto created = client.put(kind, self.name, record, 0);
    if (valueOf(created))
        return true;
    const auto kindOfFailure = errorOf(created)->kind;
    if (kindOfFailure != error_kind::conflict && kindOfFailure != error_kind::write_uncertain)
        return *errorOf(created);
    // A record of an earlier start, or of this one after a lost answer.
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

entry_registration::entry_registration(
    store_access access, std::string kind, directory_entry self, directory_handler onList)
    : m_store(access)
    , m_kind(std::move(kind))
    , m_self(std::move(self))
    , m_handler(std::move(onList))
    , m_client(m_store.address, m_store.timeout, m_store.dialect)
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{ }

entry_registration::~entry_registration()
{
    m_thread.request_stop();
    m_client.cancel();
}

void entry_registration::run(const std::stop_token &stop)
{
    retry_pause pause(std::random_device{}());
    while (!stop.stop_requested()) {
        const auto outcome = writeRecord(m_client, m_store, m_kind, m_self);
        if (valueOf(outcome))
            break;
        if (!pauseAfterFailure(m_store, pause, "put " + m_kind, *errorOf(outcome), stop))
            return;
    }
    pause.reset();
    while (!stop.stop_requested()) {
        if (auto peers = readList(m_client, m_store, m_kind, pause, stop)) {
            m_handler(std::move(*peers));
            return;
        }
    }
}

directory_lookup::directory_lookup(store_access access, std::string kind, directory_handler onList)
    : m_store(access)
    , m_kind(std::move(kind))
    , m_handler(std::move(onList))
    , m_client(m_store.address, m_store.timeout, m_store.dialect)
    , m_thread([this](const std::stop_token &stop) {
        retry_pause pause(std::random_device{}());
        while (!stop.stop_requested()) {
            if (auto peers = readList(m_client, m_store, m_kind, pause, stop)) {
                m_handler(std::move(*peers));
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
