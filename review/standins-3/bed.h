#pragma once

/// A small deployment on loopback addresses: the project's programs as separate processes, and
/// stand-ins of the store, the routers, the requesters and the back ends. One thread, one loop.

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include <vector>

namespace bed {

using ms = double;
using action = std::function<void()>;

constexpr std::uint8_t synFlag = 4, ackFlag = 8, finFlag = 64, rstFlag = 16, bouncedFlag = 2;
constexpr std::uint16_t callersPort = 8172, readinessPort = 8167, reportsPort = 8166;
constexpr std::uint16_t outboundPort = 8162, appPort = 8165, peerPort = 7720, controlPort = 7735;
constexpr std::uint16_t storePort = 8169, servicePort = 443;

/// Milliseconds on the steady clock since the first call.
ms now();
std::uint64_t unixMs();
std::string ipText(std::uint32_t ip);

/// Timers and descriptors.
class loop
{
public:
    void after(ms delay, action run) { m_timers.emplace(now() + delay, std::move(run)); }
    void every(ms interval, action run);
    void watch(int fd, short events, std::function<void(short)> handler);
    void forget(int fd);
    void runUntil(ms end);

private:
    struct watched
    {
        short events = 0;
        std::function<void(short)> handler;
    };
    std::multimap<ms, action> m_timers;
    std::map<int, watched> m_fds;
};

/// A flow's packet, as PROTOCOL.md lays it out.
struct packet
{
    std::uint32_t src = 0, dst = 0;
    std::uint16_t sport = 0, dport = 0;
    std::uint8_t flags = 0;
    std::uint32_t seq = 0, ack = 0;
    std::string data;

    bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
    bool isOpening() const { return has(synFlag) && !has(ackFlag); }
};
std::string encode(const packet &item, bool signs = true);
/// nullopt when the bytes are no packet; `intact` tells whether the sum is the sender's.
std::optional<packet> decode(std::string_view bytes, bool &intact);

struct http_call
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    std::string method, path, body;
    ms timeout = 1000;
    std::function<void(int status)> done; ///< Status 0: no answer.
};
void call(loop &on, const http_call &request);

/// The platform's store of objects by kind and name.
class store
{
public:
    store(loop &on, std::uint32_t ip);
    /// Writes as the operator does; returns the revision, the confirmation.
    std::uint64_t put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);
    /// Share of answers that are lost; a connection on which one is lost returns nothing further.
    void loseAnswers(double share, std::uint64_t seed);
    std::size_t lostAnswers() const { return m_lost; }
    std::size_t waitingWatches() const;
    /// The store goes away for some time and comes back from a copy, an era later.
    void restore(ms copyAge, ms away, action done);

    std::uint64_t era = 0; ///< Of the header Store-Era; 0: without it.

private:
    struct connection
    {
        int fd = -1;
        std::string in;
        bool isDead = false; ///< An answer was lost on it.
        std::optional<std::pair<std::string, std::uint64_t>> watch;
        std::uint64_t watchNumber = 0;
    };
    struct object
    {
        std::uint64_t revision = 0, created = 0;
        std::string spec = "null", status = "null", finalizers = "[]";
    };
    struct event
    {
        std::uint64_t revision;
        std::string kind, text;
    };
    using connection_ptr = std::shared_ptr<connection>;

    void accept();
    void read(const connection_ptr &link);
    void handle(
        const connection_ptr &link, const std::string &method, std::string path, const std::string &body);
    void answer(const connection_ptr &link, int status, const std::string &body);
    void change(const std::string &kind, const std::string &name, const object &item, bool removed);
    std::string text(const std::string &name, const object &item) const;
    std::string eventsAfter(const std::string &kind, std::uint64_t revision, bool &any) const;

    loop &m_loop;
    int m_fd;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::deque<event> m_events;
    std::set<connection_ptr> m_links;
    double m_loss = 0;
    std::size_t m_lost = 0;
    struct copy
    {
        ms at;
        std::uint64_t revision;
        std::map<std::string, std::map<std::string, object>> objects;
    };
    std::deque<copy> m_copies;
    std::uint64_t m_oldest = 0; ///< Revision from which changes are known.
    bool m_isAway = false;
    std::uint64_t m_watches = 0;
    std::mt19937_64 m_random{1};
};

/// A machine with one process of the system.
struct machine
{
    std::string name, zone, service; ///< `service` is empty on an edge machine.
    std::uint32_t ip = 0;
    bool isEdge() const { return service.empty(); }
    pid_t pid = 0;
    bool isSpare = false; ///< Not added yet.
    bool shouldRun = false;
    bool inRotation = false;
    int misses = 2;
    ms startedAt = 0; ///< Of the newest process.
    int starts = 0;
};

class deployment;

