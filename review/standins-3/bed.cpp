#include "bed.h"

#include <sys/prctl.h>

namespace bed {
namespace {

constexpr std::size_t headSize = 36;
constexpr std::uint64_t sumKey = 0x9e3779b97f4a7c15ULL;

void write16(std::string &out, std::size_t at, std::uint16_t value)
{
    out[at] = static_cast<char>(value >> 8U);
    out[at + 1] = static_cast<char>(value);
}

void write32(std::string &out, std::size_t at, std::uint32_t value)
{
    write16(out, at, static_cast<std::uint16_t>(value >> 16U));
    write16(out, at + 2, static_cast<std::uint16_t>(value));
}

std::uint16_t read16(std::string_view in, std::size_t at)
{
    return static_cast<std::uint16_t>(
        static_cast<std::uint8_t>(in[at]) << 8U | static_cast<std::uint8_t>(in[at + 1]));
}

std::uint32_t read32(std::string_view in, std::size_t at)
{
    return static_cast<std::uint32_t>(read16(in, at)) << 16U | read16(in, at + 2);
}

// Over all fields but echo, pad and the flag BOUNCED.
std::uint32_t sumOf(std::string_view bytes)
{
    std::uint64_t hash = sumKey;
    for (std::size_t i = 4; i < bytes.size(); ++i) {
        if ((i >= 16 && i < 20) || (i >= 21 && i < 26))
            continue;
        auto byte = static_cast<std::uint8_t>(bytes[i]);
        if (i == 20)
            byte = static_cast<std::uint8_t>(byte & ~bouncedFlag);
        hash = (hash ^ byte) * 1099511628211ULL;
    }
    return static_cast<std::uint32_t>(hash >> 32U) | 1U;
}

sockaddr_in address(std::uint32_t ip, std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(ip);
    out.sin_port = htons(port);
    return out;
}

[[noreturn]] void cannotRun(const std::string &why)
{
    std::fprintf(stderr, "the case could not run: %s: %s\n", why.c_str(), std::strerror(errno));
    std::exit(2);
}

int bound(int type, std::uint32_t ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    if (type == SOCK_STREAM)
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const int room = 4 << 20;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
    const auto at = address(ip, port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) < 0)
        cannotRun("bind " + ipText(ip) + ':' + std::to_string(port));
    if (type == SOCK_STREAM && ::listen(fd, 128) < 0)
        cannotRun("listen");
    return fd;
}

bool isUsed(std::uint32_t ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = address(ip, port);
    const bool used = ::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) < 0;
    ::close(fd);
    return used;
}

void sendTo(int fd, std::uint32_t ip, std::uint16_t port, const std::string &bytes)
{
    const auto to = address(ip, port);
    for (int tries = 0; tries < 2; ++tries) {
        // The first call may report the refusal of an earlier datagram.
        if (::sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                reinterpret_cast<const sockaddr *>(&to), sizeof(to))
            >= 0)
            return;
    }
}

std::optional<std::string> receive(int fd)
{
    char buffer[4096];
    const auto size = ::recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    return size < 0 ? std::nullopt : std::optional(std::string(buffer, static_cast<std::size_t>(size)));
}

// The text of a member of a JSON object; empty when there is none.
std::string member(std::string_view object, std::string_view name)
{
    int depth = 0;
    bool inString = false;
    std::size_t stringAt = 0;
    std::string key;
    std::size_t valueAt = 0;
    bool hasValue = false;
    const auto take = [&](std::size_t end) -> std::optional<std::string> {
        if (!hasValue || key != name)
            return std::nullopt;
        auto text = object.substr(valueAt, end - valueAt);
        while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())))
            text.remove_prefix(1);
        return std::string(text);
    };
    for (std::size_t i = 0; i < object.size(); ++i) {
        const char c = object[i];
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"') {
                inString = false;
                if (depth == 1 && !hasValue)
                    key = object.substr(stringAt, i - stringAt);
            }
        } else if (c == '"') {
            inString = true;
            stringAt = i + 1;
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if (c == '}' || c == ']') {
            if (depth == 1)
                if (auto found = take(i))
                    return *found;
            --depth;
        } else if (c == ':' && depth == 1 && !hasValue) {
            hasValue = true;
            valueAt = i + 1;
        } else if (c == ',' && depth == 1) {
            if (auto found = take(i))
                return *found;
            hasValue = false;
        }
    }
    return {};
}

std::string unquoted(std::string text)
{
    if (text.size() >= 2 && text.front() == '"')
        return text.substr(1, text.size() - 2);
    return text;
}

std::string unescaped(std::string_view path)
{
    std::string out;
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (path[i] == '%' && i + 2 < path.size()) {
            out += static_cast<char>(std::stoi(std::string(path.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            out += path[i];
        }
    }
    return out;
}

std::string header(std::string_view head, std::string_view name)
{
    std::string lower(head);
    std::ranges::transform(lower, lower.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto at = lower.find("\r\n" + std::string(name) + ':');
    if (at == std::string::npos)
        return {};
    auto from = at + 3 + name.size();
    while (from < head.size() && head[from] == ' ')
        ++from;
    return std::string(head.substr(from, lower.find("\r\n", from) - from));
}

std::uint64_t flowHash(std::uint32_t ip, std::uint16_t port, std::uint32_t service)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const std::uint64_t part : {std::uint64_t{ip}, std::uint64_t{port}, std::uint64_t{service}})
        hash = (hash ^ part) * 1099511628211ULL;
    return hash ^ hash >> 29U;
}

} // namespace

