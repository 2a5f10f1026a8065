#include "lab_commands.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Process.h>
#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <thread>
#include <toucan/config_history.h>
#include <toucan/entry_engine.h>
#include <toucan/lab/engine_driver.h>
#include <toucan/lab/platform_stand_in.h>
#include <toucan/platform_client.h>
#include <toucan/target_engine.h>
#include <toucan/udp_socket.h>
#include <unistd.h>

namespace toucan::lab {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr endpoint service{.ip = 0x7f000909, .port = 5683};
constexpr std::size_t payloadSize = 200;

std::vector<stored_object> fleet(std::size_t services, std::size_t membersEach, std::size_t entries)
{
    std::vector<stored_object> objects;
    std::uint32_t host = 0;
    for (std::size_t s = 0; s < services; ++s) {
        const auto name = fmt::format("service-{:04}", s);
        const endpoint address{
            .ip = service.ip + static_cast<std::uint32_t>(s), .port = service.port};
        objects.push_back({.kind = "service",
            .name = name,
            .version = 1,
            .body = {{"schema", 2}, {"address", toString(address)}}});
        for (std::size_t m = 0; m < membersEach; ++m) {
            const auto ip = 0x7f100000U + ++host;
            objects.push_back({.kind = "member",
                .name = fmt::format("{}-{}", name, m),
                .version = 1,
                .body
                = {{"schema", 2}, {"service", name}, {"domain", fmt::format("domain-{}", m % 7)},
                    {"data", toString({.ip = ip, .port = 7000})},
                    {"control", toString({.ip = ip, .port = 7001})}, {"boot", 1},
                    {"firstBoot", true}}});
        }
    }
    for (std::size_t e = 0; e < entries; ++e) {
        const auto ip = 0x7f200000U + static_cast<std::uint32_t>(e);
        objects.push_back({.kind = "entry",
            .name = fmt::format("entry-{}", e),
            .version = 1,
            .body
            = {{"schema", 2}, {"domain", "domain-0"}, {"data", toString({.ip = ip, .port = 7000})},
                {"control", toString({.ip = ip, .port = 7001})}, {"boot", 1}}});
    }
    return objects;
}

template <class F>
double microsecondsEach(std::size_t count, F &&act)
{
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i)
        act(i);
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
               .count()
        / static_cast<double>(count);
}

