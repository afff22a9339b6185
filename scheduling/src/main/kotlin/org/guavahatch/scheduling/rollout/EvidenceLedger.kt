package org.guavahatch.scheduling.rollout

import kotlinx.collections.immutable.toImmutableMap
import org.guavahatch.model.time.Clock

/**
 * Adds up the answers that this gateway saw and those that its peers reported, by gateway lifetime.
 *
 * @property ownIncarnation identifier of this run of the gateway
 */
internal class EvidenceLedger(private val clock: Clock, private val ownIncarnation: String) {
    private val own = HashMap<EvidenceKey, CountVector>()
    private val reported = HashMap<Lifetime, Map<EvidenceKey, EvidenceCounts>>()
    private val latestIncarnations = HashMap<String, String>()
    private var endedTold = 0
    private val told = HashMap<EvidenceKey, EvidenceCounts>()
    private val lostAt = HashMap<String, Long>()

    /** Grows with each change of [total]. */
    var changes: Long = 0
        private set

    /** Sum over all gateway lifetimes. */
    val total: Map<EvidenceKey, CountVector> get() = sums
    private val sums = HashMap<EvidenceKey, CountVector>()

    /** Counts [answer]; [endpointBucket] is the bucket of its endpoint, or null if that is not in the sample. */
    fun record(answer: RolloutAnswer, isTarget: Boolean, endpointBucket: Int?) {
        if (answer.result == AnswerResult.LOST && !isFirstLossInSecond(answer.endpoint.value)) return
        changes++
        val key = keyOf(answer.route, isTarget)
        listOf(own, sums).forEach { counts ->
            val vector = counts.getOrPut(key, ::CountVector)
            vector.recordResult(answer.result)
            if (answer.result == AnswerResult.SUCCESS) recordDurations(vector, answer, endpointBucket)
        }
    }

    private fun recordDurations(vector: CountVector, answer: RolloutAnswer, endpointBucket: Int?) {
        val first = answer.firstEventMilliseconds
        val interval = answer.eventIntervalMilliseconds?.takeIf { it.isFinite() }
        first?.let { vector.recordDuration(CountVector.Histogram.FIRST_EVENT, it.toDouble()) }
        interval?.let { vector.recordDuration(CountVector.Histogram.EVENT_INTERVAL, it) }
        if (endpointBucket != null && (first != null || interval != null)) vector.recordEndpoint(endpointBucket)
    }

    /** The crash of one process loses many requests at once. */
    private fun isFirstLossInSecond(endpoint: String): Boolean {
        val now = clock.monotonicMilliseconds()
        if (lostAt[endpoint]?.let { now - it < LOSS_INTERVAL } == true) return false
        lostAt[endpoint] = now
        return true
    }

    private fun keyOf(route: String, isTarget: Boolean): EvidenceKey {
        val key = EvidenceKey(route, isTarget)
        val isKnown = key in own || EvidenceKey(route, !isTarget) in own
        return if (isKnown || own.size < 2 * MAXIMUM_ROUTES) key else EvidenceKey(OTHER_ROUTES, isTarget)
    }

    /** Replaces what [lifetime] has reported; returns false if [evidence] is older than that. */
    fun merge(lifetime: Lifetime, evidence: Map<EvidenceKey, EvidenceCounts>): Boolean {
        latestIncarnations[lifetime.gateway] = lifetime.incarnation
        return replace(lifetime, evidence)
    }

    /**
     * Merges what another gateway has told of an [ended] lifetime. A late report of an earlier run makes that gateway
     * take the run of this process for an ended one, whose answers must not count twice.
     */
    fun mergeEnded(ended: LifetimeEvidence) {
        if (ended.incarnation == ownIncarnation) return
        val lifetime = Lifetime(ended.gateway, ended.incarnation)
        if (lifetime in reported || reported.size < MAXIMUM_LIFETIMES) replace(lifetime, ended.evidence)
    }

    /**
     * Returns one of the lifetimes that have ended, in turn, or null. Without them, the evidence would be lost when all
     * gateways restart one after the other.
     */
    fun nextEnded(): LifetimeEvidence? {
        val ended = reported.filterKeys { latestIncarnations[it.gateway] != it.incarnation }.entries.toList()
        if (ended.isEmpty()) return null
        val (lifetime, evidence) = ended[endedTold++.mod(ended.size)]
        return LifetimeEvidence(lifetime.gateway, lifetime.incarnation, evidence)
    }

    private fun replace(lifetime: Lifetime, evidence: Map<EvidenceKey, EvidenceCounts>): Boolean {
        if (evidence.size > MAXIMUM_REPORTED_KEYS) return false
        val known = reported[lifetime].orEmpty()
        if (answersOf(evidence) < answersOf(known)) return false
        evidence.forEach { (key, counts) -> replace(key, known[key], counts) }
        known.forEach { (key, counts) -> if (key !in evidence) replace(key, counts, null) }
        reported[lifetime] = evidence
        return true
    }

    private fun answersOf(evidence: Map<EvidenceKey, EvidenceCounts>): Long {
        var answers = 0L
        evidence.forEach { answers += it.value.answers }
        return answers
    }

    private fun replace(key: EvidenceKey, before: EvidenceCounts?, after: EvidenceCounts?) {
        if (before == after) return
        changes++
        val sum = sums.getOrPut(key, ::CountVector)
        before?.let { sum.add(it, factor = -1) }
        after?.let { sum.add(it) }
    }

    /** Counts of this gateway. Lists are built again only for what has changed since the last report. */
    fun ownCounts(): Map<EvidenceKey, EvidenceCounts> {
        own.forEach { (key, vector) -> if (told[key]?.answers != vector.answers) told[key] = vector.toCounts() }
        return told.toImmutableMap()
    }

    /** One run of the process of [gateway]. */
    data class Lifetime(val gateway: String, val incarnation: String)

    companion object {
        /** Routes that are told apart; a limit on memory and on the size of datagrams. */
        const val MAXIMUM_ROUTES = 32
        private const val MAXIMUM_REPORTED_KEYS = 2 * MAXIMUM_ROUTES + 2

        /** Three restarts of each of 340 gateways; a limit on memory. */
        private const val MAXIMUM_LIFETIMES = 1_020
        private const val OTHER_ROUTES = ""
        private const val LOSS_INTERVAL = 1_000L
    }
}