ms now()
{
    timespec time{};
    ::clock_gettime(CLOCK_MONOTONIC, &time);
    const double value = static_cast<double>(time.tv_sec) * 1000 + static_cast<double>(time.tv_nsec) / 1e6;
    static const double first = value;
    return value - first;
}

std::uint64_t unixMs()
{
    timespec time{};
    ::clock_gettime(CLOCK_REALTIME, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1000 + static_cast<std::uint64_t>(time.tv_nsec) / 1000000;
}

std::string ipText(std::uint32_t ip)
{
    return std::to_string(ip >> 24U) + '.' + std::to_string(ip >> 16U & 255U) + '.'
        + std::to_string(ip >> 8U & 255U) + '.' + std::to_string(ip & 255U);
}

void loop::every(ms interval, action run)
{
    after(interval, [this, interval, run = std::move(run)]() mutable {
        run();
        every(interval, std::move(run));
    });
}

void loop::watch(int fd, short events, std::function<void(short)> handler)
{
    m_fds[fd] = {events, std::move(handler)};
}

void loop::forget(int fd)
{
    m_fds.erase(fd);
}

void loop::runUntil(ms end)
{
    while (now() < end) {
        while (!m_timers.empty() && m_timers.begin()->first <= now()) {
            auto run = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            run();
        }
        ms wait = end - now();
        if (!m_timers.empty())
            wait = std::min(wait, m_timers.begin()->first - now());
        std::vector<pollfd> ready;
        for (const auto &[fd, item] : m_fds)
            ready.push_back({.fd = fd, .events = item.events, .revents = 0});
        ::poll(ready.data(), ready.size(), static_cast<int>(std::clamp(std::ceil(wait), 0.0, 20.0)));
        for (const auto &item : ready) {
            const auto found = m_fds.find(item.fd);
            if (item.revents != 0 && found != m_fds.end()) {
                const auto handler = found->second.handler;
                handler(item.revents);
            }
        }
    }
}

std::string encode(const packet &item, bool signs)
{
    std::string out(headSize, '\0');
    write16(out, 4, item.dport);
    write16(out, 6, item.sport);
    write32(out, 8, item.src);
    write32(out, 12, item.dst);
    out[20] = static_cast<char>(item.flags);
    write16(out, 26, static_cast<std::uint16_t>(item.data.size()));
    write32(out, 28, item.seq);
    write32(out, 32, item.ack);
    out += item.data;
    if (signs)
        write32(out, 0, sumOf(out));
    return out;
}

std::optional<packet> decode(std::string_view bytes, bool &intact)
{
    if (bytes.size() < headSize || read16(bytes, 26) != bytes.size() - headSize)
        return std::nullopt;
    intact = read32(bytes, 0) == sumOf(bytes);
    return packet{.src = read32(bytes, 8),
        .dst = read32(bytes, 12),
        .sport = read16(bytes, 6),
        .dport = read16(bytes, 4),
        .flags = static_cast<std::uint8_t>(bytes[20]),
        .seq = read32(bytes, 28),
        .ack = read32(bytes, 32),
        .data = std::string(bytes.substr(headSize))};
}

void call(loop &on, const http_call &request)
{
    struct state
    {
        int fd = -1;
        std::string out, in;
        bool isDone = false;
    };
    const auto link = std::make_shared<state>();
    link->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    link->out = request.method + ' ' + request.path + " HTTP/1.1\r\nHost: " + ipText(request.ip)
        + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    const auto finish = [&on, link, done = request.done](int status) {
        if (std::exchange(link->isDone, true))
            return;
        on.forget(link->fd);
        ::close(link->fd);
        done(status);
    };
    const auto to = address(request.ip, request.port);
    if (::connect(link->fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) < 0 && errno != EINPROGRESS) {
        on.after(0, [finish] { finish(0); });
        return;
    }
    on.watch(link->fd, POLLOUT, [&on, link, finish](short) {
        if (::send(link->fd, link->out.data(), link->out.size(), MSG_NOSIGNAL) < 0)
            return finish(0);
        on.watch(link->fd, POLLIN, [link, finish](short) {
            char buffer[4096];
            const auto size = ::recv(link->fd, buffer, sizeof(buffer), 0);
            if (size > 0)
                link->in.append(buffer, static_cast<std::size_t>(size));
            if (link->in.find("\r\n\r\n") != std::string::npos)
                return finish(std::atoi(link->in.substr(std::min<std::size_t>(9, link->in.size())).c_str()));
            if (size <= 0)
                finish(0);
        });
    });
    on.after(request.timeout, [finish] { finish(0); });
}

// The store.

store::store(loop &on, std::uint32_t ip)
    : m_loop(on)
    , m_fd(bound(SOCK_STREAM, ip, storePort))
{
    m_loop.watch(m_fd, POLLIN, [this](short) { accept(); });
    m_loop.every(250, [this] {
        m_copies.push_back({now(), m_revision, m_objects});
        if (m_copies.size() > 40)
            m_copies.pop_front();
    });
}

void store::restore(ms copyAge, ms away, action done)
{
    m_isAway = true;
    for (const auto &link : std::set(m_links)) {
        m_loop.forget(link->fd);
        ::close(link->fd);
        link->watch.reset();
        link->isDead = true;
    }
    m_links.clear();
    const auto made = std::ranges::find_if(
        m_copies, [&](const copy &item) { return item.at >= now() - copyAge; });
    m_loop.after(away, [this, item = *made, done = std::move(done)] {
        m_objects = item.objects;
        m_revision = m_oldest = item.revision;
        m_events.clear();
        ++era;
        m_isAway = false;
        done();
    });
}

void store::accept()
{
    const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
        return;
    if (m_isAway) {
        ::close(fd);
        return;
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const auto link = std::make_shared<connection>();
    link->fd = fd;
    m_links.insert(link);
    m_loop.watch(fd, POLLIN, [this, link](short) { read(link); });
}

void store::read(const connection_ptr &link)
{
    char buffer[65536];
    const auto size = ::recv(link->fd, buffer, sizeof(buffer), 0);
    if (size <= 0) {
        if (size < 0 && errno == EAGAIN)
            return;
        m_loop.forget(link->fd);
        ::close(link->fd);
        link->watch.reset();
        m_links.erase(link);
        return;
    }
    if (link->isDead)
        return;
    link->in.append(buffer, static_cast<std::size_t>(size));
    while (true) {
        const auto end = link->in.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        const auto head = link->in.substr(0, end + 2);
        const auto length = static_cast<std::size_t>(std::atoll(header(head, "content-length").c_str()));
        if (link->in.size() < end + 4 + length)
            return;
        const auto body = link->in.substr(end + 4, length);
        link->in.erase(0, end + 4 + length);
        const auto first = head.find(' ');
        const auto second = head.find(' ', first + 1);
        handle(link, head.substr(0, first), head.substr(first + 1, second - first - 1), body);
    }
}

std::string store::text(const std::string &name, const object &item) const
{
    return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(item.revision)
        + ",\"created\":" + std::to_string(item.created) + ",\"finalizers\":" + item.finalizers
        + ",\"deleting\":false},\"spec\":" + item.spec + ",\"status\":" + item.status + '}';
}

std::string store::eventsAfter(const std::string &kind, std::uint64_t revision, bool &any) const
{
    std::string list;
    for (const auto &item : m_events) {
        if (item.revision > revision && item.kind == kind)
            list += (list.empty() ? "" : ",") + item.text;
    }
    any = !list.empty();
    return "{\"events\":[" + list + "],\"currentRev\":" + std::to_string(m_revision) + '}';
}

void store::handle(
    const connection_ptr &link, const std::string &method, std::string path, const std::string &body)
{
    std::map<std::string, std::string> query;
    if (const auto mark = path.find('?'); mark != std::string::npos) {
        std::string rest = path.substr(mark + 1) + '&';
        path.resize(mark);
        for (std::size_t at = 0, end; (end = rest.find('&', at)) != std::string::npos; at = end + 1) {
            const auto term = rest.substr(at, end - at);
            const auto equal = term.find('=');
            if (equal != std::string::npos)
                query[term.substr(0, equal)] = unescaped(term.substr(equal + 1));
        }
    }
    constexpr std::string_view prefix = "/v1/objects/";
    if (!path.starts_with(prefix))
        return answer(link, 404, "{}");
    path.erase(0, prefix.size());
    const auto slash = path.find('/');
    const auto kind = unescaped(path.substr(0, slash));
    auto name = slash == std::string::npos ? std::string() : unescaped(path.substr(slash + 1));
    auto &objects = m_objects[kind];
    if (method == "GET" && query.contains("watch")) {
        const auto from = std::stoull(query["watch"]);
        if (from > m_revision || from < m_oldest)
            return answer(link, 410, "{}");
        bool any = false;
        const auto list = eventsAfter(kind, from, any);
        const auto wait = query.contains("waitMs") ? std::stod(query["waitMs"]) : 0;
        if (any || wait <= 0)
            return answer(link, 200, list);
        link->watch = {kind, from};
        const auto number = link->watchNumber = ++m_watches;
        m_loop.after(wait, [this, link, number, from, kind] {
            if (!link->watch || link->watchNumber != number)
                return;
            link->watch.reset();
            bool any = false;
            answer(link, 200, eventsAfter(kind, from, any));
        });
        return;
    }
    if (method == "GET" && name.empty()) {
        std::string items;
        for (const auto &[each, item] : objects) {
            if (!query.contains("after") || each > query["after"])
                items += (items.empty() ? "" : ",") + text(each, item);
        }
        return answer(link, 200,
            "{\"items\":[" + items + "],\"more\":false,\"currentRev\":" + std::to_string(m_revision) + '}');
    }
    const auto meta = member(body, "meta");
    if (method == "POST") {
        name = unquoted(member(meta, "name"));
        if (const auto found = objects.find(name); found != objects.end())
            return answer(link, 409, text(name, found->second));
        auto &item = objects[name];
        item.revision = item.created = ++m_revision;
        item.spec = member(body, "spec");
        change(kind, name, item, false);
        return answer(link, 200, text(name, item));
    }
    const auto found = objects.find(name);
    if (found == objects.end())
        return answer(link, 404, "{}");
    const auto stated = query.contains("revision") ? query["revision"] : member(meta, "revision");
    if (method != "GET" && !stated.empty() && std::stoull(stated) != found->second.revision)
        return answer(link, 409, text(name, found->second));
    if (method == "GET")
        return answer(link, 200, text(name, found->second));
    if (method == "DELETE") {
        const auto gone = found->second;
        objects.erase(found);
        ++m_revision;
        change(kind, name, gone, true);
        return answer(link, 200, text(name, gone));
    }
    auto &item = found->second;
    const auto spec = member(body, "spec");
    if (spec != item.spec) {
        item.spec = spec;
        item.revision = ++m_revision;
        change(kind, name, item, false);
    }
    answer(link, 200, text(name, item));
}

void store::answer(const connection_ptr &link, int status, const std::string &body)
{
    if (link->isDead)
        return;
    if (m_loss > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < m_loss) {
        link->isDead = true;
        ++m_lost;
        return;
    }
    const auto eraLine = era == 0 ? std::string() : "Store-Era: " + std::to_string(era) + "\r\n";
    const auto bytes = "HTTP/1.1 " + std::to_string(status) + " x\r\n" + eraLine
        + "Content-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    ::send(link->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void store::change(const std::string &kind, const std::string &name, const object &item, bool removed)
{
    m_events.push_back({m_revision, kind,
        "{\"removed\":" + std::string(removed ? "true" : "false") + ",\"object\":" + text(name, item) + '}'});
    for (const auto &link : std::set(m_links)) {
        if (!link->watch || link->watch->first != kind)
            continue;
        const auto from = link->watch->second;
        link->watch.reset();
        bool any = false;
        answer(link, 200, eventsAfter(kind, from, any));
    }
}

std::uint64_t store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    auto &item = m_objects[kind][name];
    item.spec = spec;
    item.revision = ++m_revision;
    if (item.created == 0)
        item.created = item.revision;
    change(kind, name, item, false);
    return item.revision;
}

void store::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end())
        return;
    const auto gone = found->second;
    m_objects[kind].erase(found);
    ++m_revision;
    change(kind, name, gone, true);
}

