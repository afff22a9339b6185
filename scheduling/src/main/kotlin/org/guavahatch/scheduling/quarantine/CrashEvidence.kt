package org.guavahatch.scheduling.quarantine

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet
import org.guavahatch.model.time.Clock

/**
 * Endpoints that ended, and the requests that may have ended them: those without an answer at that moment. Counts the
 * observations of all gateways together, and finds the prompt parts that the ends have in common.
 *
 * Endpoints also end for other reasons, and sound requests wait at them too. So a part counts only if no request with
 * it has been answered since, and ends that a part in quarantine explains do not count against other parts.
 */
public class CrashEvidence(private val clock: Clock) {
    private val crashes = LinkedHashMap<String, Crash>()
    private val answeredAt = object : LinkedHashMap<String, Long>() {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Long>): Boolean =
            size > MAXIMUM_ANSWERED_PARTS
    }

    /** Records that a request with [parts] was answered at [at]. */
    public fun recordAnswered(parts: Collection<String>, at: Long = clock.monotonicMilliseconds()) {
        parts.forEach { part ->
            val latest = maxOf(at, answeredAt.remove(part) ?: at)
            answeredAt[part] = latest
        }
    }

    /** Records that [process] ended at [at] while [request] was there without an answer. */
    public fun recordCrash(process: String, request: PromptParts, at: Long, isOwn: Boolean) {
        if (request.shared.isEmpty() || request.own == null) return
        val now = clock.monotonicMilliseconds()
        crashes.values.removeIf { now - it.at > MAXIMUM_AGE_MILLISECONDS }
        val crash = crashes.getOrPut(process) { Crash(at, knownAt = now) }
        crash.add(request, isOwn)
        while (crashes.size > MAXIMUM_CRASHES) crashes.remove(crashes.keys.first())
    }

    /** Whether observations of other gateways about a known end may still arrive. */
    public val isRecent: Boolean get() {
        val now = clock.monotonicMilliseconds()
        return crashes.values.any { now - it.knownAt <= 2 * SETTLE_MILLISECONDS }
    }

    /**
     * Parts that the ends have in common, except the ends with a request for which [isExplained] is true: sets of parts
     * that came together, mostly one or none.
     *
     * While several parts are equally likely, more ends are awaited, up to [CERTAIN_CRASHES].
     */
    public fun findDeadlyParts(isExplained: (PromptParts) -> Boolean): Set<ImmutableSet<String>> {
        val now = clock.monotonicMilliseconds()
        val settled = crashes.values.filter { crash ->
            now - crash.knownAt >= SETTLE_MILLISECONDS && crash.requests.none(isExplained)
        }
        val suspicions = settled.flatMap { crash -> crash.requests.flatMap { it.shared }.distinct() }
            .groupingBy { it }.eachCount().filterValues { it >= MINIMUM_CRASHES }.keys
            .map { suspicionOf(it, settled) }
            .filter { it.isSufficient }
        val strongest = suspicions.maxWithOrNull(compareBy({ it.crashes }, { it.requests })) ?: return emptySet()
        val likeliest = suspicions.filter { it.crashes == strongest.crashes && it.requests == strongest.requests }
            .map { it.companions }.toSet()
        return if (likeliest.size > 1 && strongest.crashes < CERTAIN_CRASHES) emptySet() else likeliest
    }

    private fun suspicionOf(part: String, settled: List<Crash>): Suspicion {
        val crashesWith = settled.filter { crash ->
            crash.at > (answeredAt[part] ?: Long.MIN_VALUE) && crash.requests.any { part in it.shared }
        }
        val requests = crashesWith.flatMap { crash -> crash.requests.filter { part in it.shared } }
        val oldest = crashes.values.minOfOrNull { it.at } ?: 0
        val companions = requests.map { request -> request.shared.filterNot { hasAnsweredSince(it, oldest) }.toSet() }
            .reduceOrNull(Set<String>::intersect).orEmpty() + part
        return Suspicion(
            part,
            crashesWith.size,
            momentsOf(crashesWith.map { it.at }),
            requests.map { it.own }.distinct().size,
            part in answeredAt,
            companions.toImmutableSet(),
        )
    }

    /** Number of [times] that follow each other by at least [SEPARATE_MILLISECONDS]. */
    private fun momentsOf(times: List<Long>): Int {
        var last: Long? = null
        return times.sorted().count { time ->
            val isSeparate = last?.let { time - it >= SEPARATE_MILLISECONDS } ?: true
            if (isSeparate) last = time
            isSeparate
        }
    }

    private fun hasAnsweredSince(part: String, at: Long) = answeredAt[part]?.let { it >= at } == true

    /** Whether a request with [part] was answered after [at]. */
    public fun isAnsweredAfter(part: String, at: Long): Boolean = answeredAt[part]?.let { it > at } == true

    /** The latest ends that this gateway has observed itself and that [isExplained] does not explain, newest first. */
    public fun ownReports(isExplained: (PromptParts) -> Boolean): List<CrashReport> {
        val now = clock.monotonicMilliseconds()
        return crashes.entries.reversed()
            .filter { (_, crash) -> now - crash.at <= REPORTED_MILLISECONDS }
            .map { (process, crash) ->
                val unexplained = crash.ownRequests.filterNot(isExplained).filter { request ->
                    request.shared.any { crash.at > (answeredAt[it] ?: Long.MIN_VALUE) }
                }
                CrashReport(process, now - crash.at, unexplained.take(MAXIMUM_REPORTED_REQUESTS))
            }
            .filter { it.requests.isNotEmpty() }
            .take(MAXIMUM_REPORTED_CRASHES)
    }

    /** Milliseconds since the latest answer to a request with a part, for the parts of known ends and [others]. */
    public fun answerAges(others: Collection<String>): Map<String, Long> {
        val now = clock.monotonicMilliseconds()
        val suspects = crashes.values.flatMap { crash -> crash.requests.flatMap { it.shared } } + others
        return suspects.distinct()
            .mapNotNull { part -> answeredAt[part]?.let { part to now - it } }
            .filter { (_, age) -> age <= REPORTED_MILLISECONDS }
            .sortedBy { (_, age) -> age }.take(MAXIMUM_REPORTED_PARTS).toMap()
    }

    private class Crash(val at: Long, val knownAt: Long) {
        val requests = LinkedHashSet<PromptParts>()
        val ownRequests = LinkedHashSet<PromptParts>()

        fun add(request: PromptParts, isOwn: Boolean) {
            if (requests.size < MAXIMUM_REQUESTS) requests += request
            if (isOwn && ownRequests.size < MAXIMUM_REQUESTS) ownRequests += request
        }
    }

    /**
     * @property crashes ends with a request that has [part]
     * @property moments how many of these ends are apart from each other
     * @property requests different requests with [part] at these ends
     * @property wasAnswered whether a request with [part] was ever answered
     * @property companions [part] and the unanswered parts that all of these requests have too
     */
    private class Suspicion(
        val part: String,
        val crashes: Int,
        private val moments: Int,
        val requests: Int,
        private val wasAnswered: Boolean,
        val companions: ImmutableSet<String>,
    ) {
        /**
         * Endpoints that end at the same moment may have a cause in common, such as a machine; a part that was answered
         * before was sound then. Both need more evidence.
         */
        val isSufficient: Boolean get() = when {
            crashes >= CERTAIN_CRASHES -> requests >= MINIMUM_REQUESTS
            wasAnswered -> false
            else -> crashes >= MINIMUM_CRASHES && moments >= MINIMUM_MOMENTS && requests >= MINIMUM_REQUESTS
        }
    }

    private companion object {
        /** Two ends may share a sound part by chance, as a request is sent again when its endpoint ends. */
        const val MINIMUM_CRASHES = 3

        const val MINIMUM_MOMENTS = 2

        /** The end of one machine is seen by all gateways within less than this time. */
        const val SEPARATE_MILLISECONDS = 300L

        /** A single request may be at several endpoints that end. */
        const val MINIMUM_REQUESTS = 2

        /** Number of ends after which a part is held back even if the evidence does not single it out. */
        const val CERTAIN_CRASHES = 5

        /** Time within which the observations of other gateways arrive, although some datagrams are lost. */
        const val SETTLE_MILLISECONDS = 500L
        const val MAXIMUM_AGE_MILLISECONDS = 3_600_000L
        const val MAXIMUM_CRASHES = 32

        const val MAXIMUM_REQUESTS = 16
        const val MAXIMUM_ANSWERED_PARTS = 4_096

        /** Reports are repeated for this time, so that a peer that is cut off for some seconds hears them. */
        const val REPORTED_MILLISECONDS = 10_000L
        const val MAXIMUM_REPORTED_CRASHES = 6
        const val MAXIMUM_REPORTED_REQUESTS = 6
        const val MAXIMUM_REPORTED_PARTS = 32
    }
}

/**
 * The end of an endpoint as one gateway has observed it.
 *
 * @property process the process that ended
 * @property ageMilliseconds time since its end
 * @property requests requests of the gateway that it had not begun to answer
 */
public data class CrashReport(
    public val process: String,
    public val ageMilliseconds: Long,
    public val requests: List<PromptParts>,
)