// Memory in use from the allocator, bytes.
double allocatedBytes()
{
    return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

void entryDecisions()
{
    std::cout << "entry: time for a decision on a packet\n";
    for (const std::size_t members : {3, 7, 12, 50, 200}) {
        metrics::registry metrics;
        entry_engine engine({.data = {.ip = 1, .port = 1}}, metrics);
        engine.onConfig(1s, buildConfig(2, fleet(1, members, 1)));
        constexpr std::size_t packets = 200'000;
        const auto time = microsecondsEach(packets, [&](std::size_t i) {
            const endpoint caller{
                .ip = 0x7f000001, .port = static_cast<std::uint16_t>(i % 20'000 + 1)};
            const auto decision = engine.onCallerPacket(1s, caller, service);
            engine.onReturnPacket(1s, decision.to, {.kind = 2, .service = service, .version = 2});
        });
        std::cout << fmt::format("  {:>5} targets in the service  {:.3f} us\n", members, time);
    }
}

void configurations()
{
    std::cout << "configuration: size, time to build, memory\n";
    for (const std::size_t services : {10, 100, 400, 780}) {
        constexpr std::size_t membersEach = 12;
        const auto objects = fleet(services, membersEach, services * 1000 / 780);
        const auto before = allocatedBytes();
        config_ptr config;
        const auto time
            = microsecondsEach(1, [&](std::size_t) { config = buildConfig(2, objects); });
        const auto memory = allocatedBytes() - before;
        config_history history;
        history.apply({.version = 2, .objects = objects});
        auto changed = objects;
        changed.back().version = 3;
        history.apply({.version = 3, .objects = changed});
        const auto size = json::to_cbor(updateToJson(history.updateSince(0))).size();
        const auto change = json::to_cbor(updateToJson(history.updateSince(2))).size();
        std::cout << fmt::format(
            "  {:>5} targets {:>5} entries  transfer {:>9} B  of one change {} B  build {:>8.0f} "
            "us  memory {:>6.1f} MB\n",
            services * membersEach, services * 1000 / 780, size, change, time, memory / 1e6);
    }
}

void heartbeats()
{
    std::cout << "target process: control sent while idle, for each size of service\n";
    for (const std::size_t members : {3, 7, 12, 24, 100}) {
        engine_driver driver({.members = members, .drop = 0, .duplicate = 0});
        driver.run(5s);
        const auto before = driver.sentBy(0);
        constexpr int seconds = 10;
        driver.run(std::chrono::seconds(seconds));
        const auto after = driver.sentBy(0);
        std::cout << fmt::format("  {:>5} members  {:>6.1f} datagrams/s  {:>7.0f} B/s\n", members,
            static_cast<double>(after.datagrams - before.datagrams) / seconds,
            static_cast<double>(after.bytes - before.bytes) / seconds);
    }
}

void submissions()
{
    std::cout << "target processes: control sent for each submission, 7 members, submissions "
                 "spread over them\n";
    for (const int perSecond : {10, 50, 100, 200}) {
        engine_driver driver({.members = 7, .drop = 0, .duplicate = 0});
        driver.run(3s);
        const auto sum = [&] {
            std::uint64_t bytes = 0;
            for (std::size_t i = 0; i < driver.memberCount(); ++i)
                bytes += driver.sentBy(i).bytes;
            return bytes;
        };
        const auto idleStart = sum();
        driver.run(5s);
        const auto idle = sum() - idleStart;
        const auto start = sum();
        const int count = perSecond * 5;
        for (int i = 0; i < count; ++i) {
            byte_buffer key(8);
            std::memcpy(key.data(), &i, sizeof(i));
            driver.submit(static_cast<std::uint16_t>(1000 + i), key, 1);
            driver.run(instant(1s) / perSecond);
        }
        std::cout << fmt::format("  {:>4} submissions/s  {:>6.0f} B each, over all members\n",
            perSecond, (static_cast<double>(sum() - start) - static_cast<double>(idle)) / count);
    }
}

void flows()
{
    std::cout << "target process: flows\n";
    for (const std::size_t count : {500, 1000, 2000, 4000}) {
        metrics::registry metrics;
        auto objects = fleet(1, 1, 1);
        objects[0].body["connections"] = 100'000;
        const auto config = buildConfig(2, objects);
        const auto &item = config->services[0].members[0];
        target_engine engine({.identity = {.name = item.name,
                                  .service = config->services[0].name,
                                  .domain = item.domain,
                                  .data = item.data,
                                  .control = item.control,
                                  .boot = item.boot}},
            metrics, 1s);
        engine.onConfig(1s, config);
        const auto before = allocatedBytes();
        const auto open = microsecondsEach(count, [&](std::size_t i) {
            coap::message watch{.messageCode = coap::code::get, .token = {1, 2, 3, 4}};
            watch.addNumber(coap::option_number::observe, 0);
            watch.addText(coap::option_number::uri_path, "status");
            const packet_header header{.kind = 1,
                .caller = {.ip = 1, .port = static_cast<std::uint16_t>(i + 1)},
                .service = service,
                .entry = config->entries[0].data,
                .version = 2};
            engine.onDatagram(
                2s, config->entries[0].data, encodePacket(header, coap::serialize(watch)));
            engine.takeActions();
        });
        const auto memory = allocatedBytes() - before;
        constexpr std::size_t ticks = 500;
        const auto tick = microsecondsEach(ticks, [&](std::size_t i) {
            engine.onTick(3s + instant(20ms) * static_cast<int>(i));
            engine.takeActions();
        });
        std::cout << fmt::format("  {:>5} flows with a watch  open {:.1f} us each  memory {:>6.0f} "
                                 "B each  tick {:>7.1f} us\n",
            count, open, memory / static_cast<double>(count), tick);
    }
}

void claims()
{
    std::cout << "target process: claims held\n";
    for (const std::size_t count : {2'000, 10'000, 30'000, 100'000}) {
        claim_ledger ledger({});
        const auto before = allocatedBytes();
        const auto time = microsecondsEach(count, [&](std::size_t i) {
            claim_request request{
                .key = byte_buffer(8), .attempt = 1, .claimer = "service-0000-1", .boot = 1};
            std::memcpy(request.key.data(), &i, sizeof(i));
            ledger.apply(1s, request);
            request.operation = static_cast<std::uint64_t>(claim_operation::settle);
            request.answer.assign(64, 1);
            ledger.apply(1s, request);
        });
        std::cout << fmt::format("  {:>6} claims  {:.2f} us each  memory {:>5.0f} B each\n", count,
            time, (allocatedBytes() - before) / static_cast<double>(count));
    }
}

double processSeconds(int pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string word;
    double ticks = 0;
    constexpr int userField = 14;
    constexpr int systemField = 15;
    for (int i = 1; i <= systemField && file >> word; ++i) {
        if (i == userField || i == systemField)
            ticks += std::stod(word);
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

// Sends packets to `to` at a steady rate; each arrives at `sink` after the relay under test.
struct relay_figures
{
    double cpuMicroseconds = 0; ///< Processor time of the relay for each packet.
    double p50 = 0; ///< Added latency, microseconds.
    double p99 = 0;
    std::size_t received = 0;
};

template <class F>
relay_figures sendThrough(const endpoint &to, udp_socket &sink, F &&cpuSeconds)
{
    constexpr std::size_t packets = 120'000;
    constexpr auto gap = 25us;
    auto bound = udp_socket::bind({.ip = 0x7f000001, .port = 0});
    auto &sender = std::get<udp_socket>(bound);
    std::vector<double> latencies;
    std::array<std::uint8_t, maxDatagramBytes> buffer{};
    byte_buffer payload(payloadSize);
    const auto drain = [&] {
        while (const auto datagram = sink.receive(buffer)) {
            const auto packet = decodePacket(datagram->payload);
            const auto bytes = packet ? packet->payload : datagram->payload;
            std::int64_t sent = 0;
            std::memcpy(&sent, bytes.data(), sizeof(sent));
            latencies.push_back(std::chrono::duration<double, std::micro>(
                                    std::chrono::steady_clock::now().time_since_epoch())
                                    .count()
                - static_cast<double>(sent) / 1000);
        }
    };
    const auto before = cpuSeconds();
    auto next = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < packets; ++i) {
        next += gap;
        while (std::chrono::steady_clock::now() < next)
            drain();
        const std::int64_t now = std::chrono::steady_clock::now().time_since_epoch().count();
        std::memcpy(payload.data(), &now, sizeof(now));
        sender.send(to, payload);
    }
    std::this_thread::sleep_for(200ms);
    drain();
    const auto used = cpuSeconds() - before;
    std::ranges::sort(latencies);
    if (latencies.empty())
        return {};
    const auto at = [&](double q) {
        return latencies[static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1))];
    };
    return {.cpuMicroseconds = used * 1e6 / static_cast<double>(latencies.size()),
        .p50 = at(0.5),
        .p99 = at(0.99),
        .received = latencies.size()};
}

void printRelay(std::string_view name, const relay_figures &figures)
{
    std::cout << fmt::format("  {:<14} {:.2f} us processor time a packet  latency p50 {:.0f} us  "
                             "p99 {:.0f} us  ({} packets)\n",
        name, figures.cpuMicroseconds, figures.p50, figures.p99, figures.received);
}

relay_figures bareRelay(udp_socket &sink)
{
    const endpoint listen{.ip = 0x7f00090a, .port = 5683};
    auto bound = udp_socket::bind(listen);
    auto &socket = std::get<udp_socket>(bound);
    std::atomic<clockid_t> clock = 0;
    std::atomic<bool> ready = false;
    std::jthread relay([&](const std::stop_token &stop) {
        clockid_t own = 0;
        pthread_getcpuclockid(pthread_self(), &own);
        clock = own;
        ready = true;
        Poco::Net::PollSet poll;
        poll.add(socket.handle(), Poco::Net::PollSet::POLL_READ);
        std::array<std::uint8_t, maxDatagramBytes> buffer{};
        while (!stop.stop_requested()) {
            poll.poll(Poco::Timespan(10'000));
            while (const auto datagram = socket.receive(buffer))
                socket.send(sink.localAddress(), datagram->payload);
        }
    });
    while (!ready)
        std::this_thread::yield();
    return sendThrough(listen, sink, [&] {
        timespec time{};
        clock_gettime(clock, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
    });
}

relay_figures entryRelay(udp_socket &sink, const std::string &programs)
{
    const endpoint platformAddress{.ip = 0x7f00090b, .port = 8001};
    platform_stand_in platform(platformAddress);
    platform_client client(platformAddress, 1s);
    client.put("service", "s",
        {{"schema", 2}, {"address", toString(service)}, {"protocol", "datagram"}}, 0);
    client.put("member", "m",
        {{"schema", 2}, {"service", "s"}, {"domain", "d"}, {"data", toString(sink.localAddress())},
            {"control", "127.0.9.12:7001"}, {"boot", 1}},
        0);
    const auto file
        = std::filesystem::temp_directory_path() / fmt::format("toucan-bench-{}.ini", ::getpid());
    std::ofstream(file) << "[entry]\nname = e\ndomain = d\ndata = 127.0.9.13:7000\ncontrol = "
                           "127.0.9.13:7001\n[platform]\naddress = "
                        << toString(platformAddress) << "\n[log]\nlevel = warning\n";
    const auto entry
        = Poco::Process::launch(programs + "/toucanbridge", {"serve", "--config", file.string()});
    std::this_thread::sleep_for(1s);
    const auto figures = sendThrough(service, sink, [&] { return processSeconds(entry.id()); });
    ::kill(entry.id(), SIGTERM);
    entry.wait();
    std::filesystem::remove(file);
    return figures;
}

} // namespace

int runSlopes()
{
    entryDecisions();
    configurations();
    heartbeats();
    submissions();
    flows();
    claims();
    return 0;
}

int runRelayBenchmark(const std::string &programs)
{
    auto bound = udp_socket::bind({.ip = 0x7f00090c, .port = 7000});
    auto &sink = std::get<udp_socket>(bound);
    std::cout << "one hop at 40,000 packets a second, " << payloadSize << " bytes\n";
    printRelay("bare relay", bareRelay(sink));
    printRelay("entry", entryRelay(sink, programs));
    return 0;
}

} // namespace toucan::lab