void store::loseAnswers(double share, std::uint64_t seed)
{
    m_loss = share;
    m_random.seed(seed);
}

std::size_t store::waitingWatches() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_links, [](const connection_ptr &link) { return link->watch.has_value() && !link->isDead; }));
}

// Back ends.

back_end::back_end(deployment &in, machine &beside, options given)
    : m_in(in)
    , m_machine(beside)
    , m_options(given)
{ }

void back_end::start()
{
    m_random.seed(m_machine.ip + unixMs());
    m_born = unixMs();
    m_id = "i-" + m_machine.name + '-' + std::to_string(m_born % 100000);
    m_fd = bound(SOCK_DGRAM, m_machine.ip, appPort);
    m_in.events().watch(m_fd, POLLIN, [this](short) {
        while (const auto bytes = receive(m_fd))
            onPacket(*bytes);
    });
    report();
    m_in.events().every(m_in.reportInterval, [this] { report(); });
}

void back_end::report()
{
    if (m_isReporting)
        return;
    m_isReporting = true;
    const auto number = ++m_number;
    call(m_in.events(),
        {.ip = m_machine.ip,
            .port = reportsPort,
            .method = "PUT",
            .path = "/v1/instances/" + m_id,
            .body = "{\"service\":\"" + m_machine.service + "\",\"address\":\"" + ipText(m_machine.ip) + ':'
                + std::to_string(appPort) + "\",\"zone\":\"" + m_machine.zone + "\",\"version\":\"v1\",\"slots\":"
                + std::to_string(m_options.slots) + ",\"state\":\"ready\",\"warmupLeftMs\":0,\"seqNo\":"
                + std::to_string(number) + ",\"born\":" + std::to_string(m_born) + '}',
            .done = [this](int) { m_isReporting = false; }});
}