/// A back end: holds flows, runs requests, reports its liveness.
class back_end
{
public:
    struct options
    {
        std::size_t slots = 9;
        ms work = 20;
    };
    back_end(deployment &in, machine &beside, options given);
    void start();
    const std::string &id() const { return m_id; }
    machine &beside() { return m_machine; }
    std::function<void(const packet &opening)> onOpening; ///< A new flow's first packet was taken.
    bool holds(std::uint32_t ip, std::uint16_t port) const;
    /// Ports of flows that were offered here and that no requester has confirmed.
    std::vector<std::uint16_t> unconfirmed() const;

private:
    struct flow
    {
        std::uint32_t seq = 0, next = 0, sent = 0, acked = 0;
        bool isEstablished = false, isEnded = false;
        std::uint64_t life = 0;
    };
    using key = std::pair<std::uint64_t, std::uint64_t>;
    void onPacket(const std::string &bytes);
    void send(const packet &item);
    void repeat(const key &which, std::uint64_t life, const packet &item, std::uint32_t end, int tries);
    void report();

    deployment &m_in;
    machine &m_machine;
    options m_options;
    int m_fd = -1;
    std::string m_id;
    std::uint64_t m_born = 0, m_number = 0, m_lives = 0;
    bool m_isReporting = false;
    std::map<key, flow> m_flows;
    std::deque<action> m_queue;
    std::size_t m_busy = 0;
    std::mt19937_64 m_random{7};
};

/// A requester's flow and its requests.
struct attempt
{
    std::string id; ///< Of the newest request.
    std::uint32_t ip = 0, service = 0;
    std::uint16_t port = 0;
    std::string zone;
    ms sentAt = 0;
    bool isOpen = false, isEnded = false, wasReset = false, isAnswered = false;
    std::uint32_t seq = 0, peerNext = 0;
    int copiesSent = 0;
    std::uint64_t number = 0;
    std::function<void(attempt &)> onAnswer, onReset, onOpen, onTimeout;
    std::string lastEntry; ///< The entry that took the newest packet.
};
using attempt_ptr = std::shared_ptr<attempt>;

/// Everything together.
class deployment
{
public:
    explicit deployment(const std::string &caseFolder);
    ~deployment();
    loop &events() { return m_loop; }
    store &platform() { return *m_store; }
    machine &addEdge(const std::string &zone);
    machine &addSide(const std::string &zone, const std::string &service);
    void startAll();
    /// Adds a spare machine and starts its process.
    void addSpare(machine &which);
    void start(machine &which, bool isFirst);
    void signal(machine &which, int number);
    /// SIGKILL; the process is restarted after `downFor`.
    void kill(machine &which, ms downFor);
    /// SIGTERM; SIGKILL after the grace; restarted after a short delay.
    void stop(machine &which);
    std::uint32_t serviceIp(int number) const { return m_base + (250U << 8) + static_cast<std::uint32_t>(number); }
    std::uint32_t newIp(std::uint32_t group, std::uint32_t number) const { return m_base + (group << 8) + number; }
    attempt_ptr open(const std::string &zone, std::uint32_t service);
    void request(const attempt_ptr &flow, ms deadline);
    void finish(const attempt_ptr &flow);
    std::vector<machine *> machinesIn(const std::string &zone, bool edges);
    std::vector<std::unique_ptr<machine>> &machines() { return m_machines; }
    void note(const char *format, ...) __attribute__((format(printf, 2, 3)));
    machine *route(const std::string &zone, std::uint32_t ip, std::uint16_t port, std::uint32_t service);
    void shutDown();

    ms contactMs = 4000, configApplyMs = 3000, graceMs = 6000, restartDelay = 300;
    ms reportInterval = 770;
    ms requesterMs = 3; ///< One way between requesters and the system.
    bool isTroubled = true;
    int seedCount = 3;
    /// Called for each packet between a requester and the system; false drops it.
    std::function<bool(const packet &item, bool toRequester)> passes;

private:
    void openCaller(std::uint32_t ip);
    void onCallerPacket(const std::string &bytes);
    void sendFromCaller(attempt &flow, const packet &item);
    void sendRequest(const attempt_ptr &flow, std::uint64_t number, int tries);
    void probe(machine &which);
    void reap();
    std::string settings(const machine &which, bool isFirst) const;

    loop m_loop;
    std::uint32_t m_base = 0;
    std::string m_folder, m_caseFolder;
    std::FILE *m_record = nullptr;
    std::unique_ptr<store> m_store;
    std::vector<std::unique_ptr<machine>> m_machines;
    std::map<std::uint32_t, int> m_callers;
    std::map<std::pair<std::uint32_t, std::uint16_t>, attempt_ptr> m_attempts;
    std::uint16_t m_nextPort = 20000;
    std::uint32_t m_nextCaller = 0;
    bool m_ending = false;
};

} // namespace bed
