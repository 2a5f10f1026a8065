#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <set>
#include <thread>
#include <toucan/node.h>
#include <toucan/record_json.h>
#include <toucan/record_writer.h>

namespace toucan {
namespace {

using namespace std::chrono_literals;

// Attempts for a write whose answer was lost or that conflicted with another one.
constexpr int maxWriteAttempts = 6;
constexpr auto retryPause = 300ms;
// Field that identifies the writer, so that it can recognise its own write.
constexpr std::string_view writerField = "writer";

// Reader and validator of one kind of record.
struct record_kind
{
    std::string_view name;
    result<json> (*readFields)(const field_texts &fields, std::uint64_t schema);
    std::optional<std::string> (*check)(const json &body);
};

template <class T>
json toJson(const std::string &text)
{
    if constexpr (std::is_same_v<T, std::uint64_t>) {
        std::uint64_t value = 0;
        const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (status == std::errc() && end == text.data() + text.size())
            return value;
    }
    return text;
}

template <class R>
std::string fieldNames(std::uint64_t schema)
{
    std::string names;
    forEachField<R>([&](const auto &spec) {
        if (static_cast<std::uint64_t>(spec.since) <= schema)
            names += (names.empty() ? "" : ", ") + std::string(spec.name);
    });
    return names;
}

template <class R>
result<json> readFields(const field_texts &fields, std::uint64_t schema)
{
    json object = json::object();
    std::set<std::string> known;
    forEachField<R>([&](const auto &spec) {
        const std::string name(spec.name);
        const auto found = fields.find(name);
        if (static_cast<std::uint64_t>(spec.since) > schema)
            return;
        known.insert(name);
        using value_type = std::decay_t<decltype(std::declval<R>().*spec.member)>;
        if (found != fields.end())
            object[name] = toJson<value_type>(found->second);
    });
    for (const auto &[name, text] : fields) {
        if (!known.contains(name))
            return error{error_kind::invalid_record,
                name + ": unknown in schema " + std::to_string(schema)
                    + "; expected one of: " + fieldNames<R>(schema)};
    }
    return object;
}

template <class R>
std::optional<std::string> check(const json &body)
{
    const auto outcome = record_json::read<R>(body);
    const auto *failure = errorOf(outcome);
    return failure ? std::optional(failure->detail) : std::nullopt;
}

constexpr std::array kinds{
    record_kind{object_kind::service, readFields<service_record>, check<service_record>},
    record_kind{object_kind::domain, readFields<domain_record>, check<domain_record>},
    record_kind{object_kind::standing, readFields<standing_record>, check<standing_record>},
    record_kind{object_kind::stop, readFields<stop_record>, check<stop_record>},
};

const record_kind *findKind(std::string_view name)
{
    const auto found = std::ranges::find(kinds, name, &record_kind::name);
    return found == kinds.end() ? nullptr : &*found;
}

error unknownKind(std::string_view kind)
{
    return {error_kind::usage,
        std::string(kind) + ": unknown kind; expected one of: " + operatorKinds()};
}

// Names that a record of the kind can refer to.
std::set<std::string> knownNames(const object_list &list, std::string_view kind)
{
    std::set<std::string> names;
    for (const auto &object : list.objects) {
        if (object.kind != object_kind::member)
            continue;
        names.insert(kind == object_kind::domain ? object.body.value("domain", "") : object.name);
    }
    return names;
}

std::optional<error> checkName(platform_client &platform, const record_write &write)
{
    if (write.isNew || write.kind == object_kind::service)
        return std::nullopt;
    const auto listed = platform.list();
    const auto *list = valueOf(listed);
    if (!list)
        return *errorOf(listed);
    const auto names = knownNames(*list, write.kind);
    if (names.contains(write.name))
        return std::nullopt;
    std::string text = write.name + ": no target is announced with this "
        + (write.kind == object_kind::domain ? "failure domain" : "name") + "; known are:";
    for (const auto &name : names)
        text += ' ' + name;
    return error{error_kind::not_found, text + "; use --new to write it anyway"};
}

bool hasFields(const json &body, const json &fields)
{
    return std::ranges::all_of(fields.items(), [&](const auto &item) {
        const auto found = body.find(item.key());
        return found != body.end() && *found == item.value();
    });
}

// The platform's current record; the body is null when it has none.
result<stored_object> readCurrent(
    platform_client &platform, const std::string &kind, const std::string &name)
{
    auto outcome = platform.get(kind, name);
    const auto *failure = errorOf(outcome);
    if (failure && failure->kind == error_kind::not_found)
        return stored_object{.kind = kind, .name = name};
    return outcome;
}

json mergedBody(const stored_object &current, const json &fields, std::uint64_t schema)
{
    json body = current.body.is_object() ? current.body : json::object();
    body.update(fields);
    const auto &existing = body["schema"];
    body["schema"]
        = existing.is_number_unsigned() ? std::max(existing.get<std::uint64_t>(), schema) : schema;
    return body;
}

} // namespace

std::string operatorKinds()
{
    std::string names;
    for (const auto &kind : kinds)
        names += (names.empty() ? "" : ", ") + std::string(kind.name);
    return names;
}

result<write_outcome> putRecord(platform_client &platform, const record_write &write)
{
    const auto *kind = findKind(write.kind);
    if (!kind)
        return unknownKind(write.kind);
    if (write.schema < 1 || write.schema > newestSchema)
        return error{error_kind::invalid_record,
            "schema: expected a number from 1 to " + std::to_string(newestSchema) + ", found "
                + std::to_string(write.schema)};
    const auto read = kind->readFields(write.fields, write.schema);
    const auto *fields = valueOf(read);
    if (!fields)
        return *errorOf(read);
    if (const auto failure = checkName(platform, write))
        return *failure;
    const auto writer = std::to_string(node::randomNumber());
    error last{error_kind::write_uncertain, "the platform did not confirm the write"};
    bool lostRace = false;
    for (int i = 0; i < maxWriteAttempts; ++i) {
        if (i > 0)
            std::this_thread::sleep_for(retryPause);
        const auto found = readCurrent(platform, write.kind, write.name);
        const auto *current = valueOf(found);
        if (!current) {
            if (i == 0)
                return *errorOf(found);
            continue;
        }
        const bool exists = current->body.is_object();
        // An earlier attempt of this call took effect although its answer was lost.
        if (exists && current->body.value(writerField, std::string()) == writer)
            return write_outcome{.version = current->version, .changed = true};
        if (exists && hasFields(current->body, *fields))
            return write_outcome{.version = current->version, .changed = false};
        if (lostRace || (write.expected != 0 && write.expected != current->version))
            return error{error_kind::conflict,
                write.kind + '/' + write.name + " is now at version "
                    + std::to_string(current->version) + ": " + current->body.dump()
                    + "; read it before writing again"};
        auto body = mergedBody(*current, *fields, write.schema);
        if (const auto faults = kind->check(body))
            return error{error_kind::invalid_record, *faults};
        body[writerField] = writer;
        const auto outcome = platform.put(write.kind, write.name, body, current->version);
        if (const auto *version = valueOf(outcome))
            return write_outcome{.version = *version, .changed = true};
        last = *errorOf(outcome);
        lostRace = last.kind == error_kind::conflict;
    }
    return last;
}

result<write_outcome> withdrawRecord(
    platform_client &platform, std::string_view kind, std::string_view name)
{
    if (!findKind(kind))
        return unknownKind(kind);
    error last{error_kind::write_uncertain, "the platform did not confirm the write"};
    bool isRemovalUncertain = false;
    for (int i = 0; i < maxWriteAttempts; ++i) {
        if (i > 0)
            std::this_thread::sleep_for(retryPause);
        const auto found = readCurrent(platform, std::string(kind), std::string(name));
        const auto *current = valueOf(found);
        if (!current) {
            if (i == 0)
                return *errorOf(found);
            continue;
        }
        if (!current->body.is_object())
            return write_outcome{.changed = isRemovalUncertain};
        const auto outcome = platform.remove(kind, name, current->version);
        if (const auto *version = valueOf(outcome))
            return write_outcome{.version = *version, .changed = true};
        last = *errorOf(outcome);
        isRemovalUncertain = last.kind == error_kind::write_uncertain;
    }
    return last;
}

} // namespace toucan