bool back_end::holds(std::uint32_t ip, std::uint16_t port) const
{
    return std::ranges::any_of(m_flows, [&](const auto &item) {
        return item.first.first == (std::uint64_t{ip} << 16U | port) && item.second.isEstablished
            && !item.second.isEnded;
    });
}

std::vector<std::uint16_t> back_end::unconfirmed() const
{
    std::vector<std::uint16_t> ports;
    for (const auto &[which, item] : m_flows) {
        if (!item.isEstablished)
            ports.push_back(static_cast<std::uint16_t>(which.first));
    }
    return ports;
}

void back_end::send(const packet &item)
{
    sendTo(m_fd, m_machine.ip, outboundPort, encode(item));
}

void back_end::repeat(const key &which, std::uint64_t life, const packet &item, std::uint32_t end, int tries)
{
    m_in.events().after(std::min(200.0 * (1 << tries), 1600.0), [this, which, life, item, end, tries] {
        const auto found = m_flows.find(which);
        if (found == m_flows.end() || found->second.life != life || tries >= 8)
            return;
        const auto &held = found->second;
        if (held.isEstablished && static_cast<std::int32_t>(held.acked - end) >= 0)
            return;
        send(item);
        repeat(which, life, item, end, tries + 1);
    });
}

void back_end::onPacket(const std::string &bytes)
{
    bool intact = false;
    const auto item = decode(bytes, intact);
    if (!item)
        return;
    if (!intact)
        m_in.note("UNASKED: %s got a packet that its sender did not write so", m_machine.name.c_str());
    const key which{std::uint64_t{item->src} << 16U | item->sport, std::uint64_t{item->dst} << 16U | item->dport};
    const auto found = m_flows.find(which);
    const packet reply{.src = item->dst, .dst = item->src, .sport = item->dport, .dport = item->sport};
    if (item->isOpening()) {
        if (found != m_flows.end()) {
            if (!found->second.isEstablished) {
                auto answer = reply;
                answer.flags = synFlag | ackFlag;
                answer.seq = found->second.seq;
                answer.ack = item->seq + 1;
                send(answer);
            }
            return;
        }
        auto &held = m_flows[which];
        held = {.seq = static_cast<std::uint32_t>(m_random()), .next = item->seq + 1, .life = ++m_lives};
        held.sent = held.acked = held.seq + 1;
        m_in.note("%s of %s takes flow %u", m_machine.name.c_str(), m_machine.service.c_str(), item->sport);
        if (onOpening)
            onOpening(*item);
        auto answer = reply;
        answer.flags = synFlag | ackFlag;
        answer.seq = held.seq;
        answer.ack = held.next;
        send(answer);
        repeat(which, held.life, answer, held.seq + 1, 0);
        const auto life = held.life;
        // An opening that its requester never confirmed is given up.
        m_in.events().after(11000, [this, which, life] {
            const auto same = m_flows.find(which);
            if (same != m_flows.end() && same->second.life == life && !same->second.isEstablished)
                m_flows.erase(same);
        });
        return;
    }
    const bool isHeld = found != m_flows.end()
        && (found->second.isEstablished || item->ack == found->second.seq + 1);
    if (!isHeld) {
        auto back = bytes;
        back[20] = static_cast<char>(back[20] | bouncedFlag);
        std::fill(back.begin() + 21, back.begin() + 26, '\0');
        sendTo(m_fd, m_machine.ip, outboundPort, back);
        return;
    }
    auto &held = found->second;
    held.isEstablished = true;
    if (item->has(rstFlag)) {
        m_flows.erase(found);
        return;
    }
    if (static_cast<std::int32_t>(item->ack - held.acked) > 0)
        held.acked = item->ack;
    const auto acknowledge = [&] {
        auto plain = reply;
        plain.flags = ackFlag;
        plain.seq = held.sent;
        plain.ack = held.next;
        send(plain);
    };
    if (held.isEnded) {
        if (item->has(finFlag))
            return acknowledge();
        if (!item->data.empty()) {
            auto reset = reply;
            reset.flags = rstFlag;
            reset.seq = held.sent;
            send(reset);
        }
        return;
    }
    if (!item->data.empty()) {
        if (item->seq != held.next)
            return acknowledge();
        held.next += static_cast<std::uint32_t>(item->data.size());
        const auto id = item->data.substr(0, item->data.find(';'));
        m_in.note("%s of %s runs %s", m_machine.name.c_str(), m_machine.service.c_str(), id.c_str());
        const auto life = held.life;
        m_queue.push_back([this, which, life, reply, id] {
            ++m_busy;
            m_in.events().after(m_options.work, [this, which, life, reply, id] {
                --m_busy;
                const auto same = m_flows.find(which);
                if (same != m_flows.end() && same->second.life == life) {
                    auto answer = reply;
                    answer.flags = ackFlag;
                    answer.seq = same->second.sent;
                    answer.ack = same->second.next;
                    answer.data = "answer to " + id + ';' + m_machine.service + ';' + std::string(300, 'a');
                    same->second.sent += static_cast<std::uint32_t>(answer.data.size());
                    send(answer);
                    repeat(which, life, answer, same->second.sent, 0);
                }
                if (!m_queue.empty() && m_busy < m_options.slots) {
                    const auto next = m_queue.front();
                    m_queue.pop_front();
                    next();
                }
            });
        });
        if (m_busy < m_options.slots) {
            const auto next = m_queue.front();
            m_queue.pop_front();
            next();
        }
        return;
    }
    if (item->has(finFlag)) {
        held.next = item->seq + 1;
        held.isEnded = true;
        auto end = reply;
        end.flags = finFlag | ackFlag;
        end.seq = held.sent++;
        end.ack = held.next;
        send(end);
        const auto life = held.life;
        repeat(which, life, end, held.sent, 0);
        m_in.events().after(20000, [this, which, life] {
            const auto same = m_flows.find(which);
            if (same != m_flows.end() && same->second.life == life)
                m_flows.erase(same);
        });
    }
}

