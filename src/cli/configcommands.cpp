#include "commands.h"

#include <algorithm>
#include <iostream>
#include <thread>

#include <nlohmann/json.hpp>

#include "zinniadock/process/store/configurationeditor.h"
#include "zinniadock/process/store/etcdstore.h"
#include "zinniadock/request/requestid.h"

namespace zinniadock::cli
{

namespace
{

using Json = nlohmann::json;

constexpr std::chrono::milliseconds storeTimeout{ 3000 };
constexpr std::chrono::milliseconds statusPollInterval{ 50 };

struct ParsedFiles
{
    std::string text; ///< canonical text of the objects of all files
    Configuration configuration;
    Problems problems;
};

ParsedFiles parseFiles(const std::vector<std::string> &files)
{
    ParsedFiles input;
    std::map<std::string, std::string> fileOfObject;
    std::string allText;
    for (const std::string &file : files) {
        const std::string text = readFile(file, input.problems);
        const Configuration part = parseConfiguration(text, file, input.problems);
        const std::string canonicalPart = formatConfiguration(part);
        for (const auto &[heading, object] : splitObjects(canonicalPart)) {
            const auto [other, isNew] = fileOfObject.emplace(heading, file);
            if (!isNew) {
                input.problems.push_back({ file, 0, heading, "", "is already defined in " + other->second });
            }
        }
        allText += canonicalPart;
    }
    if (input.problems.empty()) {
        input.configuration = parseConfiguration(allText, "all files", input.problems);
    }
    input.text = formatConfiguration(input.configuration);
    return input;
}

void printProblems(const Options &options, const Problems &problems)
{
    if (!options.json) {
        for (const Problem &problem : problems) {
            std::cerr << problem.text() << "\n";
        }
        return;
    }
    Json list = Json::array();
    for (const Problem &problem : problems) {
        list.push_back({ { "file", problem.file },
                         { "line", problem.line },
                         { "section", problem.section },
                         { "key", problem.key },
                         { "message", problem.message } });
    }
    std::cout << Json{ { "problems", list } }.dump(2) << "\n";
}

void printChanges(const std::vector<ObjectChange> &changes)
{
    for (const ObjectChange &change : changes) {
        const char sign = change.before.empty() ? '+' : change.after.empty() ? '-' : '~';
        std::cout << sign << " [" << change.heading << "]\n";
    }
    if (changes.empty()) {
        std::cout << "no changes\n";
    }
}

void printConflicts(const std::vector<ObjectChange> &conflicts)
{
    for (const ObjectChange &conflict : conflicts) {
        std::cerr << "[" << conflict.heading << "] was changed by another operator first.\nbefore:\n"
                  << conflict.before << "now:\n"
                  << conflict.after;
    }
}

// Returns false and prints an error if an object of --remove is not in the form kind:name.
bool makeChangeSet(const ChangeOptions &options, const ParsedFiles &input, ChangeSet &change)
{
    change.replaced = splitObjects(input.text);
    for (const std::string &name : options.removed) {
        const std::size_t colon = name.find(':');
        if (colon == std::string::npos) {
            std::cerr << "zinniadock: --remove: expected kind:name, found \"" << name << "\"\n";
            return false;
        }
        change.removed.push_back(name.substr(0, colon) + " " + name.substr(colon + 1));
    }
    return true;
}

// Polls the instances of --admin until each reports the revision or a later one. Prints the instances that do not
// report it within the timeout, and returns Failed if there are any.
ExitCode waitForRevision(const Options &options, std::uint64_t revision, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::vector<Endpoint> missing = options.admins;
    while (true) {
        std::erase_if(missing, [&](const Endpoint &instance) {
            const auto response = callAdmin(options, instance, "GET", "/status");
            const Json status = response ? Json::parse(*response, nullptr, false) : Json();
            return status.is_object() && status.value("revision", std::uint64_t()) >= revision;
        });
        if (missing.empty()) {
            std::cout << "revision " << revision << " is in force on " << options.admins.size() << " instances\n";
            return ExitCode::Done;
        }
        if (std::chrono::steady_clock::now() > deadline) {
            break;
        }
        std::this_thread::sleep_for(statusPollInterval);
    }
    for (const Endpoint &instance : missing) {
        std::cerr << instance.text() << " does not report revision " << revision << "\n";
    }
    return ExitCode::Failed;
}

ExitCode reportOutcome(const Options &options, const ChangeOptions &change, const EditOutcome &outcome)
{
    if (!outcome.problems.empty()) {
        printProblems(options, outcome.problems);
        return ExitCode::BadInput;
    }
    const ConfigurationHead &head = outcome.publish.head;
    switch (outcome.publish.result) {
    case PublishResult::Accepted:
        printChanges(outcome.changes);
        std::cout << "accepted as revision " << head.revision << "\n";
        return change.wait ? waitForRevision(options, head.revision, change.waitTimeout) : ExitCode::Done;
    case PublishResult::Unchanged:
        std::cout << "revision " << head.revision << " already has this content\n";
        return ExitCode::Done;
    case PublishResult::Conflict:
        printConflicts(outcome.conflicts);
        std::cerr << "zinniadock: another change was accepted first; nothing was published\n";
        return ExitCode::Conflict;
    case PublishResult::Unavailable:
        std::cerr << "zinniadock: the store at " << options.store.text()
                  << " does not respond; nothing was published\n";
        return ExitCode::Unavailable;
    case PublishResult::Unknown:
        std::cerr << "zinniadock: the store stopped responding; the change may have been accepted as revision "
                  << head.revision << ", see history\n";
        return ExitCode::Unknown;
    }
    return ExitCode::Failed;
}

// Returns the published text, or an empty text if nothing has been published. Returns nothing if the store does not
// return the text.
std::optional<std::string> readCurrentText(Publisher<EtcdStore> &publisher, HeadRead &head)
{
    head = publisher.readHead();
    if (head.status != StoreStatus::Done) {
        return std::nullopt;
    }
    return head.head ? publisher.readText(head.head->digest) : std::string();
}

ExitCode reportStoreUnavailable(const Options &options)
{
    std::cerr << "zinniadock: the store at " << options.store.text() << " does not respond\n";
    return ExitCode::Unavailable;
}

} // namespace

ExitCode checkFiles(const Options &options, const std::vector<std::string> &files)
{
    ParsedFiles input = parseFiles(files);
    if (input.problems.empty()) {
        checkConfiguration(input.configuration, files.size() == 1 ? files.front() : "all files", input.problems);
    }
    printProblems(options, input.problems);
    if (!input.problems.empty()) {
        return ExitCode::BadInput;
    }
    if (!options.json) {
        std::cout << "no errors in " << splitObjects(input.text).size() << " objects\n";
    }
    return ExitCode::Done;
}

ExitCode applyFiles(const Options &options, const ChangeOptions &change, const std::vector<std::string> &files)
{
    const ParsedFiles input = parseFiles(files);
    if (!input.problems.empty()) {
        printProblems(options, input.problems);
        return ExitCode::BadInput;
    }
    EtcdStore store(options.store, storeTimeout);
    ConfigurationEditor<EtcdStore> editor(store, options.prefix);
    const std::string changeId = RequestId::random().text();
    if (!change.partial && change.removed.empty()) {
        return reportOutcome(options, change, editor.replace(input.text, changeId, options.author));
    }
    ChangeSet set;
    if (!makeChangeSet(change, input, set)) {
        return ExitCode::Usage;
    }
    return reportOutcome(options, change, editor.applyChangeSet(set, changeId, options.author));
}

ExitCode diffFiles(const Options &options, const ChangeOptions &change, const std::vector<std::string> &files)
{
    const ParsedFiles input = parseFiles(files);
    if (!input.problems.empty()) {
        printProblems(options, input.problems);
        return ExitCode::BadInput;
    }
    EtcdStore store(options.store, storeTimeout);
    Publisher<EtcdStore> publisher(store, options.prefix);
    HeadRead head;
    const auto text = readCurrentText(publisher, head);
    if (!text) {
        return reportStoreUnavailable(options);
    }
    ChangeSet set;
    if (!makeChangeSet(change, input, set)) {
        return ExitCode::Usage;
    }
    const ObjectTexts before = splitObjects(*text);
    const bool replacesAll = !change.partial && change.removed.empty();
    printChanges(diffObjects(before, replacesAll ? set.replaced : splitObjects(applyChanges(before, set))));
    return ExitCode::Done;
}

ExitCode showConfiguration(const Options &options)
{
    EtcdStore store(options.store, storeTimeout);
    Publisher<EtcdStore> publisher(store, options.prefix);
    HeadRead head;
    const auto text = readCurrentText(publisher, head);
    if (!text) {
        return reportStoreUnavailable(options);
    }
    if (head.head) {
        std::cout << "; revision " << head.head->revision << ", digest " << head.head->digest << "\n" << *text;
    } else {
        std::cout << "; nothing has been published\n";
    }
    return ExitCode::Done;
}

ExitCode showHistory(const Options &options)
{
    EtcdStore store(options.store, storeTimeout);
    Publisher<EtcdStore> publisher(store, options.prefix);
    const HeadRead head = publisher.readHead();
    if (head.status != StoreStatus::Done) {
        return reportStoreUnavailable(options);
    }
    const auto print = [](const ConfigurationHead &entry) {
        std::cout << entry.revision << "  " << entry.digest.substr(0, 12) << "  " << entry.author << "  "
                  << entry.changeId << "\n";
    };
    std::optional<ConfigurationHead> entry = head.head;
    while (entry) {
        print(*entry);
        entry = entry->revision > 1 ? publisher.readHistory(entry->revision - 1) : std::nullopt;
    }
    return ExitCode::Done;
}

ExitCode revertToRevision(const Options &options, const ChangeOptions &change, const std::string &revision)
{
    std::uint32_t number = 0;
    if (!detail::parseValue(revision, detail::Range{ 1 }, number)) {
        std::cerr << "zinniadock: revert-to: expected a revision, a whole number from 1, found \"" << revision
                  << "\"\n";
        return ExitCode::Usage;
    }
    EtcdStore store(options.store, storeTimeout);
    ConfigurationEditor<EtcdStore> editor(store, options.prefix);
    const auto earlier = editor.publisher().readHistory(number);
    const auto text = earlier ? editor.publisher().readText(earlier->digest) : std::nullopt;
    if (!text) {
        std::cerr << "zinniadock: revision " << revision << " is not in the history, or the store does not respond\n";
        return ExitCode::Failed;
    }
    return reportOutcome(options, change, editor.replace(*text, RequestId::random().text(), options.author));
}

} // namespace zinniadock::cli
