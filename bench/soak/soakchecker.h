#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinniadock::soak
{

enum class RequestKind {
    Generation,
    Order, ///< may run once at most
    Read, ///< may be repeated
};

/// What a caller saw of one request.
struct Outcome
{
    std::string id;
    RequestKind kind = RequestKind::Read;
    int status = 0; ///< 0 where the connection ended before an answer
    bool isSigned = false;
    bool whole = false; ///< the answer came to its end
    std::string body;
};

/// A run of a request as a back end saw it.
struct SeenRun
{
    std::string id;
    std::string body;
    bool continues = false; ///< goes on from a copy of its memory
};

/// Checks the promises from what callers and back ends saw. Shares no code with the daemons.
class SoakChecker
{
public:
    /// \param wholeStream  body of each whole generation
    explicit SoakChecker(std::string wholeStream);

    void add(Outcome outcome);
    void add(const SeenRun &run);

    /// Takes the configuration version that a process reports; it never goes down in one life.
    void version(const std::string &process, std::uint64_t version);

    /// Takes a violation that was found elsewhere.
    void violation(const std::string &text);

    /// Returns every violation, once all callers and back ends have ended.
    std::vector<std::string> check() const;

    /// Returns how often each end occurred.
    std::map<std::string, std::size_t> ends() const;

private:
    std::string problemOf(const Outcome &outcome) const;

    const std::string m_wholeStream;
    std::vector<Outcome> m_outcomes;
    std::map<std::string, std::vector<SeenRun>> m_runs; ///< by request
    std::map<std::string, std::uint64_t> m_versions; ///< by process
    std::vector<std::string> m_violations;
};

} // namespace zinniadock::soak