// The deployment.

deployment::deployment(const std::string &caseFolder)
    : m_caseFolder(caseFolder)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Addresses that no other run uses.
    std::random_device random;
    do
        m_base = 127U << 24U | (16U + random() % 230U) << 16U;
    while (isUsed(newIp(240, 1), storePort));
    char name[] = "/tmp/review-case-XXXXXX";
    if (!::mkdtemp(name))
        cannotRun("temporary folder");
    m_folder = name;
    m_record = std::fopen((caseFolder + "/record.txt").c_str(), "w");
    if (!m_record)
        cannotRun("record.txt");
    isTroubled = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    m_store = std::make_unique<store>(m_loop, newIp(240, 1));
    m_loop.every(20, [this] { reap(); });
}

deployment::~deployment()
{
    shutDown();
}

void deployment::shutDown()
{
    m_ending = true;
    for (const auto &item : m_machines) {
        if (item->pid > 0) {
            ::kill(item->pid, SIGKILL);
            ::waitpid(item->pid, nullptr, 0);
            item->pid = 0;
        }
    }
    if (m_record)
        std::fclose(std::exchange(m_record, nullptr));
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(m_folder);
    else
        std::printf("logs in %s\n", m_folder.c_str());
}

void deployment::note(const char *format, ...)
{
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    std::fprintf(m_record, "%10.1f %s\n", now(), text);
}

