#include "sapphirespan_platform/publish/PublishProtocol.h"

#include "sapphirespan_platform/catalogue/CatalogueAssembly.h"

#include <algorithm>
#include <charconv>
#include <random>

namespace sapphirespan {

namespace {

constexpr std::uint64_t longestChain = 100'000;

/** A generation read from the platform, to build upon. */
struct Base {
    CatalogueHead head;
    std::uint64_t headVersion = 0;
    std::shared_ptr<const Catalogue> catalogue;
};

/** Result of looking for a publish id in the chain of indexes. */
enum class ChainSearch : std::uint8_t {
    found,
    absent,
    unreadable,
};

/** One publication while it runs. */
class Publication
{
public:
    Publication(ObjectStore &store, const std::vector<ServiceFile> &files, std::string publishId, const PublishPolicy &policy,
                const Clock &clock)
        : m_store(store)
        , m_files(files)
        , m_publishId(std::move(publishId))
        , m_policy(policy)
        , m_clock(clock)
        , m_random(policy.randomSeed)
    {
    }

    PublishOutcome run()
    {
        for (int attempt = 0; attempt < m_policy.mostAttempts; ++attempt) {
            if (attempt > 0) {
                pauseBeforeRetry(attempt);
            }
            if (const auto outcome = tryOnce()) {
                return *outcome;
            }
        }
        if (!m_mayHaveCommitted) {
            return outcome(PublishVerdict::refused, 0,
                           "gave up after " + std::to_string(m_policy.mostAttempts) + " attempts: " + m_reason.text());
        }
        return outcome(PublishVerdict::unknown, 0, m_reason.text());
    }

    /** Looks for the publish id without writing anything. */
    PublishOutcome searchOnly()
    {
        for (int attempt = 0; attempt < m_policy.mostAttempts; ++attempt) {
            if (attempt > 0) {
                pauseBeforeRetry(attempt);
            }
            const auto base = readBase();
            std::uint64_t foundAt = 0;
            const auto result = base ? searchChain(base->head, foundAt) : ChainSearch::unreadable;
            if (result == ChainSearch::found) {
                return outcome(PublishVerdict::accepted, foundAt, "");
            }
            if (result == ChainSearch::absent) {
                return outcome(PublishVerdict::refused, base->head.generation, "not in the catalogue");
            }
        }
        return outcome(PublishVerdict::unknown, 0, m_reason.text());
    }

private:
    /** @returns the outcome, or nothing when another attempt may bring one. */
    std::optional<PublishOutcome> tryOnce()
    {
        const auto base = readBase();
        if (!base) {
            return std::nullopt;
        }
        std::uint64_t foundAt = 0;
        switch (searchChain(base->head, foundAt)) {
        case ChainSearch::found:
            return outcome(PublishVerdict::accepted, foundAt, "");
        case ChainSearch::unreadable:
            return std::nullopt;
        case ChainSearch::absent:
            break;
        }
        if (const auto conflict = conflictWith(*base)) {
            // The head has moved on, so an earlier conditional update of this publication can no longer succeed.
            return outcome(PublishVerdict::refused, base->head.generation, *conflict);
        }
        return commit(*base);
    }

    std::optional<Base> readBase()
    {
        StoreError error {};
        const auto head = readHead(m_store, error, m_reason);
        if (!head) {
            return std::nullopt;
        }
        Base base {head->first, head->second, loadCatalogue(m_store, head->first, m_texts, error, m_reason)};
        if (!base.catalogue) {
            return std::nullopt;
        }
        return base;
    }

    ChainSearch searchChain(const CatalogueHead &head, std::uint64_t &foundAt)
    {
        const auto start = baseGenerationOf(m_publishId);
        auto digest = head.indexDigest;
        for (std::uint64_t step = 0; step < longestChain && !digest.empty(); ++step) {
            StoreError error {};
            const auto object = m_store.read({ObjectKind::index, digest}, error);
            const auto index = object ? catalogueIndexFromJson(object->value, m_reason) : std::nullopt;
            if (!index) {
                m_reason.set("cannot read the index " + digest);
                return ChainSearch::unreadable;
            }
            if (index->publishId == m_publishId) {
                foundAt = index->generation;
                return ChainSearch::found;
            }
            if (index->generation <= start) {
                return ChainSearch::absent;
            }
            digest = index->previousDigest;
        }
        return ChainSearch::absent;
    }

    /** Remembers, at the first attempt, what this publication's services were; a later change of one is a conflict. */
    std::optional<std::string> conflictWith(const Base &base)
    {
        for (const auto &file : m_files) {
            const auto indexed = base.catalogue->index.services.find(file.name);
            const auto digest = indexed != base.catalogue->index.services.end() ? indexed->second.digest : "";
            const auto [first, isFirst] = m_digestsAtStart.emplace(file.name, digest);
            if (!isFirst && first->second != digest) {
                return "service " + file.name + " was changed by another publication up to generation "
                    + std::to_string(base.head.generation);
            }
            if (const auto claimed = addressClaimedByAnother(*base.catalogue, file)) {
                return "address " + claimed->second + " of service " + file.name + " belongs to service " + claimed->first;
            }
        }
        return std::nullopt;
    }