machine &deployment::addEdge(const std::string &zone)
{
    const auto count = m_machines.size() + 1;
    m_machines.push_back(std::make_unique<machine>(machine{.name = "edge-" + zone + '-' + std::to_string(count),
        .zone = zone,
        .ip = newIp(1, static_cast<std::uint32_t>(count))}));
    return *m_machines.back();
}

machine &deployment::addSide(const std::string &zone, const std::string &service)
{
    const auto count = m_machines.size() + 1;
    m_machines.push_back(std::make_unique<machine>(machine{.name = "side-" + zone + '-' + std::to_string(count),
        .zone = zone,
        .service = service,
        .ip = newIp(2, static_cast<std::uint32_t>(count))}));
    return *m_machines.back();
}

std::string deployment::settings(const machine &which, bool isFirst) const
{
    const auto own = ipText(which.ip);
    std::set<std::string> zones;
    std::vector<std::string> seeds;
    for (const auto &item : m_machines) {
        zones.insert(item->zone);
        if (item->isEdge() && !item->isSpare && seeds.size() < static_cast<std::size_t>(seedCount))
            seeds.push_back(ipText(item->ip) + ":8166");
    }
    const auto join = [](const auto &list) {
        std::string out;
        for (const auto &item : list)
            out += (out.empty() ? "" : ",") + item;
        return out;
    };
    std::string text = "[vm]\nname = " + which.name + "\ndomain = " + which.zone + "\ndomains = " + join(zones)
        + "\nfirst_start = " + (isFirst ? "true" : "false") + "\npeer = " + own + ":7720\ncontrol = " + own
        + ":7735\nreadiness = " + own + ":8167\nreports = " + own + ":8166\nmetrics = " + own
        + ":9464\nseeds = " + join(seeds) + "\n\n[flows]\ncallers = " + own + ":8172\nlifetime = 60s\n\n";
    if (which.isEdge())
        text += "[link]\nrate = 1000.0\n\n";
    text += "[platform]\naddress = " + ipText(newIp(240, 1)) + ":8169\nhistory = 20s\n\n[stop]\ngrace = 6s\n";
    if (!which.isEdge())
        text += "\n[target]\naddress = " + own + ":8165\noutbound = " + own + ":8162\nservice = " + which.service
            + "\nreport_interval = " + std::to_string(static_cast<int>(reportInterval))
            + "ms\ncold_overshoot = 1.5\ncold_slack = 5\n";
    return text;
}

void deployment::start(machine &which, bool isFirst)
{
    const auto file = m_folder + '/' + which.name + ".ini";
    std::ofstream(file) << settings(which, isFirst);
    const auto output = m_folder + '/' + which.name + ".log";
    const std::string program = which.isEdge() ? "target/bin/toucanbridge" : "target/bin/toucantarget";
    const auto pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        const std::string setting = "TOUCANBRIDGE_BOOT=" + file;
        const std::string path = "PATH=" + std::string(std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin");
        const std::string home = "HOME=" + std::string(std::getenv("HOME") ? std::getenv("HOME") : "/tmp");
        const char *const environment[] = {setting.c_str(), path.c_str(), home.c_str(), "LANG=C", nullptr};
        const char *const words[] = {program.c_str(), "relay", nullptr};
        ::execve(program.c_str(), const_cast<char *const *>(words), const_cast<char *const *>(environment));
        ::_exit(127);
    }
    if (pid < 0)
        cannotRun("fork");
    which.pid = pid;
    which.startedAt = now();
    which.shouldRun = true;
    ++which.starts;
    note("start %s (start %d)", which.name.c_str(), which.starts);
}

void deployment::startAll()
{
    for (const auto &item : m_machines) {
        if (item->isSpare)
            continue;
        start(*item, true);
        if (item->isEdge())
            m_loop.every(500, [this, edge = item.get()] { probe(*edge); });
    }
}

void deployment::addSpare(machine &which)
{
    which.isSpare = false;
    start(which, false);
    if (which.isEdge())
        m_loop.every(500, [this, &which] { probe(which); });
}

void deployment::probe(machine &which)
{
    call(m_loop,
        {.ip = which.ip,
            .port = readinessPort,
            .method = "GET",
            .path = "/v1/ready",
            .timeout = 480,
            .done = [this, &which](int status) {
                if (status == 200) {
                    which.misses = 0;
                    if (!std::exchange(which.inRotation, true))
                        note("%s is in rotation", which.name.c_str());
                } else if (++which.misses >= 2 && std::exchange(which.inRotation, false)) {
                    note("%s is out of rotation", which.name.c_str());
                }
            }});
}

void deployment::reap()
{
    for (const auto &item : m_machines) {
        int status = 0;
        if (item->pid <= 0 || ::waitpid(item->pid, &status, WNOHANG) != item->pid)
            continue;
        item->pid = 0;
        note("%s ended, status %d", item->name.c_str(), status);
        if (item->shouldRun && !m_ending)
            m_loop.after(restartDelay, [this, which = item.get()] {
                if (which->shouldRun && which->pid == 0)
                    start(*which, false);
            });
    }
}

void deployment::signal(machine &which, int number)
{
    note("signal %d to %s", number, which.name.c_str());
    if (which.pid > 0)
        ::kill(which.pid, number);
}

void deployment::kill(machine &which, ms downFor)
{
    which.shouldRun = false;
    signal(which, SIGKILL);
    m_loop.after(downFor, [this, &which] {
        which.shouldRun = true;
        if (which.pid == 0)
            start(which, false);
    });
}

void deployment::stop(machine &which)
{
    signal(which, SIGTERM);
    const auto pid = which.pid;
    m_loop.after(graceMs, [this, &which, pid] {
        if (which.pid == pid && pid > 0)
            signal(which, SIGKILL);
    });
}

std::vector<machine *> deployment::machinesIn(const std::string &zone, bool edges)
{
    std::vector<machine *> list;
    for (const auto &item : m_machines) {
        if (!item->isSpare && item->isEdge() == edges && (zone.empty() || item->zone == zone))
            list.push_back(item.get());
    }
    return list;
}

machine *deployment::route(const std::string &zone, std::uint32_t ip, std::uint16_t port, std::uint32_t service)
{
    const auto all = machinesIn(zone, true);
    std::vector<machine *> ready;
    std::ranges::copy_if(all, std::back_inserter(ready), [](const machine *item) { return item->inRotation; });
    auto chosen = ready;
    if (ready.empty()) {
        for (auto *item : machinesIn({}, true)) {
            if (item->inRotation)
                chosen.push_back(item);
        }
    } else if (ready.size() * 2 < all.size()) {
        chosen = all;
    }
    if (chosen.empty())
        return nullptr;
    return chosen[flowHash(ip, port, service) % chosen.size()];
}

void deployment::openCaller(std::uint32_t ip)
{
    if (m_callers.contains(ip))
        return;
    const int fd = bound(SOCK_DGRAM, ip, callersPort);
    m_callers[ip] = fd;
    m_loop.watch(fd, POLLIN, [this, fd](short) {
        while (const auto bytes = receive(fd))
            m_loop.after(requesterMs, [this, bytes = *bytes] { onCallerPacket(bytes); });
    });
}

void deployment::sendFromCaller(attempt &flow, const packet &item)
{
    if (passes && !passes(item, false))
        return;
    auto *edge = route(flow.zone, flow.ip, flow.port, flow.service);
    if (!edge)
        return;
    flow.lastEntry = edge->name;
    m_loop.after(requesterMs, [fd = m_callers.at(flow.ip), ip = edge->ip, bytes = encode(item)] {
        sendTo(fd, ip, callersPort, bytes);
    });
}