    std::optional<PublishOutcome> commit(const Base &base)
    {
        auto index = base.catalogue->index;
        index.generation = base.head.generation + 1;
        index.publishId = m_publishId;
        index.previousDigest = base.head.indexDigest;
        if (base.head.generation == 0) {
            std::generate(index.hashKey.begin(), index.hashKey.end(), [this] { return static_cast<std::uint8_t>(m_random()); });
        }
        bool isChanged = false;
        for (const auto &file : m_files) {
            const auto text = contentText(base, file, index, isChanged);
            if (!text) {
                return outcome(PublishVerdict::refused, base.head.generation, m_reason.text());
            }
            if (!writeImmutable(ObjectKind::content, *text)) {
                return std::nullopt;
            }
        }
        if (!isChanged) {
            return outcome(PublishVerdict::unchanged, base.head.generation, "");
        }
        const auto text = toJson(index);
        if (!writeImmutable(ObjectKind::index, text)) {
            return std::nullopt;
        }
        return updateHead(base, {index.generation, digestOf(text)});
    }

    /** Builds the content of one service and enters it in the index. */
    std::optional<std::string> contentText(const Base &base, const ServiceFile &file, CatalogueIndex &index, bool &isChanged)
    {
        const auto *previous = findService(*base.catalogue, file.name);
        const auto number = previous != nullptr ? previous->number : index.nextNumber;
        const auto content = contentAfterPublish(file, previous, number, index.generation, m_clock.wallNow(), m_reason);
        if (!content) {
            return std::nullopt;
        }
        if (previous != nullptr) {
            auto unchanged = *content;
            unchanged.changedAtGeneration = previous->changedAtGeneration;
            if (unchanged == *previous) {
                return toJson(*previous);
            }
        } else {
            ++index.nextNumber;
        }
        isChanged = true;
        auto text = toJson(*content);
        index.services[file.name] = {number, digestOf(text)};
        return text;
    }

    /** Writes an object that is named by its digest; one that exists already is the same. */
    bool writeImmutable(ObjectKind kind, const std::string &text)
    {
        StoreError error {};
        if (m_store.write({kind, digestOf(text)}, 0, text, error) || error == StoreError::conflict) {
            return true;
        }
        m_reason.set("cannot write an object: " + std::string(nameOf(error)));
        return false;
    }

    std::optional<PublishOutcome> updateHead(const Base &base, const CatalogueHead &head)
    {
        StoreError error {};
        if (m_store.write({ObjectKind::head, catalogueHeadName}, base.headVersion, toJson(head), error)) {
            return outcome(PublishVerdict::accepted, head.generation, "");
        }
        m_mayHaveCommitted = m_mayHaveCommitted || error == StoreError::unknownOutcome;
        m_reason.set("the update of the head: " + std::string(nameOf(error)));
        return std::nullopt;
    }

    void pauseBeforeRetry(int attempt)
    {
        const auto doubled = m_policy.firstPause * (1 << std::min(attempt - 1, 10));
        const auto longest = std::min<Milliseconds>(doubled, m_policy.longestPause).count();
        m_store.pause(Milliseconds(longest / 2 + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(longest / 2 + 1))));
    }

    PublishOutcome outcome(PublishVerdict verdict, std::uint64_t generation, std::string reason) const
    {
        return {verdict, m_publishId, generation, std::move(reason)};
    }

    static std::uint64_t baseGenerationOf(const std::string &publishId)
    {
        std::uint64_t generation = 0;
        std::from_chars(publishId.data(), publishId.data() + publishId.size(), generation);
        return generation;
    }

    ObjectStore &m_store;
    const std::vector<ServiceFile> &m_files;
    std::string m_publishId;
    PublishPolicy m_policy;
    const Clock &m_clock;
    std::mt19937_64 m_random;
    ObjectTexts m_texts;
    std::map<std::string, std::string> m_digestsAtStart;
    bool m_mayHaveCommitted = false;
    LastReason m_reason;
};

} // namespace

std::string newPublishId(std::uint64_t baseGeneration, std::uint64_t random)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id = std::to_string(baseGeneration) + "-";
    for (int shift = 60; shift >= 0; shift -= 4) {
        id += digits[(random >> shift) & 0xf];
    }
    return id;
}

std::optional<std::pair<CatalogueHead, std::uint64_t>> readHead(ObjectStore &store, StoreError &error, LastReason &reason)
{
    const auto object = store.read({ObjectKind::head, catalogueHeadName}, error);
    if (!object && error == StoreError::missing) {
        return std::pair(CatalogueHead {}, std::uint64_t {0});
    }
    if (!object) {
        reason.set("cannot read the head: " + std::string(nameOf(error)));
        return std::nullopt;
    }
    const auto head = catalogueHeadFromJson(object->value, reason);
    if (!head) {
        error = StoreError::unreachable;
        return std::nullopt;
    }
    return std::pair(*head, object->version);
}

PublishOutcome publish(ObjectStore &store, const std::vector<ServiceFile> &files, const std::string &publishId, const PublishPolicy &policy,
                       const Clock &clock)
{
    return Publication(store, files, publishId, policy, clock).run();
}

PublishOutcome settle(ObjectStore &store, const std::string &publishId, const PublishPolicy &policy)
{
    const std::vector<ServiceFile> none;
    const SystemClock clock;
    return Publication(store, none, publishId, policy, clock).searchOnly();
}

} // namespace sapphirespan