attempt_ptr deployment::open(const std::string &zone, std::uint32_t service)
{
    auto flow = std::make_shared<attempt>();
    flow->ip = newIp(200, 1 + m_nextCaller++ % 24);
    flow->port = m_nextPort++;
    flow->service = service;
    flow->zone = zone;
    flow->sentAt = now();
    flow->seq = 1000 + static_cast<std::uint32_t>(flow->port) * 7;
    flow->id = std::to_string(flow->port);
    openCaller(flow->ip);
    m_attempts[{flow->ip, flow->port}] = flow;
    int copy = 0;
    for (const ms delay : {0.0, 200.0, 600.0}) {
        m_loop.after(delay, [this, flow, copy] {
            if (flow->isOpen || flow->isEnded)
                return;
            if (flow->copiesSent++ > 0)
                note("copy %d of the opening of flow %u", flow->copiesSent - 1, flow->port);
            sendFromCaller(*flow,
                {.src = flow->ip,
                    .dst = flow->service,
                    .sport = flow->port,
                    .dport = servicePort,
                    .flags = synFlag,
                    .seq = flow->seq,
                    .ack = static_cast<std::uint32_t>(copy)});
        });
        ++copy;
    }
    m_loop.after(1400, [flow] {
        if (flow->isOpen || std::exchange(flow->isEnded, true))
            return;
        if (flow->onTimeout)
            flow->onTimeout(*flow);
    });
    return flow;
}

void deployment::request(const attempt_ptr &flow, ms deadline)
{
    const auto number = ++flow->number;
    flow->isAnswered = false;
    flow->id = std::to_string(flow->port) + '.' + std::to_string(number);
    sendRequest(flow, number, 0);
    m_loop.after(deadline, [this, flow, number] {
        if (flow->number != number || flow->isAnswered || std::exchange(flow->isEnded, true))
            return;
        note("request %s is given up at its deadline", flow->id.c_str());
        if (flow->onTimeout)
            flow->onTimeout(*flow);
    });
}

void deployment::sendRequest(const attempt_ptr &flow, std::uint64_t number, int tries)
{
    if (flow->number != number || flow->isAnswered || flow->isEnded)
        return;
    note("sent %s%s", flow->id.c_str(), tries > 0 ? ", again" : "");
    const auto text = "id=" + flow->id + ';' + std::string(200, 'q');
    sendFromCaller(*flow,
        {.src = flow->ip,
            .dst = flow->service,
            .sport = flow->port,
            .dport = servicePort,
            .flags = ackFlag,
            .seq = flow->seq,
            .ack = flow->peerNext,
            .data = text});
    m_loop.after(std::min(200.0 * (1 << tries), 1600.0),
        [this, flow, number, tries] { sendRequest(flow, number, tries + 1); });
}

void deployment::finish(const attempt_ptr &flow)
{
    if (!flow->isOpen || std::exchange(flow->isEnded, true))
        return;
    packet end{.src = flow->ip,
        .dst = flow->service,
        .sport = flow->port,
        .dport = servicePort,
        .flags = finFlag | ackFlag,
        .seq = flow->seq,
        .ack = flow->peerNext};
    sendFromCaller(*flow, end);
}

void deployment::onCallerPacket(const std::string &bytes)
{
    bool intact = false;
    const auto item = decode(bytes, intact);
    if (!item || (passes && !passes(*item, true)))
        return;
    const auto found = m_attempts.find({item->dst, item->dport});
    if (found == m_attempts.end())
        return;
    const auto flow = found->second;
    if (!intact && !item->has(rstFlag))
        note("MIXED: the requester %u got a packet that its sender did not write so", flow->port);
    if (item->has(rstFlag)) {
        if (flow->isEnded)
            return;
        flow->wasReset = true;
        note("reset%s of flow %s:%u, %s, last entry %s", intact ? " by its back end" : "",
            ipText(flow->ip).c_str(), flow->port, flow->isOpen ? "open" : "not open", flow->lastEntry.c_str());
        if (flow->onReset)
            flow->onReset(*flow);
        flow->isEnded = true;
        return;
    }
    const auto acknowledge = [&] {
        sendFromCaller(*flow,
            {.src = flow->ip,
                .dst = flow->service,
                .sport = flow->port,
                .dport = servicePort,
                .flags = ackFlag,
                .seq = flow->seq,
                .ack = flow->peerNext});
    };
    if (item->has(synFlag)) {
        if (flow->isOpen || flow->isEnded)
            return;
        flow->isOpen = true;
        ++flow->seq;
        flow->peerNext = item->seq + 1;
        if (flow->onOpen)
            flow->onOpen(*flow);
        return;
    }
    if (!item->data.empty()) {
        if (item->seq == flow->peerNext) {
            flow->peerNext += static_cast<std::uint32_t>(item->data.size());
            const auto wanted = "answer to id=" + flow->id + ';';
            if (flow->isAnswered || item->data.compare(0, wanted.size(), wanted) != 0)
                note("MIXED: flow %u got a foreign answer", flow->port);
            flow->isAnswered = true;
            note("answered %s", flow->id.c_str());
            flow->seq += static_cast<std::uint32_t>(("id=" + flow->id + ';').size() + 200);
            acknowledge();
            if (flow->onAnswer && !flow->isEnded)
                flow->onAnswer(*flow);
            return;
        }
        return acknowledge();
    }
    if (item->has(finFlag) && item->seq == flow->peerNext) {
        ++flow->peerNext;
        ++flow->seq;
        acknowledge();
    }
}

} // namespace bed
